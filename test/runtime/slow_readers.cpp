#include <doctest/doctest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "gullstall/src/edge/clock.hpp"
#include "gullstall/src/edge/http_edge.hpp"
#include "gullstall/src/edge/upstream_client.hpp"

using namespace gullstall;

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::size_t whole_answer_bytes = 400000;

/// More than the socket's send buffer holds.
constexpr std::size_t large_answer_bytes = 16U << 20U;

constexpr int receive_buffer_bytes = 8192;

/// An edge that answers each request with a large body.
struct slow_reader_fixture
{
    asio::io_context io;
    tcp::endpoint at;
    std::unique_ptr<edge::http_edge> server;
    asio::steady_timer sweep_timer{io};
    std::size_t answer_bytes = whole_answer_bytes;
    duration clock_ahead{};  ///< of the sweeps, so that a limit of seconds passes sooner

    slow_reader_fixture()
    {
        asio::ip::tcp::acceptor free_port(io, {asio::ip::make_address("127.0.0.1"), 0});
        at = free_port.local_endpoint();
        free_port.close();
        server = std::make_unique<edge::http_edge>(
            io, at, edge::edge_limits{},
            edge::edge_handlers{[this](call_ref id, edge::edge_request &&) {
                                    server->respond(id, edge::edge_answer{200, "OK", "",
                                                                          std::vector<std::uint8_t>(
                                                                              answer_bytes, 'x')});
                                },
                                [](call_ref) {}});
        sweep();
    }

    void sweep()
    {
        sweep_timer.expires_after(milliseconds(250));
        sweep_timer.async_wait([this](const boost::system::error_code &ec) {
            if (!ec) {
                server->sweep(edge::now() + clock_ahead);
                sweep();
            }
        });
    }

    /// Sends a request, waits, and then reads for a time, with pauses.
    /// \returns the bytes that came
    std::size_t read_slowly(duration first_pause, duration pause, duration length)
    {
        std::size_t got = 0;
        asio::co_spawn(
            io,
            [&]() -> asio::awaitable<void> {
                tcp::socket socket(io, tcp::v4());
                socket.set_option(asio::socket_base::receive_buffer_size(receive_buffer_bytes));
                co_await socket.async_connect(at, asio::use_awaitable);
                static constexpr std::string_view request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
                co_await asio::async_write(socket, asio::buffer(request), asio::use_awaitable);
                asio::steady_timer timer(io, first_pause);
                co_await timer.async_wait(asio::use_awaitable);
                std::vector<char> buf(receive_buffer_bytes);
                boost::system::error_code ec;
                time_point end = edge::now() + length;
                while (!ec && edge::now() < end && got < answer_bytes) {
                    got += co_await socket.async_read_some(
                        asio::buffer(buf), asio::redirect_error(asio::use_awaitable, ec));
                    timer.expires_after(pause);
                    co_await timer.async_wait(asio::use_awaitable);
                }
                io.stop();
            },
            asio::detached);
        io.run();
        return got;
    }
};

/// An upstream that reads nothing of a request for some time, and then all of it.
struct slow_upstream_fixture
{
    static constexpr duration pause = milliseconds(3500);
    static constexpr std::size_t body_bytes = 8U << 20U;

    asio::io_context io;
    tcp::acceptor acceptor{io, {asio::ip::make_address("127.0.0.1"), 0}};
    edge::header_names names{"Id",      "Left",     "Expect", "Caller",
                             "Not-Run", "Customer", "Limit",  "Leaving"};
    std::vector<mesh::run_result> results;
    edge::upstream_client client{io, acceptor.local_endpoint(), names,
                                 [this](run_ref, mesh::run_result &&it) {
                                     results.push_back(std::move(it));
                                     io.stop();
                                 },
                                 [](std::optional<run_ref>, const mesh::upstream_notice &) {}};

    slow_upstream_fixture()
    {
        acceptor.set_option(asio::socket_base::receive_buffer_size(receive_buffer_bytes));
        asio::co_spawn(io, answer_slowly(), asio::detached);
    }

    asio::awaitable<void> answer_slowly()
    {
        tcp::socket socket = co_await acceptor.async_accept(asio::use_awaitable);
        asio::steady_timer timer(io, pause);
        co_await timer.async_wait(asio::use_awaitable);
        std::vector<char> buf(1U << 16U);
        boost::system::error_code ec;
        std::size_t got = 0;
        while (!ec && got < body_bytes) {
            got += co_await socket.async_read_some(asio::buffer(buf),
                                                   asio::redirect_error(asio::use_awaitable, ec));
        }
        static constexpr std::string_view answer =
            "HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 2\r\n\r\nok";
        co_await asio::async_write(socket, asio::buffer(answer),
                                   asio::redirect_error(asio::use_awaitable, ec));
    }

    void send_large_request()
    {
        mesh::start_run order;
        order.run = run_ref{7};
        order.call.request_id = "r";
        order.call.method = "POST";
        order.call.target = "/";
        order.call.header_lines = "Id: r\r\n";
        order.call.body.assign(body_bytes, 'x');
        order.upstream = "u";
        order.left = seconds(20);
        client.start(std::move(order));
        io.run_for(std::chrono::seconds(20));
    }
};

}  // namespace

// Guards against requests that are lost since their upstream, which is alive, pauses for seconds.
TEST_CASE_FIXTURE(slow_upstream_fixture, "upstream pauses before it reads, large body, is answered")
{
    send_large_request();
    REQUIRE(results.size() == 1);
    CHECK(results[0].end == mesh::run_end::answered);
}

// Guards against answers that are lost since their reader, which is alive, pauses for seconds.
TEST_CASE_FIXTURE(slow_reader_fixture, "client pauses before it reads, answer, is whole")
{
    CHECK(read_slowly(milliseconds(3500), duration{}, seconds(10)) >= whole_answer_bytes);
}

// Guards against a limit on the time of a whole answer, which ends clients that read steadily.
TEST_CASE_FIXTURE(slow_reader_fixture, "client reads steadily, answer beyond the limit, goes on")
{
    answer_bytes = large_answer_bytes;
    clock_ahead = seconds(8);
    read_slowly(duration{}, milliseconds(10), milliseconds(3500));
    CHECK(server->has_work());
}

// Guards against a client that never reads and holds an answer's memory for good.
TEST_CASE_FIXTURE(slow_reader_fixture, "client reads nothing, answer beyond the limit, is given up")
{
    answer_bytes = large_answer_bytes;
    clock_ahead = seconds(8);
    read_slowly(milliseconds(3500), duration{}, duration{});
    CHECK_FALSE(server->has_work());
}
