#include <doctest/doctest.h>

#include "test/support/mesh_zones.hpp"

using namespace gullstall;

namespace {

/// Time after a disruption of its connections from which a node owes new policies.
constexpr duration contact_time = seconds(3);

constexpr duration scan_retry_delay = milliseconds(150);

/// Keep-alive of the kernel: the first probe after this idle time, and the time of two lost probes.
constexpr duration probe_idle_time = seconds(2);
constexpr duration probes_lost_after = seconds(2);

/// A feed of the store that a node waits on.
struct waiting_feed
{
    time_point started_at{};
    duration wait{};
    std::optional<time_point> silent_at;  ///< when its connection went silent for good

    time_point answer_due(duration timeout) const
    {
        return started_at + wait + timeout;
    }

    /// \returns when the kernel ends the silent connection
    time_point probes_lost() const
    {
        time_point probe = started_at + probe_idle_time;
        while (probe <= *silent_at) {
            probe += probe_idle_time;
        }
        return probe + probes_lost_after;
    }
};

/// A store whose connections can go silent for good while new ones work.
struct silent_store_fixture : test::zones_fixture
{
    static constexpr duration poll_interval = milliseconds(20);

    std::uint64_t version = 1;
    std::map<std::string, waiting_feed> feeds;  ///< by node
    std::map<std::string, time_point> retry_at;

    silent_store_fixture()
    {
        start();
        for (const auto &[name, node] : world.nodes) {
            poll(name);
        }
        world.run_for(seconds(2));
    }

    void poll(const std::string &name)
    {
        world.schedule_after(poll_interval, [this, name] { poll(name); });
        auto feed = feeds.find(name);
        if (feed == feeds.end()) {
            bool is_wanted = watches_store(world.nodes.at(name), world.now);
            if ((is_wanted || retry_at.count(name) > 0) && world.now >= retry_at[name]) {
                read_store(name);
            }
            return;
        }
        if (is_lost(name, feed->second)) {
            feeds.erase(feed);
            retry_at[name] = world.now + scan_retry_delay;
            world.run_node(name, [](mesh::mesh_turn &t) { set_store_lost(t, true); });
        } else if (!feed->second.silent_at && is_answered(name, feed->second)) {
            feeds.erase(feed);
            read_store(name);
        }
    }

    bool is_lost(const std::string &name, const waiting_feed &it) const
    {
        const auto &store = world.nodes.at(name).settings.store;
        duration margin = mesh::answer_margin({}, milliseconds(store.timeout_ms));
        return it.silent_at && world.now >= std::min(it.answer_due(margin), it.probes_lost());
    }

    bool is_answered(const std::string &name, const waiting_feed &it) const
    {
        return world.nodes.at(name).policy->version < version ||
               world.now >= it.started_at + it.wait;
    }

    /// Reads the policy over a new connection or one that works, and waits for changes.
    void read_store(const std::string &name)
    {
        retry_at.erase(name);
        world.run_node(name, [this, name](mesh::mesh_turn &t) {
            set_store_lost(t, false);
            if (t.n.policy->version < version) {
                apply_policy(t, world.published.at(version), "text", mesh::policy_source::store);
            }
            if (watches_store(t.n, t.now)) {
                feeds[name] = waiting_feed{t.now, feed_wait(t.n), {}};
            }
        });
    }

    duration feed_wait(const mesh::mesh_node &n) const
    {
        auto store_ms = static_cast<std::uint64_t>(to_ms(world.now.time_since_epoch()));
        return mesh::feed_wait(own_feed_timing(n, world.now), store_ms);
    }

    void publish()
    {
        traffic_policy policy = world.policy;
        policy.version = ++version;
        world.published[version] = policy;
    }

    void silence_store()
    {
        for (auto &[name, feed] : feeds) {
            feed.silent_at = world.now;
        }
    }

    std::size_t count_outdated()
    {
        std::size_t out = 0;
        for (const auto &[name, node] : world.nodes) {
            out += node.policy->version < version ? 1 : 0;
        }
        return out;
    }
};

}  // namespace

namespace {

/// Plays silence at each 0.1 s of the time after a change, and another change at that moment.
void check_all_moments(const std::function<void(silent_store_fixture &)> &prepare)
{
    constexpr int max_offset_ms = 5000;
    constexpr int offset_step_ms = 100;
    for (int offset_ms = 0; offset_ms < max_offset_ms; offset_ms += offset_step_ms) {
        silent_store_fixture it;
        prepare(it);
        it.publish();
        it.world.run_for(milliseconds(offset_ms));
        it.silence_store();
        it.publish();
        it.world.run_for(contact_time);
        INFO("silent ", offset_ms, " ms after the change");
        CHECK(it.count_outdated() == 0);
    }
}

}  // namespace

// Guards against a policy that is late since no watcher notices that its feed is silent.
TEST_CASE("store's connections silent at any moment after a change, next change, in time")
{
    check_all_moments([](silent_store_fixture &) {});
}

// Guards against a zone that relies on the watchers of others.
TEST_CASE("the same in a zone that is cut off from the others, next change, in time")
{
    check_all_moments([](silent_store_fixture &it) {
        it.set_zone_cut(1, true);
        it.world.run_for(seconds(3));
    });
}

// Guards against a zone whose only watcher notices as late as each one of two.
TEST_CASE_FIXTURE(silent_store_fixture, "only one node of a zone watches, its feeds are shorter")
{
    std::string watcher;
    for (const std::string &it : nodes_of(1)) {
        if (watches_store(world.nodes.at(it), world.now)) {
            watcher = it;
        }
    }
    duration of_two = own_feed_timing(world.nodes.at(watcher), world.now).interval;
    for (const std::string &it : nodes_of(1)) {
        if (it != watcher) {
            world.paused_nodes.insert(it);
        }
    }
    world.run_for(seconds(2));
    CHECK(own_feed_timing(world.nodes.at(watcher), world.now).interval * 2 == of_two);
}

TEST_CASE_FIXTURE(silent_store_fixture, "store's connections sound, change, in time")
{
    publish();
    world.run_for(milliseconds(500));
    CHECK(count_outdated() == 0);
}
