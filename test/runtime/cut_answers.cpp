#include <doctest/doctest.h>

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include "test/support/upstream_orders.hpp"

using namespace gullstall;

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

/// A client and an upstream that answers each request with a given text and closes.
struct cut_answer_fixture
{
    asio::io_context io;
    tcp::acceptor acceptor{io, {asio::ip::make_address("127.0.0.1"), 0}};
    std::vector<mesh::run_result> results;
    edge::upstream_client client{
        io, acceptor.local_endpoint(), test::short_names,
        [this](run_ref, mesh::run_result &&it) { results.push_back(std::move(it)); },
        [](std::optional<run_ref>, const mesh::upstream_notice &) {}};

    /// \param pause_at position in \a text at which the upstream waits for a moment
    mesh::run_result exchange(const std::string &text, std::size_t pause_at)
    {
        results.clear();
        client.start(test::make_order(7, "r"));
        tcp::socket peer(io);
        std::string request;
        acceptor.async_accept(peer, [&](const boost::system::error_code &) {
            asio::async_read_until(peer, asio::dynamic_buffer(request), "\r\n\r\n",
                                   [&](const boost::system::error_code &, std::size_t) {
                                       asio::write(peer, asio::buffer(text.substr(0, pause_at)));
                                       asio::post(io, [&] {
                                           asio::write(peer, asio::buffer(text.substr(pause_at)));
                                           peer.close();
                                       });
                                   });
        });
        io.restart();
        io.run_for(std::chrono::seconds(2));
        REQUIRE(results.size() == 1);
        return results.front();
    }

    /// Cuts \a text at each position before \a complete_at.
    void check_cuts(const std::string &text, std::size_t complete_at)
    {
        for (std::size_t n = 0; n < complete_at; ++n) {
            INFO(text.substr(0, n));
            mesh::run_result got = exchange(text.substr(0, n), n / 2);
            CHECK(got.end != mesh::run_end::answered);
            CHECK(got.end != mesh::run_end::not_executed);
            CHECK(got.end != mesh::run_end::not_sent);
        }
        CHECK(exchange(text, complete_at).end == mesh::run_end::answered);
    }
};

}  // namespace

// Guards against a success with an empty or short body, framed as whole, from an answer that was
// cut off in its header or body.
TEST_CASE_FIXTURE(cut_answer_fixture, "answer with a length, cut off anywhere, is no answer")
{
    std::string text =
        "HTTP/1.1 200 OK\r\nId: r\r\nSeal: s\r\nContent-Length: 12\r\n\r\nhello, world";
    check_cuts(text, text.size());
}

TEST_CASE_FIXTURE(cut_answer_fixture, "answer in chunks, cut off anywhere, is no answer")
{
    std::string text =
        "HTTP/1.1 200 OK\r\nId: r\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n";
    check_cuts(text, text.size());
}

// An answer without a length ends with its connection: only its header can be seen to be cut off.
TEST_CASE_FIXTURE(cut_answer_fixture,
                  "answer without a length, cut off in its header, is no answer")
{
    std::string header = "HTTP/1.1 200 OK\r\nId: r\r\nSeal: s\r\n\r\n";
    check_cuts(header + "hello", header.size());
}

// Guards against an interim answer that is taken for the final one.
TEST_CASE_FIXTURE(cut_answer_fixture, "interim answer, then cut off, is no answer")
{
    std::string text =
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 2\r\n\r\nok";
    check_cuts(text, text.size());
}
