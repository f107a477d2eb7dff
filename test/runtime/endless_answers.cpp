#include <doctest/doctest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "test/support/upstream_orders.hpp"

using namespace gullstall;

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

/// An upstream that sends bytes without end, in the place that the request's path names.
struct endless_answer_fixture
{
    static constexpr std::size_t memory_bytes = 8U << 20U;
    static constexpr std::size_t chunk_bytes = 1U << 16U;

    asio::io_context io;
    tcp::acceptor acceptor{io, {asio::ip::make_address("127.0.0.1"), 0}};
    std::map<run_ref, mesh::run_result> results;
    std::uint64_t sent_bytes = 0;
    std::uint64_t wanted = 0;
    edge::upstream_client client{io, acceptor.local_endpoint(), test::short_names,
                                 [this](run_ref id, mesh::run_result &&it) {
                                     results[id] = std::move(it);
                                     if (results.size() == wanted) {
                                         io.stop();
                                     }
                                 },
                                 [](std::optional<run_ref>, const mesh::upstream_notice &) {}};

    endless_answer_fixture()
    {
        client.limit_response_memory(memory_bytes);
        asio::co_spawn(io, accept(), asio::detached);
    }

    asio::awaitable<void> accept()
    {
        while (true) {
            tcp::socket peer = co_await acceptor.async_accept(asio::use_awaitable);
            asio::co_spawn(io, answer(std::move(peer)), asio::detached);
        }
    }

    asio::awaitable<void> answer(tcp::socket peer)
    {
        std::string request;
        boost::system::error_code ec;
        auto token = asio::redirect_error(asio::use_awaitable, ec);
        co_await asio::async_read_until(peer, asio::dynamic_buffer(request), "\r\n\r\n", token);
        std::string path = request.substr(4, request.find(' ', 4) - 4);
        std::string id = request.substr(request.find("Id: "));
        id = id.substr(0, id.find("\r\n") + 2);
        std::string begin = "HTTP/1.1 200 OK\r\n" + id;
        if (path == "/good") {
            begin += "Content-Length: 2\r\n\r\nok";
        } else if (path == "/body") {
            begin += "\r\n";
        } else if (path == "/anonymous") {
            begin = "HTTP/1.1 200 OK\r\n\r\n";
        } else if (path == "/interim") {
            begin = "HTTP/1.1 103 Early Hints\r\n\r\n";
        } else if (path == "/extension") {
            begin += "Transfer-Encoding: chunked\r\n\r\n1;";
        } else if (path == "/trailer") {
            begin += "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nX-Long: ";
        } else {
            begin += "X-Long: ";
        }
        co_await asio::async_write(peer, asio::buffer(begin), token);
        std::string more = path == "/interim" ? begin : std::string(chunk_bytes, 'x');
        while (!ec && path != "/good") {
            co_await asio::async_write(peer, asio::buffer(more), token);
            sent_bytes += more.size();
        }
    }

    void send(std::uint64_t run, const std::string &path)
    {
        client.start(test::make_order(run, "r" + std::to_string(run), path));
    }

    void run_until(std::uint64_t ended)
    {
        wanted = ended;
        io.restart();
        io.run_for(std::chrono::seconds(20));
    }
};

}  // namespace

// Guards against a node that is ended for its memory by answers that never end.
TEST_CASE_FIXTURE(endless_answer_fixture, "bodies without end, at once, are given up within bounds")
{
    constexpr std::uint64_t endless = 6;
    for (std::uint64_t run = 1; run <= endless; ++run) {
        send(run, "/body");
    }
    run_until(endless);
    REQUIRE(results.size() == endless);
    for (const auto &[id, it] : results) {
        CHECK(it.end == mesh::run_end::bad_answer);
    }
    // What the sockets hold comes on top.
    constexpr std::uint64_t socket_bytes = 8U << 20U;
    CHECK(sent_bytes < (memory_bytes + socket_bytes) * endless);
    send(endless + 1, "/good");
    run_until(endless + 1);
    CHECK(results[run_ref{endless + 1}].end == mesh::run_end::answered);
}

// Guards against a large answer beside which good ones are given up.
TEST_CASE_FIXTURE(endless_answer_fixture, "body without end, beside a good answer, ends alone")
{
    send(1, "/body");
    send(2, "/good");
    run_until(2);
    CHECK(results[run_ref{1}].end == mesh::run_end::bad_answer);
    CHECK(results[run_ref{2}].end == mesh::run_end::answered);
}

// Guards against bytes that are no answer and are read until the deadline.
TEST_CASE_FIXTURE(endless_answer_fixture,
                  "header, chunk or trailer without end, or no answer at all, is given up soon")
{
    for (const char *path : {"/header", "/anonymous", "/interim", "/extension", "/trailer"}) {
        INFO(path);
        results.clear();
        sent_bytes = 0;
        send(1, path);
        run_until(1);
        REQUIRE(results.size() == 1);
        CHECK(results[run_ref{1}].end == mesh::run_end::bad_answer);
        CHECK(sent_bytes < memory_bytes);
    }
}
