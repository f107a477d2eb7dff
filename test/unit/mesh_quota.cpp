#include <doctest/doctest.h>

#include <algorithm>

#include "test/support/quota_zones.hpp"

using namespace gullstall;

// Guards against requests that run without a key or under an unknown one.
TEST_CASE_FIXTURE(test::quota_fixture, "request, unknown key or none, is answered 401 and not run")
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
TEST_CASE_FIXTURE(test::quota_fixture, "request, key taken away by a new version, is answered 401")
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
TEST_CASE_FIXTURE(test::quota_fixture, "customers below their quotas, all requests are served")
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
TEST_CASE_FIXTURE(test::quota_fixture, "customer in one zone, below its quota, is served")
{
    time_point begin = world.now;
    send("big", 0.7 * big_rate, seconds(20), nodes_of(1));
    world.run_for(seconds(22));
    CHECK(served("big", begin) > 0.98);
}

// Guards against a hot customer that gets more than its quota.
TEST_CASE_FIXTURE(test::quota_fixture,
                  "customer far beyond its quota, gets the quota and is told 429")
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
TEST_CASE_FIXTURE(test::quota_fixture,
                  "hot customer, cuts, pauses and restarts, sum stays within quota")
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
TEST_CASE_FIXTURE(test::quota_fixture, "hot customer, lowered quota, binds after one window")
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
TEST_CASE_FIXTURE(test::quota_fixture, "keepers cut off, customer below its quota, is served on")
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

// Guards against a grant that arrives late, for example over a narrow link, and admits requests
// that came after it: they run in another window than the one that it was counted in.
TEST_CASE_FIXTURE(test::quota_fixture,
                  "grant, late, does not admit requests received after its ask")
{
    std::string keeper = choose_quota_keeper(nodes_of(0), "big");
    std::string entry = keeper == node_name(0, 0) ? node_name(0, 1) : node_name(0, 0);
    world.paused_nodes.insert(keeper);
    world.api_key = "big-key";
    world.send_request(entry, "before", "/read/x", seconds(2));
    time_point asked_at = world.now;
    world.run_for(milliseconds(20));
    world.send_request(entry, "after", "/read/x", seconds(2));
    mesh_wire::quota_grant_message grant;
    grant.customer = "big";
    grant.tokens = 2;
    grant.known = true;
    grant.asked_us = mesh::frame_time_us(asked_at);
    world.run_node(entry, [&](mesh::mesh_turn &t) { mesh::handle_quota_grant(t, keeper, grant); });
    world.run_for(milliseconds(50));
    CHECK(world.runs_of("before") == 1);
    CHECK(world.runs_of("after") == 0);
}

// Guards against a customer within its quota that is refused each time its keeper is stopped and
// started as planned, since the next keeper takes all of the window for used.
TEST_CASE_FIXTURE(test::quota_fixture, "rolling stops, customer below its quota, is not over it")
{
    constexpr duration stop_interval = milliseconds(1500);
    time_point begin = world.now;
    int stops = 0;
    for (int i = 0; i < nodes_per_zone; ++i) {
        for (int zone = 0; zone < zone_count; ++zone) {
            std::string node = node_name(zone, i);
            world.schedule_after(stops * stop_interval, [this, node] {
                world.run_node(node, [](mesh::mesh_turn &t) { stop_node(t); });
            });
            world.schedule_after(stops * stop_interval + seconds(1),
                                 [this, node] { restart(node); });
            ++stops;
        }
    }
    duration length = stops * stop_interval;
    send("big", 0.7 * big_rate, length, all_nodes());
    world.run_for(length + seconds(3));
    CHECK(over_quota("big", begin) <= 0.002);
    CHECK(static_cast<double>(highest_sum_by_rule("big")) <= allowed_sum(big_rate));
}

// Guards against an ask in the name of a call that has ended: its caller left before any keeper
// could be asked.
TEST_CASE("node without a keeper, foremost waiting caller leaves, next request, is answered")
{
    test::mesh_simulation world{7};
    world.policy =
        test::policy_of(1, {test::route_of("read", "/read/", "reads", idempotency::idempotent)},
                        {test::declared("big", 10, 10)});
    world.add_node("n", "a", {"reads"});
    world.run_for(milliseconds(300));
    world.api_key = "big-key";
    world.send_request("n", "first", "/read/x", seconds(3));
    world.close_caller("n", "first");
    world.send_request("n", "second", "/read/x", seconds(3));
    world.run_for(seconds(4));
    CHECK(world.results["second"].status != 0);
}
