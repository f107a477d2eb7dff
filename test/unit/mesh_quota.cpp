#include <doctest/doctest.h>

#include <algorithm>

#include "test/support/mesh_zones.hpp"

using namespace gullstall;

namespace {

constexpr double quota_overage = 0.1;
constexpr double quota_slack = 20;
constexpr duration quota_window = seconds(5);

customer_declaration declared(const std::string &name, double rate, double burst)
{
    return customer_declaration{customer{name, std::nullopt, request_quota{rate, burst}},
                                {name + "-key"}};
}

/// Four zones of six nodes and customers with quotas.
struct quota_fixture : test::zones_fixture
{
    static constexpr double big_rate = 120;
    static constexpr double small_rate = 6;

    std::map<std::string, int> sent;

    quota_fixture()
    {
        publish(1, big_rate);
        start();
        for (auto &[name, node] : world.nodes) {
            set_limits(node);
        }
        world.run_for(seconds(3));
    }

    static void set_limits(mesh::mesh_node &node)
    {
        node.settings.limits.quota_overage = quota_overage;
        node.settings.limits.quota_slack = quota_slack;
    }

    /// Puts a policy in force at all nodes that are not cut off.
    void publish(std::uint64_t version, double rate)
    {
        std::vector<traffic_route> routes{
            test::route_of("read", "/read/", "reads", idempotency::idempotent)};
        world.policy = test::policy_of(
            version, routes,
            {declared("big", rate, rate), declared("small", small_rate, small_rate)});
        for (auto &[name, node] : world.nodes) {
            world.run_node(name, [&](mesh::mesh_turn &t) {
                apply_policy(t, world.policy, "text", mesh::policy_source::store);
            });
        }
    }

    /// Sends requests of a customer at random times to random nodes.
    void send(const std::string &customer, double per_s, duration length,
              const std::vector<std::string> &entries)
    {
        auto n = static_cast<int>(per_s * to_seconds(length));
        for (int i = 0; i < n; ++i) {
            auto when = duration(static_cast<std::int64_t>(draw_fraction(world.random) *
                                                           static_cast<double>(length.count())));
            world.schedule_at(world.now + when, [this, customer, entries] {
                const std::string &node = entries[draw_below(world.random, entries.size())];
                world.api_key = customer + "-key";
                world.send_request(node, customer + "-" + std::to_string(++sent[customer]),
                                   "/read/x", seconds(2));
            });
        }
    }

    std::vector<std::string> all_nodes()
    {
        std::vector<std::string> out;
        for (int zone = 0; zone < zone_count; ++zone) {
            std::vector<std::string> nodes = nodes_of(zone);
            out.insert(out.end(), nodes.begin(), nodes.end());
        }
        return out;
    }

    /// \returns the most requests of a customer that ran within one window
    std::size_t highest_sum(const std::string &customer, time_point since = {})
    {
        std::vector<time_point> runs;
        for (const test::upstream_run &it : world.runs) {
            if (it.customer == customer && world.results[it.request_id].sent_at >= since) {
                runs.push_back(it.at);
            }
        }
        std::sort(runs.begin(), runs.end());
        std::size_t out = 0;
        for (auto it = runs.begin(); it != runs.end(); ++it) {
            auto end = std::lower_bound(it, runs.end(), *it + quota_window);
            out = std::max(out, static_cast<std::size_t>(end - it));
        }
        return out;
    }

    static double allowed_sum(double rate)
    {
        return (rate * to_seconds(quota_window) + rate) * (1 + quota_overage) + quota_slack;
    }

    /// \returns the share of a customer's requests sent since then that were served
    double served(const std::string &customer, time_point since)
    {
        double all = 0;
        double good = 0;
        for (const auto &[id, it] : world.results) {
            if (id.rfind(customer + "-", 0) == 0 && it.sent_at >= since) {
                ++all;
                good += it.status == 200 ? 1 : 0;
            }
        }
        return all > 0 ? good / all : 1;
    }
};

}  // namespace

// Guards against requests that run without a key or under an unknown one.
TEST_CASE_FIXTURE(quota_fixture, "request, unknown key or none, is answered 401 and not run")
{
    world.api_key = "guess";
    world.send_request(node_name(0, 0), "unknown", "/read/x", seconds(2));
    world.api_key = "";
    world.send_request(node_name(0, 0), "none", "/read/x", seconds(2));
    world.api_key = "small-key";
    world.send_request(node_name(0, 0), "good", "/read/x", seconds(2));
    world.run_for(seconds(1));
    for (const char *id : {"unknown", "none"}) {
        CHECK(world.results[id].status == 401);
        CHECK_FALSE(world.results[id].retry_after);
        CHECK(world.runs_of(id) == 0);
    }
    CHECK(world.results["good"].status == 200);
    REQUIRE(world.runs.size() == 1);
    CHECK(world.runs.front().customer == "small");
}

// Guards against a key that works after it was taken away.
TEST_CASE_FIXTURE(quota_fixture, "request, key taken away by a new version, is answered 401")
{
    world.policy =
        test::policy_of(2, {test::route_of("read", "/read/", "reads", idempotency::idempotent)},
                        {customer_declaration{customer{"small", std::nullopt, {}}, {}}});
    world.run_node(node_name(0, 0), [&](mesh::mesh_turn &t) {
        apply_policy(t, world.policy, "text", mesh::policy_source::store);
    });
    world.api_key = "small-key";
    world.send_request(node_name(0, 0), "late", "/read/x", seconds(2));
    world.run_for(seconds(1));
    CHECK(world.results["late"].status == 401);
    CHECK(world.runs_of("late") == 0);
}

// Guards against refusing what a customer is entitled to.
TEST_CASE_FIXTURE(quota_fixture, "customers below their quotas, all requests are served")
{
    time_point begin = world.now;
    send("big", 0.8 * big_rate, seconds(20), all_nodes());
    send("small", 0.6 * small_rate, seconds(20), all_nodes());
    world.run_for(seconds(22));
    CHECK(served("big", begin) > 0.998);
    CHECK(served("small", begin) > 0.98);
}

// Guards against refusing a customer whose callers use one zone: the keepers of the other
// zones lend their tokens.
TEST_CASE_FIXTURE(quota_fixture, "customer in one zone, below its quota, is served")
{
    time_point begin = world.now;
    send("big", 0.7 * big_rate, seconds(20), nodes_of(1));
    world.run_for(seconds(22));
    CHECK(served("big", begin) > 0.98);
}

// Guards against a hot customer that gets more than its quota.
TEST_CASE_FIXTURE(quota_fixture, "customer far beyond its quota, gets the quota and is told 429")
{
    time_point begin = world.now;
    send("big", 6 * big_rate, seconds(15), all_nodes());
    world.run_for(seconds(17));
    auto sum = static_cast<double>(highest_sum("big"));
    CHECK(sum <= allowed_sum(big_rate));
    CHECK(served("big", begin) > 0.9 / 6);
    auto refused = std::find_if(world.results.begin(), world.results.end(),
                                [](const auto &entry) { return entry.second.status == 429; });
    REQUIRE(refused != world.results.end());
    CHECK(refused->second.retry_after);
    CHECK(world.runs_of(refused->first) == 0);
}

// Guards against sums beyond the quota while zones and nodes are cut off, processes stand
// still, and keepers restart.
TEST_CASE_FIXTURE(quota_fixture, "hot customer, cuts, pauses and restarts, sum stays within quota")
{
    send("big", 6 * big_rate, seconds(30), all_nodes());
    world.schedule_after(seconds(2), [&] { set_zone_cut(0, true); });
    world.schedule_after(seconds(10), [&] { set_zone_cut(0, false); });
    for (int i = 0; i < 3; ++i) {
        world.schedule_after(seconds(4 + 6 * i),
                             [this, i] { world.paused_nodes.insert(node_name(1, i)); });
        world.schedule_after(seconds(7 + 6 * i),
                             [this, i] { world.paused_nodes.erase(node_name(1, i)); });
        world.schedule_after(seconds(5 + 6 * i), [this, i] {
            world.start_node(node_name(2, i), zone_name(2));
            set_limits(world.nodes.at(node_name(2, i)));
            world.send_heartbeat(node_name(2, i));
        });
        world.schedule_after(seconds(6 + 6 * i), [this, i] {
            for (const std::string &other : all_nodes()) {
                if (other != node_name(3, i)) {
                    set_cut(node_name(3, i), other, true);
                    set_cut(other, node_name(3, i), true);
                }
            }
        });
    }
    world.run_for(seconds(32));
    CHECK(static_cast<double>(highest_sum("big")) <= allowed_sum(big_rate));
}

// Guards against a lowered quota that does not bind.
TEST_CASE_FIXTURE(quota_fixture, "hot customer, lowered quota, binds after one window")
{
    send("big", 2 * big_rate, seconds(20), all_nodes());
    constexpr double lower_rate = big_rate / 10;
    world.schedule_after(seconds(5), [&] { publish(2, lower_rate); });
    time_point begin = world.now;
    world.run_for(seconds(22));
    double sum = static_cast<double>(highest_sum("big", begin + seconds(10)));
    CHECK(sum <= allowed_sum(lower_rate));
}

// Guards against a customer that is refused for long after the loss of its keepers.
TEST_CASE_FIXTURE(quota_fixture, "keepers cut off, customer below its quota, is served on")
{
    std::vector<std::string> entries = nodes_of(1);
    std::erase(entries, choose_quota_keeper(nodes_of(1), "small"));
    send("small", 0.5 * small_rate, seconds(30), entries);
    world.schedule_after(seconds(5), [&] {
        for (int zone = 0; zone < zone_count; ++zone) {
            std::string it = choose_quota_keeper(nodes_of(zone), "small");
            for (const std::string &other : all_nodes()) {
                if (other != it) {
                    set_cut(it, other, true);
                    set_cut(other, it, true);
                }
            }
        }
    });
    time_point begin = world.now;
    world.run_for(seconds(32));
    CHECK(served("small", begin + seconds(8)) > 0.9);
}
