#include <doctest/doctest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include "gullstall/src/runtime/http_client.hpp"

using namespace gullstall;

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using runtime::exchange_end;

/// A server that answers the first request of each connection and leaves it silent after that.
struct silent_server_fixture
{
    static constexpr duration answer_delay = milliseconds(20);
    static constexpr duration call_timeout = milliseconds(300);
    static constexpr std::uint64_t max_body_bytes = 1000;

    asio::io_context io;
    tcp::acceptor acceptor{io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)};
    int accepted = 0;

    silent_server_fixture()
    {
        asio::co_spawn(io, accept_all(), asio::detached);
    }

    asio::awaitable<void> accept_all()
    {
        while (true) {
            tcp::socket socket = co_await acceptor.async_accept(asio::use_awaitable);
            ++accepted;
            asio::co_spawn(io, answer_once(std::move(socket)), asio::detached);
        }
    }

    asio::awaitable<void> answer_once(tcp::socket socket)
    {
        boost::system::error_code ec;
        boost::beast::flat_buffer buf;
        http::request<http::string_body> request;
        co_await http::async_read(socket, buf, request,
                                  asio::redirect_error(asio::use_awaitable, ec));
        asio::steady_timer delay(io, answer_delay);
        co_await delay.async_wait(asio::use_awaitable);
        http::response<http::string_body> response{http::status::ok, 11};
        response.prepare_payload();
        co_await http::async_write(socket, response, asio::redirect_error(asio::use_awaitable, ec));
        while (!ec) {
            co_await socket.async_read_some(buf.prepare(1000),
                                            asio::redirect_error(asio::use_awaitable, ec));
        }
    }

    static asio::awaitable<exchange_end> call(runtime::http_client &client)
    {
        runtime::http_request request{http::verb::get, "/", 11};
        runtime::exchange it = co_await client.send(std::move(request), call_timeout, nullptr);
        co_return it.end;
    }

    void run(asio::awaitable<void> test)
    {
        asio::co_spawn(io, std::move(test), [this](const std::exception_ptr &error) {
            CHECK(error == nullptr);
            io.stop();
        });
        io.run();
    }

    /// Leaves two connections idle in the client.
    asio::awaitable<void> open_two(runtime::http_client &client)
    {
        int answered = 0;
        for (int i = 0; i < 2; ++i) {
            asio::co_spawn(io, call(client), [&](const std::exception_ptr &, exchange_end end) {
                answered += end == exchange_end::answered ? 1 : 0;
            });
        }
        asio::steady_timer delay(io, 10 * answer_delay);
        co_await delay.async_wait(asio::use_awaitable);
        CHECK(answered == 2);
        CHECK(accepted == 2);
    }
};

}  // namespace

// Guards against a call after a lost one that goes over another connection that is silent, too.
TEST_CASE_FIXTURE(silent_server_fixture, "idle connections silent, call lost, next one is answered")
{
    runtime::http_client client(io, acceptor.local_endpoint(), max_body_bytes);
    run([&]() -> asio::awaitable<void> {
        co_await open_two(client);
        CHECK(co_await call(client) == exchange_end::lost);
        CHECK(co_await call(client) == exchange_end::answered);
    }());
}

// Guards against a call over a connection that went silent while it rested.
TEST_CASE_FIXTURE(silent_server_fixture, "connections rested beyond the limit, call, is answered")
{
    runtime::http_client client(io, acceptor.local_endpoint(), max_body_bytes, answer_delay);
    run([&]() -> asio::awaitable<void> {
        co_await open_two(client);
        CHECK(co_await call(client) == exchange_end::answered);
    }());
}
