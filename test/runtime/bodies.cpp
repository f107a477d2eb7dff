#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/write.hpp>

#include "test/support/loopback.hpp"

using namespace gullstall;

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr std::uint16_t first_port = 26400;
constexpr std::uint32_t slots = 200;
constexpr std::uint32_t connection_limit = 64;
constexpr std::uint64_t body_limit = 9U << 20U;
constexpr std::size_t photograph_bytes = 8U << 20U;

constexpr const char *bundle_text = R"(
[bundle]
version = 1
previous = none
author = tester
reference = CB-1
[limits]
default_time_ms = 30000
)";

/// An entry node and a node whose worker echoes, or ends its answers early.
struct bodies_fixture
{
    test::loopback_site site{first_port};
    std::atomic<int> runs{0};
    asio::io_context io;

    bodies_fixture()
    {
        site.publish(bundle_text);
        auto answer = [this](boost::beast::tcp_stream &stream, runtime::http_request &request) {
            return answer_run(stream, request);
        };
        node_settings &entry = site.add("dispatcher-1", "dispatcher", slots, answer);
        entry.listen.connection_limit = connection_limit;
        entry.listen.body_limit_bytes = body_limit;
        entry.listen.header_limit_bytes = 8192;
        entry.listen.read_timeout_ms = 3000;
        site.add("photodesk-1", "photodesk", slots, answer);
        site.start();
        REQUIRE(site.wait_for("dispatcher-1", "/call/photodesk/photo"));
        runs = 0;
    }

    asio::awaitable<void> answer_run(boost::beast::tcp_stream &stream,
                                     runtime::http_request &request)
    {
        ++runs;
        boost::system::error_code ec;
        std::string target(request.target());
        std::string early;
        if (target == "/short") {
            early = "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n" + std::string(500, 'x');
        } else if (target == "/endless") {
            early = "HTTP/1.1 200 OK\r\n\r\n" + std::string(500, 'x');
        } else if (target == "/chunks") {
            early = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1f4\r\n" +
                    std::string(500, 'x') + "\r\n";
        }
        if (!early.empty()) {
            co_await asio::async_write(stream, asio::buffer(early),
                                       asio::redirect_error(asio::use_awaitable, ec));
            stream.socket().close(ec);
            co_return;
        }
        http::response<http::vector_body<std::uint8_t>> response{http::status::ok, 11};
        response.body() = request.body();
        response.prepare_payload();
        co_await http::async_write(stream, response, asio::redirect_error(asio::use_awaitable, ec));
    }

    asio::ip::tcp::socket connect(std::uint16_t port)
    {
        asio::ip::tcp::socket out(io);
        out.connect({asio::ip::make_address("127.0.0.1"), port});
        return out;
    }
    asio::ip::tcp::socket connect_entry()
    {
        return connect(site.port_of("dispatcher-1"));
    }

    /// \returns all that comes until the other side closes
    static std::string read_all(asio::ip::tcp::socket &socket)
    {
        std::string out;
        boost::system::error_code ec;
        asio::read(socket, asio::dynamic_buffer(out), ec);
        return ec == asio::error::eof ? out : out + " (" + ec.message() + ")";
    }

    /// Sends \a text, ends the sending side when \a end is set.
    /// \returns the answer until the other side closes
    std::string exchange_text(const std::string &text, bool end)
    {
        asio::ip::tcp::socket socket = connect_entry();
        boost::system::error_code ec;
        asio::write(socket, asio::buffer(text), ec);
        if (end) {
            socket.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
        }
        return read_all(socket);
    }

    runtime::exchange call(const std::string &operation, body_bytes body)
    {
        runtime::http_request request{http::verb::post, "/call/photodesk/" + operation, 11};
        request.body() = std::move(body);
        return site.exchange_with(site.port_of("dispatcher-1"), std::move(request));
    }
};

bool has(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

}  // namespace

TEST_CASE_FIXTURE(bodies_fixture, "body, photograph of 8 MB, passes byte for byte")
{
    body_bytes photograph(photograph_bytes);
    random_source random(3);
    std::generate(photograph.begin(), photograph.end(),
                  [&] { return static_cast<std::uint8_t>(random()); });
    runtime::exchange it = call("photo", photograph);
    REQUIRE(it.end == runtime::exchange_end::answered);
    CHECK(it.response.result_int() == 200);
    CHECK(it.response.body() == photograph);
}

// Story: a field crew drives into a dead spot while a photograph is sent. The
// node holds half a body; were it handed on, the worker would store half a
// photograph and report success.
TEST_CASE_FIXTURE(bodies_fixture, "body, caller stops halfway, nothing runs and it is told so")
{
    std::string answer =
        exchange_text("POST /call/photodesk/photo HTTP/1.1\r\nContent-Length: 1000\r\n\r\n" +
                          std::string(500, 'x'),
                      true);
    CHECK(has(answer, "400 Bad Request"));
    CHECK(has(answer, "request-cut-short"));
    CHECK(has(answer, "Gullstall-Outcome: not-run"));
    CHECK(runs == 0);
}

// Story: a worker dies while it writes its answer. What came so far looks like
// an answer; handed on, the caller would take half of it for the whole.
TEST_CASE_FIXTURE(bodies_fixture, "body, worker stops halfway, unknown and never a short success")
{
    for (const char *operation : {"short", "chunks", "endless"}) {
        CAPTURE(operation);
        runtime::exchange it = call(operation, {});
        REQUIRE(it.end == runtime::exchange_end::answered);
        CHECK(it.response.result_int() == 504);
        CHECK(it.response[runtime::header::outcome] == "unknown");
        CHECK_FALSE(it.response[runtime::header::reason].empty());
        CHECK(it.response.body().empty());
    }
}

TEST_CASE_FIXTURE(bodies_fixture, "body, above the limit, refused with 413 before it is sent")
{
    std::string answer = exchange_text(
        "POST /call/photodesk/photo HTTP/1.1\r\nContent-Length: 10000000\r\n"
        "Expect: 100-continue\r\n\r\n",
        true);
    CHECK(has(answer, "413"));
    CHECK(has(answer, "body-too-large"));
    CHECK_FALSE(has(answer, "100 Continue"));
    CHECK(runs == 0);
}

// Story: a caller sends a body that is too large without waiting. Closing at
// once resets the connection, and the caller sees a fault of the network in
// place of the reason.
TEST_CASE_FIXTURE(bodies_fixture, "body, sent above the limit, the reason still reaches the caller")
{
    constexpr std::size_t too_many = 10000000;
    std::string body;
    body.resize(too_many, 'x');
    std::string answer = exchange_text(
        "POST /call/photodesk/photo HTTP/1.1\r\nContent-Length: 10000000\r\n\r\n" + body, true);
    CHECK(has(answer, "413"));
    CHECK(has(answer, "body-too-large"));
    CHECK_FALSE(has(answer, "reset"));
}

TEST_CASE_FIXTURE(bodies_fixture, "body, caller waits for 100 Continue, gets it and its answer")
{
    asio::ip::tcp::socket socket = connect_entry();
    asio::write(socket, asio::buffer(std::string(
                            "POST /call/photodesk/photo HTTP/1.1\r\nContent-Length: 5\r\n"
                            "Expect: 100-continue\r\nConnection: close\r\n\r\n")));
    std::string first;
    asio::read_until(socket, asio::dynamic_buffer(first), "\r\n\r\n");
    CHECK(has(first, "100 Continue"));
    asio::write(socket, asio::buffer(std::string("whole")));
    std::string answer = read_all(socket);
    CHECK(has(answer, "200 OK"));
    CHECK(has(answer, "\r\n\r\nwhole"));
}

TEST_CASE_FIXTURE(bodies_fixture, "body, sent in chunks, passes whole")
{
    std::string answer = exchange_text(
        "POST /call/photodesk/photo HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
        "Connection: close\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
        false);
    CHECK(has(answer, "200 OK"));
    CHECK(has(answer, "\r\n\r\nabcde"));
}

TEST_CASE_FIXTURE(bodies_fixture, "header, above the limit, refused with 431")
{
    std::string answer = exchange_text(
        "POST /call/photodesk/photo HTTP/1.1\r\nX-Long: " + std::string(20000, 'x') + "\r\n\r\n",
        true);
    CHECK(has(answer, "431"));
    CHECK(has(answer, "header-too-large"));
}

// Guards against a node that is ended for its memory by a chunk whose extensions never end.
TEST_CASE_FIXTURE(bodies_fixture, "chunk extensions, above the limit, refused with 431")
{
    std::string answer = exchange_text(
        "POST /call/photodesk/photo HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;" +
            std::string(200000, 'x'),
        true);
    CHECK(has(answer, "431"));
}

TEST_CASE_FIXTURE(bodies_fixture, "request, not HTTP, refused with 400 and the connection closes")
{
    const std::string start = "POST /call/photodesk/photo HTTP/1.1\r\n";
    for (const std::string &text :
         {std::string("nonsense\r\n\r\n"), std::string("POST /x HTTP/9.9\r\n\r\n"),
          start + "Content-Length: many\r\n\r\n", start + "no colon\r\n\r\n",
          start + "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
          start + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab"}) {
        CAPTURE(text);
        std::string answer = exchange_text(text, true);
        CHECK(has(answer, "400 Bad Request"));
        CHECK(has(answer, "bad-request"));
        CHECK_FALSE(has(answer, "reset"));
    }
    CHECK(runs == 0);
}

// Story: a sender keeps a connection and sends a byte now and then. Without a
// limit for the whole request such senders hold all connections.
TEST_CASE_FIXTURE(bodies_fixture, "request, sent too slowly, refused with 408 and the reason")
{
    std::string answer = exchange_text(
        "POST /call/photodesk/photo HTTP/1.1\r\nContent-Length: 1000\r\n\r\nabc", false);
    CHECK(has(answer, "408"));
    CHECK(has(answer, "request-too-slow"));
    CHECK(runs == 0);
}

TEST_CASE_FIXTURE(bodies_fixture, "connections, above the limit, refused with 503 and the reason")
{
    std::vector<asio::ip::tcp::socket> open;
    for (std::uint32_t i = 0; i < connection_limit; ++i) {
        open.push_back(connect_entry());
    }
    asio::ip::tcp::socket one_more = connect_entry();
    std::string answer = read_all(one_more);
    CHECK(has(answer, "503"));
    CHECK(has(answer, "too-many-connections"));
    open.clear();
    CHECK(site.wait_for("dispatcher-1", "/call/photodesk/photo"));
}

// Story: something that is no node connects to the peers' port and sends
// noise. It must lose its own connection, and calls in flight go on.
TEST_CASE_FIXTURE(bodies_fixture, "peers, a bad frame, closes its own connection only")
{
    std::uint16_t port = site.settings_of("photodesk-1").listen.peers_port;
    const std::string too_long("\xff\xff\xff\x7f", frame_prefix_bytes);
    const std::string noise = std::string("\x08\0\0\0", frame_prefix_bytes) + "nonsense";
    for (const std::string &bytes : {too_long, noise}) {
        asio::ip::tcp::socket stranger = connect(port);
        asio::write(stranger, asio::buffer(bytes));
        CHECK(read_all(stranger).find('(') == std::string::npos);
        runtime::exchange it = call("photo", {1, 2, 3});
        CHECK(it.response.result_int() == 200);
        CHECK(it.response.body() == body_bytes{1, 2, 3});
    }
}
