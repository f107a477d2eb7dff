#include <doctest/doctest.h>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "gullstall/src/edge/clock.hpp"
#include "gullstall/src/edge/http_edge.hpp"

using namespace gullstall;

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

/// An edge whose requests are answered by the test, and one client of it.
struct edge_fixture
{
    static constexpr auto settle_time = std::chrono::milliseconds(50);

    asio::io_context io;
    tcp::endpoint at;
    std::vector<call_ref> requests;
    std::vector<call_ref> abandoned;
    std::vector<std::string> losses;
    std::unique_ptr<edge::http_edge> server;
    tcp::socket client{io};

    edge_fixture()
    {
        tcp::acceptor free_port(io, {asio::ip::make_address("127.0.0.1"), 0});
        at = free_port.local_endpoint();
        free_port.close();
        server = std::make_unique<edge::http_edge>(
            io, at, edge::edge_limits{},
            edge::edge_handlers{
                [this](call_ref id, edge::edge_request &&) { requests.push_back(id); },
                [this](call_ref id) { abandoned.push_back(id); }, [](const std::string &) {},
                [this](const edge::connection_loss &it) {
                    losses.push_back(std::string(it.why) + " " + std::to_string(it.unanswered));
                }});
        client.connect(at);
        run();
    }

    void run()
    {
        io.restart();
        io.run_for(settle_time);
    }

    /// Writes to the connection; the server gets to read it with the next run().
    void write(const std::string &text)
    {
        asio::write(client, asio::buffer(text));
    }

    void send(const std::string &path)
    {
        write("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n");
    }

    void answer(std::size_t request, const char *status_text)
    {
        server->respond(requests.at(request), edge::edge_answer{200, status_text, "", {}});
        run();
    }

    /// \returns all that has arrived at the client
    std::string received()
    {
        std::string out(client.available(), '\0');
        asio::read(client, asio::buffer(out));
        return out;
    }
};

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

}  // namespace

// Guards against a request that was sent before the close and gets no answer.
TEST_CASE_FIXTURE(edge_fixture, "connection drained, request not yet read, is answered")
{
    send("/first");
    run();
    answer(0, "One");
    send("/second");
    server->start_draining();
    run();
    REQUIRE(requests.size() == 2);
    answer(1, "Two");
    std::string got = received();
    CHECK(contains(got, "200 Two"));
    CHECK(contains(got, "Connection: close"));
}

// Guards against the idle time-out of a process that was held up and has not read its input.
TEST_CASE_FIXTURE(edge_fixture, "connection beyond idle time, request not yet read, is answered")
{
    send("/first");
    run();
    answer(0, "One");
    send("/second");
    server->sweep(edge::now() + seconds(60));
    run();
    REQUIRE(requests.size() == 2);
    answer(1, "Two");
    CHECK(contains(received(), "200 Two"));
}

// Guards against a request that is passed on and left unanswered, since the answer before it
// closes the connection.
TEST_CASE_FIXTURE(edge_fixture, "draining, request behind an answer that is ready, is answered")
{
    send("/first");
    send("/second");
    run();
    server->start_draining();
    answer(1, "Two");
    send("/third");
    run();
    REQUIRE(requests.size() == 3);
    answer(0, "One");
    answer(2, "Three");
    CHECK(contains(received(), "200 Three"));
    CHECK(abandoned.empty());
    CHECK(losses.empty());
}

// Guards against a process that ends while requests wait in its sockets.
TEST_CASE_FIXTURE(edge_fixture, "end of the server, request not yet read, counts as work")
{
    CHECK_FALSE(server->has_work());
    send("/first");
    CHECK(server->has_work());
}

// Guards against clients that are reset since they had not been accepted when the socket was
// closed.
TEST_CASE_FIXTURE(edge_fixture, "end of the server, connection not yet accepted, is served")
{
    tcp::socket late(io);
    late.connect(at);
    asio::write(late, asio::buffer(std::string("GET /late HTTP/1.1\r\nHost: h\r\n\r\n")));
    server->stop_listening();
    run();
    CHECK(requests.size() == 1);
    tcp::socket refused(io);
    boost::system::error_code ec;
    refused.connect(at, ec);
    CHECK(ec == asio::error::connection_refused);
}

// Guards against input that a close drops without a line.
TEST_CASE_FIXTURE(edge_fixture, "input behind a last request, unread at the close, is reported")
{
    write("GET /first HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\nGET /second");
    run();
    answer(0, "One");
    CHECK(losses == std::vector<std::string>{"answer 0"});
}

// Guards against a request that runs although its client was told that it has not.
TEST_CASE_FIXTURE(edge_fixture, "request timed out, its rest arrives, is not passed on")
{
    send("/first");
    write("GET /second HTTP/1.1\r\n");
    run();
    server->sweep(edge::now());
    server->sweep(edge::now() + seconds(60));
    write("Host: h\r\n\r\n");
    run();
    CHECK(requests.size() == 1);
    answer(0, "One");
    CHECK(contains(received(), "408 "));
}
