#include <doctest/doctest.h>

#include <boost/asio/write.hpp>

#include "gullstall/src/edge/http_edge.hpp"

using namespace gullstall;

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

/// An edge and a client whose request never ends.
struct endless_request_fixture
{
    static constexpr std::size_t most_bytes = 8U << 20U;

    asio::io_context io;
    tcp::socket client{io};
    std::size_t taken_bytes = 0;
    std::string answer;

    /// Writes until the edge answers or has taken most_bytes.
    void send(const std::string &begin)
    {
        tcp::acceptor free_port(io, {asio::ip::make_address("127.0.0.1"), 0});
        tcp::endpoint at = free_port.local_endpoint();
        free_port.close();
        edge::http_edge server(
            io, at, edge::edge_limits{},
            edge::edge_handlers{[](call_ref, edge::edge_request &&) {}, [](call_ref) {},
                                [](const std::string &) {}, [](const edge::connection_loss &) {}});
        client.connect(at);
        asio::write(client, asio::buffer(begin));
        client.non_blocking(true);
        const std::string more(1U << 16U, 'x');
        boost::system::error_code ec;
        while (taken_bytes < most_bytes && client.available(ec) == 0 && !ec) {
            taken_bytes += client.write_some(asio::buffer(more), ec);
            if (ec == asio::error::would_block) {
                ec = {};
            }
            io.restart();
            io.run_for(std::chrono::milliseconds(1));
        }
        answer.resize(client.available(ec));
        answer.resize(client.read_some(asio::buffer(answer), ec));
    }
};

}  // namespace

// Guards against a node that is ended for its memory by requests that never end.
TEST_CASE_FIXTURE(endless_request_fixture, "chunk without end, request, is refused")
{
    send("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1;");
    CHECK(taken_bytes < most_bytes);
    CHECK(answer.rfind("HTTP/1.1 431", 0) == 0);
}

// Guards against the same behind the body.
TEST_CASE_FIXTURE(endless_request_fixture, "trailer without end, request, is refused")
{
    send(
        "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nX-Long: ");
    CHECK(taken_bytes < most_bytes);
    CHECK(answer.rfind("HTTP/1.1 431", 0) == 0);
}
