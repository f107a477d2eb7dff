#include <doctest/doctest.h>

#include <boost/asio/post.hpp>

#include "gullstall/src/runtime/peer_transport.hpp"
#include "test/support/loopback.hpp"

using namespace gullstall;

namespace {

namespace asio = boost::asio;

constexpr std::uint16_t first_port = 29600;

struct lost_connection
{
    std::string instance;
    std::vector<std::uint64_t> unsent;

    bool operator==(const lost_connection &) const = default;
};

/// A transport without peers, and the connections that it reported as lost.
struct transport_without_peers
{
    std::uint16_t port = first_port;
    asio::io_context io{1};
    std::vector<lost_connection> lost;
    runtime::peer_transport transport{
        io,
        {asio::ip::address_v4::loopback(), test::free_port(port)},
        runtime::peer_handlers{[](wire::frame_message &&) { return true; },
                               [this](const std::string &instance, std::vector<std::uint64_t> it) {
                                   lost.push_back(lost_connection{instance, std::move(it)});
                               },
                               [](const std::string &) {}}};

    /// Sends a call on the thread of the io_context, as the node's process does.
    void send_call(const std::string &instance, const endpoint &to, std::uint64_t correlation)
    {
        wire::call_message call;
        call.correlation = correlation;
        call.body.assign(64, 'x');
        wire::frame_message frame;
        frame.payload.Set(std::move(call));
        asio::post(io, [this, instance, to, it = std::move(frame)]() mutable {
            transport.send(instance, to, std::move(it));
        });
        io.run_for(std::chrono::milliseconds(100));
        io.restart();
    }
};

}  // namespace

// Guards against a frame written to a connection that was freed while it was being opened.
TEST_CASE_FIXTURE(transport_without_peers, "frame, peer without address, reported as not sent")
{
    send_call("dispatcher-1", endpoint{}, 7);
    CHECK(lost == std::vector{lost_connection{"dispatcher-1", {7}}});
    CHECK(transport.bytes_waiting() == 0);

    send_call("dispatcher-1", endpoint{}, 8);
    CHECK(lost.back() == lost_connection{"dispatcher-1", {8}});
    CHECK(transport.bytes_waiting() == 0);
}

TEST_CASE_FIXTURE(transport_without_peers,
                  "frame, peer refuses the connection, reported as not sent")
{
    send_call("dispatcher-1", endpoint{"127.0.0.1", test::free_port(port)}, 7);
    CHECK(lost == std::vector{lost_connection{"dispatcher-1", {7}}});
    CHECK(transport.bytes_waiting() == 0);
}
