#include <doctest/doctest.h>

#include "test/support/mesh_zones.hpp"

using namespace gullstall;

namespace {

/// Time in which all nodes must have a new policy.
constexpr duration max_policy_delay = seconds(2);

/// A store that the nodes on duty watch for a newer policy.
struct watched_store_fixture : test::zones_fixture
{
    std::uint64_t version = 1;
    std::set<std::string> refused;     ///< nodes whose calls to the store fail
    std::set<std::string> unanswered;  ///< nodes whose calls to the store get no answer

    watched_store_fixture()
    {
        start();
        for (const auto &[name, node] : world.nodes) {
            poll(name);
        }
        world.run_for(seconds(2));
    }

    void poll(const std::string &name)
    {
        world.schedule_after(milliseconds(200), [this, name] { poll(name); });
        if (world.paused_nodes.count(name) > 0 || unanswered.count(name) > 0) {
            return;
        }
        // A node that has lost the store goes on trying.
        const mesh::mesh_node &node = world.nodes.at(name);
        if (!watches_store(node, world.now) && !node.store_lost) {
            return;
        }
        world.run_node(name, [&](mesh::mesh_turn &t) {
            bool is_refused = refused.count(name) > 0;
            set_store_lost(t, is_refused);
            if (!is_refused && t.n.policy->version < version) {
                apply_policy(t, world.published.at(version), "text", mesh::policy_source::store);
            }
        });
    }

    void publish(std::uint64_t next)
    {
        traffic_policy policy = world.policy;
        policy.version = next;
        world.published[next] = policy;
        version = next;
    }

    std::vector<std::string> watchers_of(int zone)
    {
        std::vector<std::string> out;
        for (const std::string &it : nodes_of(zone)) {
            if (watches_store(world.nodes.at(it), world.now)) {
                out.push_back(it);
            }
        }
        return out;
    }

    /// \returns the nodes that lack the newest policy
    std::vector<std::string> outdated()
    {
        std::vector<std::string> out;
        for (const auto &[name, node] : world.nodes) {
            if (node.policy->version < version && world.paused_nodes.count(name) == 0) {
                out.push_back(name);
            }
        }
        return out;
    }

    void publish_and_wait()
    {
        publish(version + 4);
        world.run_for(max_policy_delay);
    }
};

}  // namespace

// A feed held by each node costs the store calls that grow with the nodes.
TEST_CASE_FIXTURE(watched_store_fixture, "store, nodes at rest, is watched by two of each zone")
{
    for (int zone = 0; zone < zone_count; ++zone) {
        CHECK(watchers_of(zone).size() == 2);
    }
}

TEST_CASE_FIXTURE(watched_store_fixture, "policy changed, nodes that don't watch, have it in time")
{
    publish_and_wait();
    CHECK(outdated().empty());
}

TEST_CASE_FIXTURE(watched_store_fixture, "policy changed, watchers refused by the store, in time")
{
    for (int zone = 0; zone < zone_count; ++zone) {
        for (const std::string &it : watchers_of(zone)) {
            refused.insert(it);
        }
    }
    publish_and_wait();
    CHECK(outdated().empty());
}

// Nobody notices a call that the store leaves unanswered; the other zones have the policy.
TEST_CASE_FIXTURE(watched_store_fixture, "policy changed, watchers of a zone unanswered, in time")
{
    for (const std::string &it : watchers_of(1)) {
        unanswered.insert(it);
    }
    publish_and_wait();
    CHECK(outdated().empty());
}

TEST_CASE_FIXTURE(watched_store_fixture, "policy changed, watchers of a zone paused, in time")
{
    for (const std::string &it : watchers_of(1)) {
        world.paused_nodes.insert(it);
    }
    publish_and_wait();
    CHECK(outdated().empty());
}

// Guards against a zone that notices the loss of both its watchers too late to read a policy in
// time.
TEST_CASE("policy changed, watchers of a cut-off zone paused at any moment, in time")
{
    for (int offset_ms = 0; offset_ms < 1000; offset_ms += 50) {
        watched_store_fixture it;
        it.world.run_for(milliseconds(offset_ms));
        it.set_zone_cut(1, true);
        INFO("offset ", offset_ms, " ms");
        for (const std::string &watcher : it.watchers_of(1)) {
            it.world.paused_nodes.insert(watcher);
        }
        it.publish_and_wait();
        CHECK(it.outdated().empty());
    }
}

TEST_CASE_FIXTURE(watched_store_fixture, "store back after an outage, all nodes, have the policy")
{
    for (const auto &[name, node] : world.nodes) {
        refused.insert(name);
    }
    world.run_for(seconds(10));
    publish(9);
    refused.clear();
    world.run_for(max_policy_delay);
    CHECK(outdated().empty());
    world.run_for(seconds(3));
    CHECK(watchers_of(0).size() == 2);
}

// A node that no other node reaches would keep an old policy as long as the cut lasts.
TEST_CASE_FIXTURE(watched_store_fixture, "node cut off from all others, watches the store itself")
{
    std::string lone = plain_node(0);
    for (const auto &[name, node] : world.nodes) {
        set_cut(name, lone, true);
        set_cut(lone, name, true);
    }
    for (const auto &[name, node] : world.nodes) {
        world.break_links(lone, name);
    }
    world.run_for(seconds(1));
    publish_and_wait();
    CHECK(outdated().empty());
}

// The announcement arrives, the request for the policy does not.
TEST_CASE_FIXTURE(watched_store_fixture,
                  "policy announced, node that can't fetch it, reads the store")
{
    std::string deaf = plain_node(0);
    for (const auto &[name, node] : world.nodes) {
        set_cut(deaf, name, true);
    }
    publish_and_wait();
    CHECK(outdated().empty());
}
