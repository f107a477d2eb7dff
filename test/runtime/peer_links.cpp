#include <doctest/doctest.h>

#include <boost/asio/steady_timer.hpp>
#include <functional>

#include "gullstall/src/edge/clock.hpp"
#include "gullstall/src/edge/peer_links.hpp"

using namespace gullstall;

namespace {

namespace asio = boost::asio;
using edge::peer_link_handlers;
using edge::peer_links;

/// One node's connections and what it received over them.
struct test_node
{
    std::string name;
    std::string zone;
    std::vector<mesh_wire::call_message> calls;
    std::vector<mesh_wire::reply_message> replies;
    std::vector<std::string> disconnect_reasons;
    bool connected = false;
    std::uint16_t port;
    std::unique_ptr<asio::io_context> io;
    std::unique_ptr<peer_links> links;

    test_node(std::string node, std::string its_zone, std::uint16_t at)
        : name(std::move(node)), zone(std::move(its_zone)), port(at)
    {
        start();
    }

    void start()
    {
        io = std::make_unique<asio::io_context>();
        links = std::make_unique<peer_links>(
            *io, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), port), handlers());
    }

    /// Behaves like a killed process: nothing runs any more and the sockets are
    /// closed.
    void kill()
    {
        links.reset();
        io.reset();
    }

    void run()
    {
        if (io) {
            io->run_for(std::chrono::milliseconds(1));
            io->restart();
        }
    }

    peer_link_handlers handlers()
    {
        peer_link_handlers out;
        out.make_hello = [this](const std::string &) {
            mesh_wire::hello_message it;
            it.node = name;
            it.zone = zone;
            return it;
        };
        out.on_connected = [this](const std::string &) { connected = true; };
        out.on_disconnected = [this](const std::string &, const std::string &why,
                                     const std::vector<std::uint64_t> &) {
            disconnect_reasons.push_back(why);
        };
        out.on_node_frame = [this](const std::string &, mesh_wire::frame_message &&frame) {
            if (mesh_wire::reply_message *reply = frame.payload.Asreply()) {
                replies.push_back(std::move(*reply));
            }
        };
        out.on_link_frame = [this](mesh::link_ref link, mesh_wire::frame_message &&frame) {
            on_link_frame(link, std::move(frame));
        };
        out.on_link_closed = [](mesh::link_ref) {};
        return out;
    }

    /// Responds to a hello with a status, and to a call by echoing its body.
    void on_link_frame(mesh::link_ref link, mesh_wire::frame_message &&frame)
    {
        if (frame.payload.Ashello() != nullptr) {
            mesh_wire::node_status_message status;
            status.node = name;
            links->send_to_link(link, mesh::mesh_frame(status));
        } else if (mesh_wire::call_message *call = frame.payload.Ascall()) {
            mesh_wire::reply_message reply;
            reply.correlation = call->correlation;
            reply.body = call->body;
            calls.push_back(std::move(*call));
            links->send_to_link(link, mesh::mesh_frame(std::move(reply)));
        }
    }
};

/// Two nodes in different availability zones, connected over loopback.
struct peer_links_fixture
{
    static constexpr std::uint16_t first_port = 21871;
    test_node a{"a", "zone-1", first_port};
    test_node b{"b", "zone-2", first_port + 1};

    peer_links_fixture()
    {
        a.links->connect(mesh::node_address{"b", "zone-2", endpoint{"127.0.0.1", first_port + 1}});
        run_until([this] { return a.connected; });
    }

    /// Runs until \a done returns true, for at most ten seconds.
    void run_until(const std::function<bool()> &done)
    {
        time_point end = edge::now() + seconds(10);
        while (!done() && edge::now() < end) {
            a.run();
            b.run();
        }
    }

    void call(std::uint64_t correlation, std::size_t body_bytes)
    {
        random_source random(correlation);
        mesh_wire::call_message it;
        it.correlation = correlation;
        it.route = "read";
        for (std::size_t i = 0; i < body_bytes; ++i) {
            it.body.push_back(static_cast<std::uint8_t>(random() & 0xffU));
        }
        sent.push_back(it);
        CHECK(a.links->send_to_node("b", mesh::mesh_frame(std::move(it))));
    }

    std::vector<mesh_wire::call_message> sent;
};

}  // namespace

// Without counts by kind nobody can tell what crosses between zones.
TEST_CASE_FIXTURE(peer_links_fixture, "call between zones, is counted by kind and zone")
{
    REQUIRE(a.connected);
    call(1, 100);
    run_until([this] { return a.replies.size() == 1; });
    std::string metrics = a.links->print_metrics();
    CHECK(metrics.find("frames_sent_total{zone=\"other\",kind=\"call\"} 1\n") != std::string::npos);
    CHECK(metrics.find("frames_sent_total{zone=\"own\",kind=\"call\"} 0\n") != std::string::npos);
}

// Frames between zones are compressed, except large ones. Reordering the two kinds or
// decompressing a block with the wrong history would match a reply to the wrong
// request or lose it.
TEST_CASE_FIXTURE(peer_links_fixture,
                  "calls between zones, short and long, arrive intact and in order")
{
    REQUIRE(a.connected);
    const std::vector<std::size_t> sizes{0, 10, 9000, 20, 70000, 300, 300, 8100, 8300, 0};
    for (std::uint64_t i = 0; i < 100; ++i) {
        call(i + 1, sizes[i % sizes.size()]);
        if (i % 7 == 0) {
            a.run();  // batches of several lengths
            b.run();
        }
    }
    run_until([this] { return a.replies.size() == 100; });
    REQUIRE(b.calls.size() == 100);
    REQUIRE(a.replies.size() == 100);
    for (std::size_t i = 0; i < 100; ++i) {
        bool same_call = b.calls[i] == sent[i];
        CHECK(same_call);
        bool same_reply = a.replies[i].correlation == i + 1 && a.replies[i].body == sent[i].body;
        CHECK(same_reply);
    }
    CHECK(a.disconnect_reasons.empty());
}

// A node's process is killed and restarted. The compressed stream to the old process
// must not continue on the connection to the new one, whose history is empty.
TEST_CASE_FIXTURE(peer_links_fixture, "node restarted, later calls, arrive intact")
{
    REQUIRE(a.connected);
    call(1, 500);
    run_until([this] { return a.replies.size() == 1; });
    a.connected = false;
    b.kill();
    run_until([this] { return !a.disconnect_reasons.empty(); });
    CHECK(a.disconnect_reasons.size() == 1);
    b.start();
    run_until([this] {
        a.links->tick(edge::now());
        return a.connected;
    });
    REQUIRE(a.connected);
    call(2, 500);
    run_until([this] { return a.replies.size() == 2; });
    REQUIRE(b.calls.size() == 2);
    bool same = b.calls[1] == sent[1];
    CHECK(same);
}
