#include <doctest/doctest.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "gullstall/src/edge/http_edge.hpp"
#include "gullstall/src/edge/peer_links.hpp"
#include "gullstall/src/edge/spawn.hpp"
#include "gullstall/src/edge/upstream_client.hpp"

using namespace gullstall;

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr auto longest_test = std::chrono::seconds(10);

struct exception_fixture
{
    asio::io_context io;
    std::vector<std::string> reported;

    /// \returns a free port of loopback
    tcp::endpoint free_endpoint()
    {
        tcp::acceptor any(io, {asio::ip::make_address("127.0.0.1"), 0});
        return any.local_endpoint();
    }

    std::function<void(const std::string &)> reporter()
    {
        return [this](const std::string &what) {
            reported.push_back(what);
            io.stop();
        };
    }

    /// Sends bytes and reads until the other side closes.
    asio::awaitable<void> send_and_wait(tcp::endpoint to, std::string bytes)
    {
        tcp::socket socket(io);
        co_await socket.async_connect(to, asio::use_awaitable);
        co_await asio::async_write(socket, asio::buffer(bytes), asio::use_awaitable);
        boost::system::error_code ec;
        std::vector<char> buf(1000);
        while (!ec) {
            co_await socket.async_read_some(asio::buffer(buf),
                                            asio::redirect_error(asio::use_awaitable, ec));
        }
        is_closed = true;
    }

    void run()
    {
        io.run_for(longest_test);
        io.restart();
        io.run_for(std::chrono::milliseconds(200));
    }

    bool is_closed = false;
};

[[noreturn]] void fail()
{
    throw std::out_of_range("no such call");
}

}  // namespace

// Guards against a connection that is open for good and never read again.
TEST_CASE_FIXTURE(exception_fixture, "caller's connection, handler throws, is closed and reported")
{
    tcp::endpoint at = free_endpoint();
    edge::http_edge server(io, at, edge::edge_limits{},
                           edge::edge_handlers{[](call_ref, edge::edge_request &&) { fail(); },
                                               [](call_ref) {}, reporter()});
    edge::spawn_essential(io, send_and_wait(at, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"));
    run();
    CHECK(reported == std::vector<std::string>{"no such call"});
    CHECK(is_closed);
}

// Guards against a run that never ends, since its end was not reported.
TEST_CASE_FIXTURE(exception_fixture, "exchange with the upstream, handler throws, is reported")
{
    tcp::acceptor closed(io, {asio::ip::make_address("127.0.0.1"), 0});
    tcp::endpoint at = closed.local_endpoint();
    closed.close();
    edge::header_names names{"Id",      "Left",     "Expect", "Caller",
                             "Not-Run", "Customer", "Limit",  "Leaving"};
    edge::upstream_client client(
        io, at, names, [](run_ref, mesh::run_result &&) { fail(); },
        [](std::optional<run_ref>, const mesh::upstream_notice &) {}, reporter());
    mesh::start_run order;
    order.run = run_ref{7};
    order.call.method = "GET";
    order.call.target = "/";
    order.left = seconds(1);
    client.start(std::move(order));
    run();
    CHECK(reported == std::vector<std::string>{"no such call"});
}

// Guards against a probe whose result is waited for without end.
TEST_CASE_FIXTURE(exception_fixture, "probe of the upstream, handler throws, is reported")
{
    edge::upstream_client client(
        io, free_endpoint(), {}, [](run_ref, mesh::run_result &&) {},
        [](std::optional<run_ref>, const mesh::upstream_notice &) {}, reporter());
    client.probe([](mesh::upstream_probe) { fail(); });
    run();
    CHECK(reported == std::vector<std::string>{"no such call"});
}

// Guards against a link between nodes that is open and carries nothing.
TEST_CASE_FIXTURE(exception_fixture, "link of another node, handler throws, is closed and reported")
{
    tcp::endpoint at = free_endpoint();
    auto hello = [](const std::string &) {
        mesh_wire::hello_message out;
        out.node = "a";
        out.zone = "z";
        return out;
    };
    edge::peer_links failing(
        io, at,
        edge::peer_link_handlers{
            hello, [](const std::string &) {},
            [](const std::string &, const std::string &, const std::vector<std::uint64_t> &) {},
            [](const std::string &, mesh_wire::frame_message &&) {},
            [](mesh::link_ref, mesh_wire::frame_message &&) { fail(); }, [](mesh::link_ref) {},
            reporter()},
        false);
    edge::peer_links dialing(
        io, free_endpoint(),
        edge::peer_link_handlers{
            hello,
            [](const std::string &) {},
            [](const std::string &, const std::string &, const std::vector<std::uint64_t> &) {},
            [](const std::string &, mesh_wire::frame_message &&) {},
            [](mesh::link_ref, mesh_wire::frame_message &&) {},
            [](mesh::link_ref) {},
            {}},
        false);
    dialing.connect(mesh::node_address{"b", "z", endpoint{"127.0.0.1", at.port()}, 1});
    run();
    REQUIRE_FALSE(reported.empty());
    CHECK(reported.front() == "no such call");
}

// Guards against a process that lives on without a part that it can't do without.
TEST_CASE_FIXTURE(exception_fixture, "essential coroutine, throws, the exception leaves the loop")
{
    edge::spawn_essential(io, []() -> asio::awaitable<void> {
        fail();
        co_return;
    });
    CHECK_THROWS_AS(io.run(), std::out_of_range);
}
