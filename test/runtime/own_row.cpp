#include "gullstall/src/edge/own_row.hpp"

#include <doctest/doctest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "test/standins/platform_store.hpp"

using namespace gullstall;

namespace {

namespace asio = boost::asio;

struct own_row_fixture
{
    asio::io_context io;
    standin::platform_store store;
    std::vector<std::optional<std::string>> reads;
    int lost_answers = 0;  ///< of the next writes, which are performed all the same

    asio::awaitable<platform_answer> ask(platform_request what)
    {
        platform_answer out = store.ask(what);
        if (std::holds_alternative<table_commit>(what) && lost_answers > 0) {
            --lost_answers;
            out = platform_answer{platform_status::lost, {}, {}};
        }
        co_return out;
    }

    edge::own_row make()
    {
        return edge::own_row(
            "t/n", [this](platform_request what) { return ask(std::move(what)); },
            [this](const std::optional<std::string> &it) { reads.push_back(it); },
            [](const mesh::write_line &) {}, 7);
    }

    void run()
    {
        io.restart();
        io.run_for(std::chrono::seconds(5));
    }
};

}  // namespace

// Guards against a process that doesn't know what the one before it has stored.
TEST_CASE_FIXTURE(own_row_fixture, "row saved by one process, next process, reads and replaces it")
{
    edge::own_row first = make();
    asio::co_spawn(io, first.load(io), asio::detached);
    run();
    asio::co_spawn(io, first.save(io, "one"), asio::detached);
    run();
    edge::own_row second = make();
    asio::co_spawn(io, second.load(io), asio::detached);
    run();
    asio::co_spawn(io, second.save(io, "two"), asio::detached);
    run();
    REQUIRE(reads.size() == 2);
    CHECK_FALSE(reads[0]);
    CHECK(reads[1] == "one");
    CHECK(store.rows.at("t/n").value == "two");
}

// Guards against a save that is given up since the answer to the one before was lost.
TEST_CASE_FIXTURE(own_row_fixture, "answer to a save lost, next save, is written")
{
    edge::own_row row = make();
    lost_answers = 1;
    asio::co_spawn(io, row.save(io, "one"), asio::detached);
    run();
    asio::co_spawn(io, row.save(io, "two"), asio::detached);
    run();
    CHECK(store.rows.at("t/n").value == "two");
}

// Guards against a save before the row of an earlier process was read.
TEST_CASE_FIXTURE(own_row_fixture, "row of an earlier process not yet read, save, is written")
{
    store.rows["t/n"] = table_row{"t/n", 3, "old"};
    store.version = 3;
    edge::own_row row = make();
    asio::co_spawn(io, row.save(io, "new"), asio::detached);
    run();
    CHECK(store.rows.at("t/n").value == "new");
}
