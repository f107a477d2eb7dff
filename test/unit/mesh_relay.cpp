#include <doctest/doctest.h>

#include "test/support/mesh_zones.hpp"

using namespace gullstall;

namespace {

using test::zones_fixture;

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

// Calls to a gate that has closed are refused there and cost their callers a detour.
TEST_CASE_FIXTURE(zones_fixture,
                  "upstream leaves, node of another zone that calls it, knows at once")
{
    start();
    std::string leaving = plain_node(2);
    std::string caller = plain_node(0);
    for (auto &[link, peer] : world.nodes.at(leaving).links) {
        peer.last_call_at = peer.node == caller ? world.now - seconds(5) : time_point{};
    }
    world.run_node(leaving, [&](mesh::mesh_turn &t) { handle_leave(t, "u-" + leaving, 2000000); });
    world.run_for(milliseconds(2));
    CHECK(usable_at(caller, {leaving}) == 0);
    CHECK(usable_at(plain_node(1), {leaving}) == 1);
    world.run_for(max_relayed_age);
    CHECK(usable_at(plain_node(1), {leaving}) == 0);
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

// Call rates sent by each node to each one that starts are most of the bytes between zones
// when all nodes are restarted in turn.
TEST_CASE_FIXTURE(zones_fixture, "node restarted, call rates of other zones, come from relays only")
{
    start();
    for (auto &[name, node] : world.nodes) {
        node.plan.calls["read"]["below"] = 2;
        if (node.settings.node.zone != zone_name(0)) {
            node.announced_calls["read"]["below"] = 2;
        }
    }
    std::string restarted = plain_node(0);
    int received = 0;
    world.on_send = [&](const std::string &, const std::string &to, const auto &frame) {
        received += to == restarted && frame.payload.Aschain_news() != nullptr ? 1 : 0;
    };
    world.start_node(restarted, zone_name(0));
    world.run_for(seconds(1));
    CHECK(world.nodes.at(restarted).plan.calls["read"]["below"] == 2);
    CHECK(received <= 2 * (zone_count - 1));
}

// Statuses passed on by both relays of a zone double what the nodes of the zone read.
TEST_CASE_FIXTURE(zones_fixture, "statuses of other zones, at rest, are passed on once")
{
    start();
    std::map<std::pair<std::string, std::uint64_t>, std::set<std::string>> senders;
    world.on_send = [&](const std::string &from, const std::string &to, const auto &frame) {
        const mesh_wire::status_batch_message *batch = frame.payload.Asstatus_batch();
        bool is_in_zone =
            world.nodes.at(from).settings.node.zone == world.nodes.at(to).settings.node.zone;
        if (batch == nullptr || !is_in_zone ||
            world.nodes.at(from).settings.node.zone != "zone-0") {
            return;
        }
        for (const auto &it : batch->entries) {
            senders[{it->status->node, it->status->sequence}].insert(from);
        }
    };
    world.run_for(seconds(5));
    REQUIRE(senders.size() > 100);
    auto repeated = std::count_if(senders.begin(), senders.end(),
                                  [](const auto &it) { return it.second.size() > 1; });
    CHECK(repeated == 0);
}

// During a rolling upgrade, nodes of the version without relays must be told directly, or they
// would take the others for lost, and their statuses must reach all others.
TEST_CASE_FIXTURE(zones_fixture, "nodes of an earlier version, beside relays, hear and are heard")
{
    std::set<std::string> earlier;
    for (int zone = 0; zone < zone_count; ++zone) {
        for (int i = 0; i < nodes_per_zone; ++i) {
            std::string name = node_name(zone, i);
            world.add_node(name, zone_name(zone), {"reads"});
            if (i % 2 == 0) {
                earlier.insert(name);
                world.nodes.at(name).features.relayed_statuses = false;
            }
        }
    }
    int batches_to_earlier = 0;
    world.on_send = [&](const std::string &, const std::string &to, const auto &frame) {
        bool is_batch = frame.payload.Asstatus_batch() != nullptr;
        batches_to_earlier += is_batch && earlier.count(to) > 0 ? 1 : 0;
    };
    world.run_for(seconds(3));
    for (const char *at : {"node-0-0", "node-0-1"}) {
        CHECK(highest_age(at, nodes_of(2), seconds(5)) <= max_relayed_age);
    }
    CHECK(batches_to_earlier == 0);
}
