#include <doctest/doctest.h>

#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include "test/support/upstream_orders.hpp"

using namespace gullstall;

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

/// A client and an upstream that answers each request with a given text.
struct odd_answer_fixture
{
    asio::io_context io;
    tcp::acceptor acceptor{io, {asio::ip::make_address("127.0.0.1"), 0}};
    tcp::socket peer{io};
    asio::steady_timer timer{io};
    std::string request;
    std::vector<mesh::run_result> results;
    edge::upstream_client client{io, acceptor.local_endpoint(), test::short_names,
                                 [this](run_ref, mesh::run_result &&it) {
                                     results.push_back(std::move(it));
                                     io.stop();
                                 },
                                 [](std::optional<run_ref>, const mesh::upstream_notice &) {}};

    /// \param then what the upstream does once it has answered
    template <class Action>
    mesh::run_result exchange(mesh::start_run &&order, const std::string &text, Action then)
    {
        results.clear();
        request.clear();
        peer = tcp::socket(io);
        client.start(std::move(order));
        acceptor.async_accept(peer, [&](const boost::system::error_code &) {
            asio::async_read_until(peer, asio::dynamic_buffer(request), "\r\n\r\n",
                                   [&](const boost::system::error_code &, std::size_t) {
                                       boost::system::error_code ec;
                                       asio::write(peer, asio::buffer(text), ec);
                                       then();
                                   });
        });
        io.restart();
        io.run_for(std::chrono::seconds(2));
        client.cancel(run_ref{7});
        io.restart();
        io.poll();
        return results.empty() ? mesh::run_result{mesh::run_end::lost, 0, "", "", {}}
                               : results.front();
    }

    mesh::run_result exchange(const std::string &text)
    {
        return exchange(test::make_order(7, "r"), text, [this] { peer.close(); });
    }

    void reset_after(duration pause)
    {
        timer.expires_after(pause);
        timer.async_wait([this](const boost::system::error_code &) {
            peer.set_option(asio::socket_base::linger(true, 0));
            peer.close();
        });
    }
};

mesh::start_run make_upload(std::size_t body_bytes)
{
    mesh::start_run out = test::make_order(7, "r");
    out.call.method = "POST";
    out.call.body.assign(body_bytes, 'x');
    return out;
}

constexpr std::size_t large_body_bytes = 8U << 20U;
constexpr std::size_t small_body_bytes = 100;

const std::string endless_header = "HTTP/1.1 200 OK\r\nId: r\r\nSeal: s\r\n\r\n";

bool is_passed_on(const mesh::run_result &it)
{
    return it.end == mesh::run_end::answered || it.end == mesh::run_end::not_executed;
}

}  // namespace

// Guards against a part of an answer that is passed on as whole: a write to a connection that was
// reset takes its error, and the next read meets an end of the stream.
TEST_CASE_FIXTURE(odd_answer_fixture,
                  "answer without a length, reset while the request is written, is no answer")
{
    for (int pause_ms : {0, 1, 5, 20, 60, 100}) {
        INFO(pause_ms);
        mesh::run_result got = exchange(make_upload(large_body_bytes), endless_header + "part",
                                        [&] { reset_after(milliseconds(pause_ms)); });
        CHECK(got.end == mesh::run_end::bad_answer);
    }
}

// Guards against the same where no write is under way.
TEST_CASE_FIXTURE(odd_answer_fixture,
                  "answer without a length, reset after a small request, is no answer")
{
    for (int pause_ms : {0, 5, 20}) {
        INFO(pause_ms);
        mesh::run_result got = exchange(make_upload(small_body_bytes), endless_header + "part",
                                        [&] { reset_after(milliseconds(pause_ms)); });
        CHECK(got.end == mesh::run_end::bad_answer);
    }
}

// Guards against a whole answer that is given up, since the upstream has read none of the request's
// body and ends only its own stream.
TEST_CASE_FIXTURE(odd_answer_fixture,
                  "answer without a length, ended before the request is read, is whole")
{
    mesh::run_result got = exchange(make_upload(large_body_bytes), endless_header + "whole",
                                    [&] { peer.shutdown(tcp::socket::shutdown_send); });
    REQUIRE(got.end == mesh::run_end::answered);
    CHECK(std::string(got.body.begin(), got.body.end()) == "whole");
}

// Guards against an answer whose status means nothing to a caller.
TEST_CASE_FIXTURE(odd_answer_fixture, "status that is none, answer, is not passed on")
{
    for (const char *status : {"000", "001", "099", "101", "600", "999"}) {
        for (const char *behind : {"", "HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 2\r\n\r\nok"}) {
            INFO(std::string(status), " ", std::string(behind));
            std::string text = std::string("HTTP/1.1 ") + status +
                               " Odd\r\nId: r\r\nContent-Length: 0\r\n\r\n" + behind;
            CHECK_FALSE(is_passed_on(exchange(text)));
        }
    }
    for (const char *status : {"200", "299", "404", "599"}) {
        INFO(std::string(status));
        std::string text =
            std::string("HTTP/1.1 ") + status + " Usual\r\nId: r\r\nContent-Length: 2\r\n\r\nok";
        CHECK(is_passed_on(exchange(text)));
    }
}

// Guards against a field that is passed on, or a body that is framed by it, although its line is
// none that the protocol allows.
TEST_CASE_FIXTURE(odd_answer_fixture, "line that is no field, answer, is not passed on")
{
    const std::string null_byte(1, '\0');
    const std::vector<std::string> odd_parts{" ",  "\t",      "\x01", "\x7f", "\r",
                                             "\n", null_byte, "(",    "\xc3"};
    const std::vector<std::string> odd_values{"2\x01", "\0022", "2\x7f",
                                              "2\r3",  "2\n 3", "2" + null_byte};
    std::vector<std::string> lines;
    for (const char *name : {"X-Odd", "Content-Length"}) {
        std::string text = name;
        for (const std::string &part : odd_parts) {
            for (std::size_t at = 0; at <= text.size(); ++at) {
                lines.push_back(text.substr(0, at) + part + text.substr(at) + ": 2\r\n");
            }
        }
        for (const std::string &value : odd_values) {
            lines.push_back(text);
            lines.back().append(": ").append(value).append("\r\n");
        }
        lines.push_back(text + "\r\n");
        lines.push_back(": 2\r\n");
    }
    for (const std::string &line : lines) {
        std::string shown;
        for (char c : line) {
            shown += c < ' ' ? "<" + std::to_string(c) + ">" : std::string(1, c);
        }
        INFO(shown);
        CHECK_FALSE(is_passed_on(
            exchange("HTTP/1.1 200 OK\r\nId: r\r\n" + line + "Content-Length: 2\r\n\r\nok")));
        CHECK_FALSE(is_passed_on(exchange("HTTP/1.1 200 OK\r\n" + line +
                                          "Id: r\r\nTransfer-Encoding: chunked\r\n\r\n"
                                          "2\r\nok\r\n0\r\n\r\n")));
        CHECK_FALSE(
            is_passed_on(exchange("HTTP/1.1 200 OK\r\nId: r\r\nTransfer-Encoding: chunked"
                                  "\r\n\r\n2\r\nok\r\n0\r\n" +
                                  line + "\r\n")));
    }
}

// Guards against a field in two lines that is passed on as two, of which the second one is none.
TEST_CASE_FIXTURE(odd_answer_fixture, "field folded into two lines, answer, is passed on as one")
{
    for (const char *fold : {"\r\n ", "\r\n\t"}) {
        mesh::run_result got = exchange("HTTP/1.1 200 OK\r\nId: r\r\nX-Odd: a" + std::string(fold) +
                                        "b\r\nContent-Length: 2\r\n\r\nok");
        REQUIRE(got.end == mesh::run_end::answered);
        CHECK(got.header_lines == "Id: r\r\nX-Odd: a b\r\n");
    }
}
