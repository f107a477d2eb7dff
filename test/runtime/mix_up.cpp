#include <doctest/doctest.h>

#include <atomic>
#include <boost/beast/http/write.hpp>

#include "test/support/loopback.hpp"

using namespace gullstall;

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr std::uint16_t first_port = 26000;
constexpr int connections = 100;
constexpr int calls_per_connection = 100;
constexpr std::uint32_t slots = 400;

constexpr const char *bundle_text = R"(
[bundle]
version = 1
previous = none
author = tester
reference = CB-1
[limits]
default_time_ms = 60000
[class status]
priority = 1
[call boxwatch status]
class_name = status
)";

/// \returns a body that only the call \a number has; sizes go from 0 to 6000
body_bytes body_for(std::uint64_t number)
{
    random_source random(number);
    body_bytes out(draw_below(random, 6000));
    for (std::uint8_t &it : out) {
        it = static_cast<std::uint8_t>(random());
    }
    return out;
}

/// \returns what the worker makes of a request
body_bytes answer_for(const std::string &request_id, const body_bytes &body)
{
    body_bytes out(request_id.begin(), request_id.end());
    out.insert(out.end(), body.rbegin(), body.rend());
    return out;
}

struct tally
{
    int right = 0;
    int wrong = 0;
    int refused = 0;
    int unanswered = 0;
    int broken_off = 0;
};

/// A node where calls enter, and one whose worker answers after random delays.
struct mix_up_fixture
{
    test::loopback_site site{first_port};
    random_source random{7};
    bool answers_cut_short = false;
    tally seen;
    std::atomic<int> running{0};

    mix_up_fixture()
    {
        site.publish(bundle_text);
        auto answer = [this](boost::beast::tcp_stream &stream, runtime::http_request &request) {
            return answer_late(stream, request);
        };
        site.add("dispatcher-1", "dispatcher", slots, answer);
        site.add("boxwatch-1", "boxwatch", slots, answer);
        site.start();
        REQUIRE(site.wait_for("dispatcher-1", "/call/boxwatch/status"));
    }

    asio::awaitable<void> answer_late(boost::beast::tcp_stream &stream,
                                      runtime::http_request &request)
    {
        boost::system::error_code ec;
        asio::steady_timer delay(stream.get_executor(),
                                 std::chrono::microseconds(draw_below(random, 30000)));
        co_await delay.async_wait(asio::redirect_error(asio::use_awaitable, ec));
        http::response<http::vector_body<std::uint8_t>> response{http::status::ok, 11};
        response.body() =
            answer_for(std::string(request[runtime::header::request_id]), request.body());
        if (answers_cut_short && !response.body().empty()) {
            response.body().pop_back();
        }
        response.prepare_payload();
        co_await http::async_write(stream, response, asio::redirect_error(asio::use_awaitable, ec));
    }

    void note(const runtime::exchange &it, const std::string &id, const body_bytes &expected)
    {
        if (it.end != runtime::exchange_end::answered) {
            ++seen.unanswered;
        } else if (it.response[runtime::header::outcome] != "ran") {
            ++seen.refused;
        } else if (it.response.body() == expected &&
                   it.response[runtime::header::request_id] == id) {
            ++seen.right;
        } else {
            ++seen.wrong;
        }
    }

    static runtime::http_request make_request(const std::string &id, body_bytes body)
    {
        runtime::http_request out{http::verb::post, "/call/boxwatch/status", 11};
        out.set(runtime::header::request_id, id);
        out.body() = std::move(body);
        return out;
    }

    /// Sends a call and leaves it after a few milliseconds, so that its answer
    /// comes late and must reach nobody.
    asio::awaitable<void> call_and_leave(std::uint64_t number)
    {
        runtime::http_client client(site.clients(), endpoint_of_entry(), 1U << 20U);
        auto handle = std::make_shared<runtime::exchange_handle>();
        asio::steady_timer timer(site.clients(),
                                 std::chrono::milliseconds(draw_below(random_here(), 10)));
        timer.async_wait(
            [handle](const boost::system::error_code &) { runtime::http_client::cancel(*handle); });
        (void)co_await client.send(
            make_request("left-" + std::to_string(number), body_for(number + 1)), seconds(30),
            handle);
        ++seen.broken_off;
    }

    asio::awaitable<void> call_many(int connection)
    {
        runtime::http_client client(site.clients(), endpoint_of_entry(), 1U << 20U);
        for (int i = 0; i < calls_per_connection; ++i) {
            std::uint64_t number =
                static_cast<std::uint64_t>(connection) * calls_per_connection + i;
            std::string id = "r-" + std::to_string(number);
            body_bytes body = body_for(number);
            body_bytes expected = answer_for(id, body);
            runtime::exchange it =
                co_await client.send(make_request(id, std::move(body)), seconds(60), nullptr);
            note(it, id, expected);
            if (i % 10 == 0) {
                co_await call_and_leave(number);
            }
        }
        --running;
    }

    asio::ip::tcp::endpoint endpoint_of_entry() const
    {
        return {asio::ip::make_address("127.0.0.1"), site.port_of("dispatcher-1")};
    }

    random_source &random_here()
    {
        return client_random_;
    }

    void drive()
    {
        running = connections;
        for (int i = 0; i < connections; ++i) {
            asio::co_spawn(site.clients(), call_many(i), asio::detached);
        }
        while (running > 0) {
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
    }

    random_source client_random_{11};
};

}  // namespace

// Story: a control room asks for many boxes at once. Answers come back late and
// out of order, and some callers have left. Were an answer matched by anything
// but its own call's number, an operator would read another box's state.
TEST_CASE_FIXTURE(mix_up_fixture, "answers, 10000 calls with reordered replies, each its own whole")
{
    drive();
    MESSAGE("right ", seen.right, ", refused ", seen.refused, ", left ", seen.broken_off);
    CHECK(seen.wrong == 0);
    CHECK(seen.unanswered == 0);
    CHECK(seen.refused == 0);
    CHECK(seen.right == connections * calls_per_connection);
    CHECK(seen.broken_off == connections * calls_per_connection / 10);
}

// The check itself: a worker that hands out answers one byte short is seen.
TEST_CASE_FIXTURE(mix_up_fixture, "answers, worker leaves out a byte, counted as wrong")
{
    answers_cut_short = true;
    drive();
    CHECK(seen.right == 0);
    CHECK(seen.wrong == connections * calls_per_connection);
}
