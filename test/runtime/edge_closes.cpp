#include <doctest/doctest.h>

#include <algorithm>
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

/// The client has an answer of which most waits in the sockets, since it hasn't read any yet.
struct unread_answer_fixture : edge_fixture
{
    static constexpr int receive_buffer_bytes = 4096;
    static constexpr std::size_t body_bytes = 100000;

    void open(const std::string &fields)
    {
        client = tcp::socket(io, tcp::v4());
        client.set_option(asio::socket_base::receive_buffer_size(receive_buffer_bytes));
        client.connect(at);
        write("GET /first HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n");
        run();
        server->respond(
            requests.at(0),
            edge::edge_answer{200, "One", "", std::vector<std::uint8_t>(body_bytes, 'x')});
        run();
    }

    /// Reads while the server runs, until nothing more comes.
    std::string read_slowly()
    {
        std::string out;
        boost::system::error_code ec;
        for (std::string more = " "; !ec && !more.empty(); out += more) {
            more.assign(receive_buffer_bytes, '\0');
            run();
            more.resize(client.available(ec) > 0 ? client.read_some(asio::buffer(more), ec) : 0);
        }
        return out;
    }

    void write_if_open(const std::string &text)
    {
        boost::system::error_code ec;
        asio::write(client, asio::buffer(text), ec);
        run();
    }

    /// Sends a second request and answers it. \returns all that the client then reads
    std::string exchange_second()
    {
        write_if_open("GET /second HTTP/1.1\r\nHost: h\r\n\r\n");
        REQUIRE(requests.size() == 2);
        answer(1, "Two");
        return read_slowly();
    }

    static bool has_whole_body(const std::string &got)
    {
        return static_cast<std::size_t>(std::count(got.begin(), got.end(), 'x')) >= body_bytes;
    }
};

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

// Guards against a request that is dropped without an answer since the drain came between its
// read and the handler of that read.
TEST_CASE("connection drained at any step of a read, request, is answered")
{
    constexpr int max_steps = 12;
    for (int steps = 0; steps < max_steps; ++steps) {
        INFO(steps);
        edge_fixture it;
        tcp::socket late(it.io);
        late.connect(it.at);
        asio::write(late, asio::buffer(std::string("GET /late HTTP/1.1\r\nHost: h\r\n\r\n")));
        it.io.restart();
        for (int i = 0; i < steps; ++i) {
            it.io.poll_one();
        }
        it.server->start_draining();
        CHECK(it.server->has_work());
        it.run();
        CHECK(it.requests.size() == 1);
    }
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

// Guards against an answer whose rest is lost when its reader sends the next request to a server
// that is being stopped.
TEST_CASE_FIXTURE(unread_answer_fixture, "server drained, answer not yet read, is whole")
{
    open("");
    server->start_draining();
    server->sweep(edge::now());
    CHECK(server->has_work());
    std::string got = exchange_second();
    CHECK(has_whole_body(got));
    CHECK(contains(got, "200 Two"));
    CHECK(contains(got, "Connection: close"));
    CHECK_FALSE(server->has_work());
}

// Guards against a server that waits for more once the reader has all.
TEST_CASE_FIXTURE(unread_answer_fixture, "server drained, answer read, connection ends")
{
    open("");
    server->start_draining();
    CHECK(has_whole_body(read_slowly()));
    server->sweep(edge::now());
    run();
    CHECK_FALSE(server->has_work());
    boost::system::error_code ec;
    char byte = 0;
    client.read_some(asio::buffer(&byte, 1), ec);
    CHECK(ec == asio::error::eof);
}

// Guards against the idle time-out of a connection whose answer is being read.
TEST_CASE_FIXTURE(unread_answer_fixture, "beyond idle time, answer not yet read, is whole")
{
    open("");
    server->sweep(edge::now() + seconds(60));
    std::string got = exchange_second();
    CHECK(has_whole_body(got));
    CHECK(contains(got, "200 Two"));
}

// Guards against a last answer whose rest is lost when its reader sends more.
TEST_CASE_FIXTURE(unread_answer_fixture, "connection closing, answer not yet read, is whole")
{
    open("Connection: close\r\n");
    server->sweep(edge::now() + seconds(2));
    write_if_open("GET /second HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(has_whole_body(read_slowly()));
}

// Guards against a reader that takes nothing and holds its connection for good.
TEST_CASE_FIXTURE(unread_answer_fixture, "answer never read, connection is given up")
{
    open("");
    server->start_draining();
    time_point at = edge::now();
    server->sweep(at);
    CHECK(server->has_work());
    server->sweep(at + seconds(11));
    CHECK_FALSE(server->has_work());
}
