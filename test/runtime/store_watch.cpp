#include <doctest/doctest.h>

#include <sys/socket.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <deque>

#include "gullstall/src/edge/store_watch.hpp"
#include "gullstall/src/runtime/http_client.hpp"

using namespace gullstall;

namespace {

namespace asio = boost::asio;

/// A watch of a store whose responses are scripted by the test.
struct watch_fixture
{
    asio::io_context io;
    std::deque<platform_answer> answers;
    std::vector<platform_request> requests;
    std::vector<std::string> seen;
    std::vector<bool> reachable;
    std::vector<mesh::write_line> lines;
    int polls_until_wanted = 0;

    bool is_wanted()
    {
        if (polls_until_wanted == 0) {
            return true;
        }
        --polls_until_wanted;
        return false;
    }

    /// Runs the watch until all scripted responses are used.
    void run()
    {
        edge::store_watch it{"t/",
                             milliseconds(1500),
                             [this](platform_request what) { return answer(std::move(what)); },
                             {[this](const table_row &row) { seen.push_back(row.value); },
                              [this] { return is_wanted(); },
                              [] {
                                  return mesh::feed_timing{milliseconds(1000), 0};
                              },
                              [this](bool works) { reachable.push_back(works); }, [] {},
                              [this](const mesh::write_line &line) { lines.push_back(line); }},
                             random_source(1)};
        asio::co_spawn(io, edge::run_watch(io, std::move(it)), asio::detached);
        io.run();
    }

    asio::awaitable<platform_answer> answer(platform_request what)
    {
        requests.push_back(std::move(what));
        platform_answer out{platform_status::lost, {}, {}};
        if (answers.empty()) {
            io.stop();
            co_return out;
        }
        out = answers.front();
        answers.pop_front();
        co_return out;
    }

    static platform_answer rows(std::uint64_t version, const std::string &value)
    {
        platform_answer out{platform_status::done, {table_row{"t/k", version, value}}, {}};
        out.version = version;
        return out;
    }
};

std::string field_of(const mesh::write_line &line, const std::string &name)
{
    for (const mesh::log_field &it : line.fields) {
        if (it.name == name) {
            return it.value;
        }
    }
    return "";
}

}  // namespace

TEST_CASE_FIXTURE(watch_fixture, "watch, rows and then changes, are reported in order")
{
    answers = {rows(4, "a"), rows(6, "b")};
    run();
    CHECK(seen == std::vector<std::string>{"a", "b"});
    REQUIRE(requests.size() == 3);
    CHECK(requests[0] == platform_request(table_scan{"t/"}));
    CHECK(requests[1] == platform_request(table_feed{"t/", 4, 1000, 500}));
    CHECK(requests[2] == platform_request(table_feed{"t/", 6, 1000, 500}));
}

// The store stops responding and recovers. A node that resumed its feed would see a
// change made in between only when the feed times out or the next change is made, and
// would apply the old policy until then.
TEST_CASE_FIXTURE(watch_fixture, "watch after a lost response, rescans all rows")
{
    answers = {rows(4, "a"), platform_answer{platform_status::lost, {}, {}}, rows(9, "c")};
    run();
    CHECK(seen == std::vector<std::string>{"a", "c"});
    REQUIRE(requests.size() == 4);
    CHECK(requests[2] == platform_request(table_scan{"t/"}));
    CHECK(requests[3] == platform_request(table_feed{"t/", 9, 1000, 500}));
}

TEST_CASE_FIXTURE(watch_fixture, "watch whose history is gone, rescans all rows")
{
    answers = {rows(4, "a"), platform_answer{platform_status::history_gone, {}, {}}, rows(9, "c")};
    run();
    REQUIRE(requests.size() == 4);
    CHECK(requests[2] == platform_request(table_scan{"t/"}));
}

// Each node that waits for changes costs the store a call at every change and time-out.
TEST_CASE_FIXTURE(watch_fixture, "watch not wanted, rows read, calls the store when it is wanted")
{
    polls_until_wanted = 3;
    answers = {rows(4, "a"), rows(6, "b")};
    run();
    CHECK(polls_until_wanted == 0);
    REQUIRE(requests.size() == 3);
    CHECK(requests[1] == platform_request(table_feed{"t/", 4, 1000, 500}));
}

// Another node has to take over from one that has lost the store.
TEST_CASE_FIXTURE(watch_fixture, "watch, store lost and regained, reports each once")
{
    platform_answer lost{platform_status::lost, {}, {}};
    answers = {rows(4, "a"), lost, lost, rows(9, "c")};
    run();
    REQUIRE(reachable.size() >= 2);
    CHECK_FALSE(reachable[0]);
    CHECK(reachable[1]);
}

// Guards against a lost store whose log line does not say which call failed, and why.
TEST_CASE_FIXTURE(watch_fixture, "watch, store lost, line names the call and the reason")
{
    platform_answer lost{platform_status::lost, {}, {}};
    lost.failure = "Connection timed out";
    answers = {rows(4, "a"), lost, rows(9, "c")};
    run();
    REQUIRE(lines.size() >= 1);
    CHECK(lines[0].event == "store-lost");
    CHECK(field_of(lines[0], "call") == "feed");
    CHECK(field_of(lines[0], "why") == "Connection timed out");
}

// The store is unreachable and does not accept connections. A feed may wait ten
// seconds for its response, but not for its connection, or the node would retry only
// long after the store has recovered.
TEST_CASE("request with a long timeout, server accepts no connection, ends in about a second")
{
    asio::io_context io;
    // A listening socket with a full accept queue drops new connections.
    asio::ip::tcp::acceptor full(io);
    full.open(asio::ip::tcp::v4());
    full.bind({asio::ip::make_address("127.0.0.1"), 0});
    ::listen(full.native_handle(), 0);
    std::vector<asio::ip::tcp::socket> fillers;
    for (int i = 0; i < 4; ++i) {
        fillers.emplace_back(io);
        fillers.back().open(asio::ip::tcp::v4());
        fillers.back().native_non_blocking(true);
        // Asio's own connect would wait for a completion that never comes.
        auto at = full.local_endpoint();
        int rc = ::connect(fillers.back().native_handle(), at.data(), at.size());
        CHECK((rc == 0 || errno == EINPROGRESS));
    }
    runtime::http_client client(io, full.local_endpoint(), 1000);
    auto started = std::chrono::steady_clock::now();
    runtime::exchange_end end = runtime::exchange_end::answered;
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void> {
            runtime::http_request request{boost::beast::http::verb::get, "/", 11};
            runtime::exchange it = co_await client.send(request, seconds(30), nullptr);
            end = it.end;
        },
        asio::detached);
    io.run();
    CHECK(end == runtime::exchange_end::not_sent);
    CHECK(std::chrono::steady_clock::now() - started < std::chrono::seconds(15));
}
