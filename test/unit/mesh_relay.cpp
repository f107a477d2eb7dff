#include <doctest/doctest.h>

#include "test/support/mesh_world.hpp"

using namespace gullstall;

namespace {

using test::mesh_simulation;

/// Zones of several nodes; each node has an upstream of the same service.
struct zones_fixture
{
    static constexpr int zone_count = 4;
    static constexpr int nodes_per_zone = 6;

    mesh_simulation world{2026};

    zones_fixture()
    {
        world.policy = test::policy_of(
            1, {test::route_of("read", "/read/", "reads", idempotency::idempotent)});
    }

    static std::string node_name(int zone, int i)
    {
        return "node-" + std::to_string(zone) + "-" + std::to_string(i);
    }

    static std::string zone_name(int zone)
    {
        return "zone-" + std::to_string(zone);
    }

    void start()
    {
        for (int zone = 0; zone < zone_count; ++zone) {
            for (int i = 0; i < nodes_per_zone; ++i) {
                world.add_node(node_name(zone, i), zone_name(zone), {"reads"});
            }
        }
        world.run_for(seconds(3));
    }

    /// Restarts all nodes without relayed statuses.
    void switch_off()
    {
        for (auto &[name, node] : world.nodes) {
            node.features.relayed_statuses = false;
            for (auto &[link, clock] : node.links) {
                clock.relays_statuses = false;
            }
        }
    }

    /// \returns frames per second that the busiest node sends
    double highest_frame_rate()
    {
        constexpr int length_s = 10;
        world.sent_frames.clear();
        world.run_for(seconds(length_s));
        std::uint64_t most = 0;
        for (const auto &[node, frames] : world.sent_frames) {
            most = std::max(most, frames);
        }
        return static_cast<double>(most) / length_s;
    }

    const mesh::node_view &view_of(const std::string &at, const std::string &node)
    {
        return world.nodes.at(at).nodes.nodes.at(node);
    }

    /// \returns the age of the oldest status that a node has of the nodes in \a of
    duration oldest_status(const std::string &at, const std::vector<std::string> &of)
    {
        duration out{};
        for (const std::string &node : of) {
            out = std::max(out, world.now - view_of(at, node).status_at);
        }
        return out;
    }

    /// \returns the highest age, over \a length, of what \a at knows of the nodes \a of
    duration highest_age(const std::string &at, const std::vector<std::string> &of, duration length)
    {
        duration out{};
        for (time_point end = world.now + length; world.now < end;) {
            world.run_for(milliseconds(50));
            out = std::max(out, oldest_status(at, of));
        }
        return out;
    }

    std::vector<std::string> nodes_of(int zone)
    {
        std::vector<std::string> out;
        for (int i = 0; i < nodes_per_zone; ++i) {
            out.push_back(node_name(zone, i));
        }
        return out;
    }

    std::vector<std::string> relays_of(int zone)
    {
        return choose_relays(world.nodes.at(node_name(zone, 0)).nodes, zone_name(zone), world.now);
    }

    /// \returns a node of the zone that is not one of its relays
    std::string plain_node(int zone)
    {
        std::vector<std::string> relays = relays_of(zone);
        for (const std::string &it : nodes_of(zone)) {
            if (std::find(relays.begin(), relays.end(), it) == relays.end()) {
                return it;
            }
        }
        return "";
    }

    /// Cuts or restores all links between the zones and the others.
    void set_zone_cut(int zone, bool is_cut)
    {
        for (const std::string &inside : nodes_of(zone)) {
            for (const auto &[outside, node] : world.nodes) {
                if (node.settings.node.zone != zone_name(zone)) {
                    set_cut(inside, outside, is_cut);
                    set_cut(outside, inside, is_cut);
                }
            }
        }
    }

    void set_cut(const std::string &from, const std::string &to, bool is_cut)
    {
        if (is_cut) {
            world.partitions.insert({from, to});
        } else {
            world.partitions.erase({from, to});
        }
    }

    std::size_t usable_at(const std::string &at, const std::vector<std::string> &of)
    {
        return static_cast<std::size_t>(std::count_if(of.begin(), of.end(), [&](const auto &node) {
            return is_usable(view_of(at, node), "reads", world.now);
        }));
    }
};

/// Time in which a status has crossed two relays, each after its interval and a tick.
constexpr duration max_relayed_age = milliseconds(1300);

}  // namespace

// Statuses sent by each node to every other one take the processor of hundreds of nodes.
TEST_CASE_FIXTURE(zones_fixture, "frames at rest, more zones, grow with the own zone only")
{
    start();
    double relayed = highest_frame_rate();
    // Two statuses a second to each neighbour, and on a relay five batches a second to each
    // neighbour and each other zone.
    constexpr double neighbours = nodes_per_zone - 1;
    CHECK(relayed <= 2 * neighbours + 5 * (neighbours + zone_count - 1) + 2);
    switch_off();
    double direct = highest_frame_rate();
    CHECK(direct >= 2 * (zone_count * nodes_per_zone - 1) - 1);
    MESSAGE("frames per second of the busiest node: ", relayed, ", all to all ", direct);
}

TEST_CASE_FIXTURE(zones_fixture, "statuses of another zone, at rest, are recent")
{
    start();
    CHECK(highest_age(plain_node(0), nodes_of(2), seconds(5)) <= max_relayed_age);
}

// Without a second relay the news of a zone ends with its relay until the loss is noticed.
TEST_CASE_FIXTURE(zones_fixture, "statuses of another zone, a relay paused, stay recent")
{
    start();
    std::vector<std::string> others = nodes_of(2);
    std::string relay = relays_of(2).front();
    std::erase(others, relay);
    world.paused_nodes.insert(relay);
    CHECK(highest_age(plain_node(0), others, seconds(5)) <= max_relayed_age);
}

TEST_CASE_FIXTURE(zones_fixture, "statuses of another zone, receiving relay paused, stay recent")
{
    start();
    std::string at = plain_node(0);
    world.paused_nodes.insert(relays_of(0).front());
    CHECK(highest_age(at, nodes_of(2), seconds(5)) <= max_relayed_age);
}

TEST_CASE_FIXTURE(zones_fixture, "statuses of another zone, a relay killed, stay recent")
{
    start();
    std::string relay = relays_of(2).front();
    std::vector<std::string> others = nodes_of(2);
    std::erase(others, relay);
    for (const auto &[name, node] : world.nodes) {
        world.break_links(relay, name);
    }
    world.paused_nodes.insert(relay);
    CHECK(highest_age(plain_node(0), others, seconds(5)) <= max_relayed_age);
}

// A relay that can't send to other zones must not keep the second one from doing so.
TEST_CASE_FIXTURE(zones_fixture, "statuses of another zone, a relay cut one way, stay recent")
{
    start();
    std::string relay = relays_of(2).front();
    for (const std::string &it : nodes_of(0)) {
        set_cut(relay, it, true);
    }
    std::vector<std::string> others = nodes_of(2);
    std::erase(others, relay);
    CHECK(highest_age(plain_node(0), others, seconds(5)) <= max_relayed_age);
}

// Calls into a silent zone are lost, and its capacity is counted on, until it is noticed.
TEST_CASE_FIXTURE(zones_fixture, "zone cut off, no calls in flight, is unusable until it returns")
{
    start();
    std::string at = plain_node(0);
    set_zone_cut(2, true);
    world.run_for(milliseconds(2300));
    CHECK(usable_at(at, nodes_of(2)) == 0);
    CHECK(usable_at(at, nodes_of(1)) == nodes_per_zone);
    set_zone_cut(2, false);
    world.run_for(seconds(1));
    CHECK(usable_at(at, nodes_of(2)) == nodes_per_zone);
}

// A node that only its own zone hears must not get calls from the others.
TEST_CASE_FIXTURE(zones_fixture, "node paused in another zone, no calls in flight, is unusable")
{
    start();
    std::string paused = plain_node(2);
    world.paused_nodes.insert(paused);
    world.run_for(milliseconds(3000));
    CHECK(usable_at(plain_node(0), {paused}) == 0);
    CHECK(usable_at(plain_node(0), nodes_of(2)) == nodes_per_zone - 1);
}

// A leave that travelled by relays would let calls go to a closed gate meanwhile.
TEST_CASE_FIXTURE(zones_fixture, "upstream leaves, nodes of other zones, know at once")
{
    start();
    std::string leaving = plain_node(2);
    world.run_node(leaving, [&](mesh::mesh_turn &t) { handle_leave(t, "u-" + leaving, 2000000); });
    world.run_for(milliseconds(2));
    CHECK(usable_at(plain_node(0), {leaving}) == 0);
}

// A process that is gone must not come back with statuses still on their way.
TEST_CASE("relayed status, of an earlier process, is ignored")
{
    mesh::directory known;
    update_address(known, mesh::node_address{"a", "zone-1", endpoint{"10.0.0.1", 1}, 7});
    mesh_wire::node_status_message old;
    old.node = "a";
    old.incarnation = 6;
    old.sequence = 90;
    old.state = mesh_wire::upstream_state::ready;
    CHECK_FALSE(update_relayed_status(known, old, time_point(seconds(1))));
    CHECK(known.nodes.at("a").status.state == mesh_wire::upstream_state::absent);
}

// Replies to frequent calls would otherwise keep the demand of an upstream from being
// updated, or old statuses take back the load that replies have told.
TEST_CASE("relayed status, older than the last reply, changes all but the load")
{
    mesh::directory known;
    update_address(known, mesh::node_address{"a", "zone-1", endpoint{"10.0.0.1", 1}, 7});
    mesh_wire::node_status_message status;
    status.node = "a";
    status.incarnation = 7;
    status.sequence = 5;
    update_status(known, status, time_point(seconds(1)));
    mesh_wire::node_load_message load;
    load.sequence = 12;
    load.running = 9;
    update_load(known, "a", load, time_point(seconds(3)));
    status.sequence = 10;
    status.running = 3;
    status.capacity_per_s = 40;
    CHECK(update_relayed_status(known, status, time_point(seconds(2))));
    CHECK(known.nodes.at("a").status.capacity_per_s == 40);
    CHECK(known.nodes.at("a").status.running == 9);
    CHECK(known.nodes.at("a").status_at == time_point(seconds(3)));
}
