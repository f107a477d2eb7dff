#include <doctest/doctest.h>

#include "gullstall/src/mesh/service_costs.hpp"
#include "test/support/mesh_load.hpp"

using namespace gullstall;

namespace {

/// Shares of the requests of one kind by outcome.
struct kind_outcome
{
    double in_time = 0;
    double refused = 0;
    double failed = 0;
};

/// A desk service whose orders make eight short calls to a scarce service each, and less
/// urgent lists that hold a slot of the scarce service sixteen times as long as such a call.
/// All requests have the priority of the one customer.
struct scarce_service_fixture
{
    static constexpr double orders_per_s = 92;  // hold 0.78 of the scarce slots
    static constexpr double lists_per_s = 14;   // hold 0.24 of them

    test::mesh_simulation w{19};
    test::random_load load{{"f1", "f2", "s1", "s2"}};

    scarce_service_fixture()
    {
        traffic_route order =
            test::route_of("order", "/order/", "desk", idempotency::non_idempotent, 1);
        order.latency_objective = milliseconds(1500);
        traffic_route list = test::route_of("list", "/list/", "scarce", idempotency::idempotent, 2);
        list.latency_objective = seconds(4);
        traffic_route call = test::route_of("call", "/call/", "scarce", idempotency::idempotent, 0);
        call.latency_objective = milliseconds(300);
        w.policy =
            test::policy_of(1, {order, list, call}, {{customer{"practice", 1, {}}, {"key"}}});
        w.api_key = "key";
        test::upstream_model desk{"desk", 300, milliseconds(60)};
        desk.calls["/order/x"] = {"h", "/call/x", 8};
        for (const char *name : {"f1", "f2"}) {
            w.add_node(name, "a", desk);
        }
        for (const char *name : {"s1", "s2"}) {
            add_scarce(name, 1);
        }
        w.run_for(seconds(1));
    }

    void add_scarce(const std::string &name, double slowness)
    {
        auto scaled = [&](double ms) { return duration(static_cast<std::int64_t>(ms * 1000)); };
        test::upstream_model scarce{"scarce", 20, scaled(40 * slowness)};
        scarce.run_times["/list/x"] = scaled(650 * slowness);
        w.add_node(name, "a", scarce);
    }

    void set(bool mesh::mesh_features::*flag, bool value)
    {
        for (auto &[name, node] : w.nodes) {
            node.features.*flag = value;
        }
    }

    void send_load(duration length, double orders, double lists)
    {
        schedule_random_requests(w, load, {"order", orders * orders_per_s, seconds(5)}, length);
        schedule_random_requests(w, load, {"list", lists * lists_per_s, seconds(8)}, length);
        w.run_for(length);
    }

    kind_outcome outcome(const std::string &kind, duration objective, time_point since) const
    {
        kind_outcome out;
        double all = 0;
        for (const auto &[id, it] : w.results) {
            if (id.compare(0, kind.size() + 1, kind + "-") != 0 || it.sent_at < since) {
                continue;
            }
            ++all;
            bool is_good = it.status == 200;
            out.in_time += is_good && it.answered_at - it.sent_at <= objective ? 1 : 0;
            out.refused += it.status == 503 ? 1 : 0;
            out.failed += !is_good && it.status != 503 ? 1 : 0;
        }
        out.in_time /= all;
        out.refused /= all;
        out.failed /= all;
        return out;
    }

    kind_outcome orders(time_point since) const
    {
        return outcome("order", milliseconds(1500), since);
    }

    kind_outcome lists(time_point since) const
    {
        return outcome("list", seconds(4), since);
    }
};

}  // namespace

// Guards against orders that are refused for lists: counted in runs, a list is the cheapest
// request at the service where it is the dearest.
TEST_CASE_FIXTURE(scarce_service_fixture, "many long lists, urgent orders, are kept")
{
    bool by_cost = true;
    SUBCASE("counted by cost") {}
    SUBCASE("counted in runs")
    {
        by_cost = false;
    }
    set(&mesh::mesh_features::run_costs, by_cost);
    send_load(seconds(4), 0.9, 0.9);
    time_point burst = w.now;
    send_load(seconds(8), 1.1, 2.5);
    w.run_for(seconds(5));
    kind_outcome order = orders(burst);
    kind_outcome list = lists(burst);
    MESSAGE("by cost ", by_cost, " orders in time ", order.in_time, " refused ", order.refused,
            " failed ", order.failed, " lists in time ", list.in_time, " failed ", list.failed);
    if (by_cost) {
        CHECK(order.in_time > 0.97);
        CHECK(list.in_time > 0.15);
        CHECK(list.failed < 0.02);
    } else {
        CHECK(order.in_time < 0.9);
    }
}

// Guards against a service whose costs are unknown after all nodes have restarted: urgent
// orders would be refused until enough runs of each route were seen.
TEST_CASE_FIXTURE(scarce_service_fixture, "all nodes restart, orders, are kept after a second")
{
    send_load(seconds(4), 0.9, 0.9);
    for (const char *name : {"f1", "f2", "s1", "s2"}) {
        w.start_node(name, "a");
    }
    for (const char *name : {"f1", "f2", "s1", "s2"}) {
        w.send_heartbeat(name);
    }
    send_load(seconds(1), 1.1, 2.5);
    time_point since = w.now;
    send_load(seconds(6), 1.1, 2.5);
    w.run_for(seconds(5));
    kind_outcome order = orders(since);
    MESSAGE("orders in time ", order.in_time, " refused ", order.refused);
    CHECK(order.in_time > 0.95);
}

// Guards against an upstream that looks slow because it runs more lists than the other.
TEST_CASE_FIXTURE(scarce_service_fixture, "upstreams of unequal speed, told speeds, are told apart")
{
    add_scarce("s3", 2);
    send_load(seconds(6), 1.2, 1.2);
    auto &nodes = w.nodes.at("f1").nodes;
    auto costs = mesh::costs_by_service(nodes, w.now).at("scarce");
    auto speed = [&](const char *name) {
        return mesh::upstream_speed(nodes.nodes.at(name).status, costs);
    };
    CHECK(speed("s1") / speed("s3") == doctest::Approx(2).epsilon(0.15));
    CHECK(speed("s1") / speed("s2") == doctest::Approx(1).epsilon(0.1));
}

TEST_CASE_FIXTURE(scarce_service_fixture, "cost spread 0, service, is not counted by cost")
{
    CHECK(mesh::services_counted_by_cost(w.policy, 4) == std::set<std::string>{"scarce"});
    CHECK(mesh::services_counted_by_cost(w.policy, 20).empty());
    CHECK(mesh::services_counted_by_cost(w.policy, 0).empty());
}

// Guards against a changed setting that takes effect only after a restart.
TEST_CASE_FIXTURE(scarce_service_fixture, "cost spread set to 0, running nodes, count in runs")
{
    send_load(seconds(2), 0.9, 0.9);
    CHECK(counts_by_cost(w.nodes.at("s1")));
    for (auto &[name, node] : w.nodes) {
        node.settings.limits.cost_spread = 0;
    }
    send_load(seconds(1), 0.9, 0.9);
    CHECK(!counts_by_cost(w.nodes.at("s1")));
    CHECK(w.nodes.at("f1").nodes.nodes.at("s1").status.run_costs.empty());
}

// Guards against nodes that decide differently where nothing calls for costs: objectives that
// are close to each other leave all figures in runs.
TEST_CASE_FIXTURE(scarce_service_fixture, "objectives close together, statuses, tell no costs")
{
    std::vector<traffic_route> routes = w.policy.routes;
    for (traffic_route &it : routes) {
        it.latency_objective = seconds(1);
    }
    traffic_policy close = test::policy_of(2, routes, {{customer{"practice", 1, {}}, {"key"}}});
    for (auto &[name, node] : w.nodes) {
        w.run_node(name, [&](mesh::mesh_turn &t) {
            apply_policy(t, close, "text", mesh::policy_source::store);
        });
    }
    send_load(seconds(2), 0.9, 0.9);
    CHECK(w.nodes.at("f1").nodes.nodes.at("s1").status.run_costs.empty());
    CHECK(w.nodes.at("f1").plan.counted_by_cost.empty());
}

// Guards against weights that fall back to runs while all upstreams of a service have just
// started and tell no costs.
TEST_CASE_FIXTURE(scarce_service_fixture,
                  "no upstream tells costs, entry node, keeps the known ones")
{
    send_load(seconds(2), 0.9, 0.9);
    mesh::admission_plan plan = w.nodes.at("f1").plan;
    mesh::route_costs before = plan.costs.at("scarce");
    CHECK(before.size() == 2);
    CHECK(!update_costs(plan, {{"scarce", mesh::service_state{}}}));
    CHECK(plan.costs.at("scarce") == before);
}
