#include <doctest/doctest.h>

#include "test/support/mesh_world.hpp"

using namespace gullstall;
using mesh::gate_verdict;

namespace {

mesh::node_view view_of(const std::string &node, const std::string &zone, std::uint32_t slots,
                        std::uint32_t running, std::uint32_t run_us)
{
    mesh::node_view out;
    out.address = mesh::node_address{node, zone, endpoint{"10.0.0.1", 1}};
    out.linked = true;
    out.status.service = "s";
    out.status.state = mesh_wire::upstream_state::ready;
    out.status.slots = slots;
    out.status.running = running;
    out.status.run_time_us = run_us;
    return out;
}

/// \returns the number of 1,000 calls from zone a that are sent to each node
std::map<std::string, int> choose_nodes(const mesh::directory &nodes)
{
    random_source random(1);
    std::map<std::string, int> out;
    for (int i = 0; i < 1000; ++i) {
        ++out[choose_node(nodes, {}, {"s", "a", {}, ""}, random, time_point(seconds(10)))];
    }
    return out;
}

}  // namespace

TEST_CASE("split route, any stretch of requests, keeps the weights")
{
    traffic_route route = test::route_of("r", "/r/", "x", idempotency::idempotent);
    route.services = {{"x", 90}, {"y", 10}};
    mesh::traffic_split split;
    int chosen_y = 0;
    for (int i = 1; i <= 200; ++i) {
        chosen_y += choose_service(split, route) == "y" ? 1 : 0;
        CHECK(std::abs(chosen_y - i / 10.0) <= 1);
    }
}

TEST_CASE("route, longest prefix of the host, is found")
{
    traffic_policy policy =
        test::policy_of(1, {test::route_of("short", "/a/", "x", idempotency::idempotent),
                            test::route_of("long", "/a/b/", "y", idempotency::idempotent)});
    CHECK(find_route(policy, "h", "/a/c/d")->name == "short");
    CHECK(find_route(policy, "H:80", "/a/b/d?q=/a/")->name == "long");
    CHECK(find_route(policy, "h", "/a/b")->name == "short");
    CHECK(find_route(policy, "h", "/a") == nullptr);
    CHECK(find_route(policy, "g", "/a/b/") == nullptr);
    CHECK(find_route(policy, "h", "*") == nullptr);
}

// Guards against starving a new upstream. With an assumed run time longer than the known
// ones it would lose every comparison, and its own run time would never be measured.
TEST_CASE("new upstream, run time not known, gets calls")
{
    mesh::directory nodes;
    nodes.nodes["old"] = view_of("old", "a", 20, 5, 12000);
    nodes.nodes["new"] = view_of("new", "a", 20, 0, 0);
    CHECK(choose_nodes(nodes)["new"] > 300);
}

TEST_CASE("upstream near, not full, gets all calls of its zone")
{
    mesh::directory nodes;
    nodes.nodes["near"] = view_of("near", "a", 20, 10, 30000);
    nodes.nodes["far"] = view_of("far", "b", 20, 0, 10000);
    CHECK(choose_nodes(nodes)["far"] == 0);
}

TEST_CASE("upstream near, with a long queue, lets calls leave the zone")
{
    mesh::directory nodes;
    nodes.nodes["near"] = view_of("near", "a", 20, 20, 30000);
    nodes.nodes["near"].status.waiting = 30;
    nodes.nodes["far"] = view_of("far", "b", 20, 5, 30000);
    CHECK(choose_nodes(nodes)["far"] > 900);
}

TEST_CASE("upstream that fails, another near, gets few calls")
{
    mesh::directory nodes;
    nodes.nodes["good"] = view_of("good", "a", 20, 5, 20000);
    nodes.nodes["bad"] = view_of("bad", "a", 20, 5, 20000);
    for (int i = 0; i < 30; ++i) {
        record_sent_call(nodes, "bad");
        record_call_result(nodes, "bad", mesh::call_end::failed, time_point(seconds(10)));
    }
    CHECK(choose_nodes(nodes)["bad"] < 50);
}

TEST_CASE("gate with all slots in use, calls that wait, go by class and by what gets late first")
{
    mesh::run_gate gate;
    gate.slots = 1;
    gate.mean_run_us = 10000;
    auto waits = [&](std::uint64_t run, std::uint16_t priority, bool inner, int due_ms, bool late) {
        time_point due{milliseconds(due_ms)};
        return request_slot(gate, {run_ref{run}, priority, inner, seconds(1), due, late, !inner}) ==
               gate_verdict::queued;
    };
    CHECK_FALSE(waits(1, 2, false, 900, false));  // gets the slot
    CHECK(waits(2, 2, true, 900, false));
    CHECK(waits(3, 2, false, 100, true));
    CHECK(waits(4, 2, false, 200, false));
    CHECK(waits(5, 0, false, 900, false));
    CHECK(waits(6, 2, false, 900, false));
    CHECK_FALSE(dequeue_run(gate));
    for (std::uint64_t expected : {5, 4, 2, 6, 3}) {
        release_slot(gate, milliseconds(10));
        CHECK(dequeue_run(gate) == run_ref{expected});
    }
}

// Guards against refusing nested calls because of the queue length. After a burst, a call
// of an admitted request that has most of its time left was refused although it would have
// got a slot within a tenth of a second, and the whole request failed.
TEST_CASE("gate with a long queue, call of a run that has time, waits")
{
    mesh::run_gate gate;
    gate.slots = 10;
    gate.running = 10;
    gate.mean_run_us = 20000;
    constexpr std::uint64_t many = 100;
    auto call_of_run = [&](std::uint64_t run, duration left) {
        return request_slot(gate, {run_ref{run}, 2, true, left, {}, false, false});
    };
    for (std::uint64_t i = 1; i <= many; ++i) {
        REQUIRE(call_of_run(i, milliseconds(700)) == gate_verdict::queued);
    }
    CHECK(request_slot(gate, {run_ref{many + 1}, 2, false, seconds(2)}) == gate_verdict::refused);
    CHECK(request_slot(gate, {run_ref{many + 2}, 0, false, seconds(2)}) == gate_verdict::queued);
    CHECK(call_of_run(many + 3, milliseconds(100)) == gate_verdict::refused);
}

TEST_CASE("gate with a queue, call that would wait too long, is refused")
{
    mesh::run_gate gate;
    gate.slots = 1;
    gate.mean_run_us = 100000;
    CHECK(request_slot(gate, {run_ref{1}, 0, false, seconds(1)}) == gate_verdict::granted);
    CHECK(request_slot(gate, {run_ref{2}, 0, false, milliseconds(100)}) == gate_verdict::refused);
    CHECK(request_slot(gate, {run_ref{3}, 0, false, seconds(1)}) == gate_verdict::queued);
}

// Guards against retry storms: if every node retries all failed calls, an overloaded
// service gets twice the load. A node's retries stay below a share of its own requests.
TEST_CASE("repeats to a service, many failures, stay within the budget")
{
    mesh::retry_token_bucket budget;
    int repeats = 0;
    for (int i = 0; i < 1000; ++i) {
        mesh::earn_retry_tokens(budget, 0.2);
        if (has_retry_tokens(budget, 1)) {
            spend_retry_tokens(budget, 1);
            ++repeats;
        }
    }
    CHECK(repeats <= 100);
    CHECK(repeats >= 95);
    CHECK_FALSE(has_retry_tokens(budget, 5));
}

// A service with few requests loses an occasional answer. The share of its requests earns
// almost no retries, but this node's part of the slack has to pay for a few.
TEST_CASE("repeats to a service, few requests, are paid by the slack of all nodes")
{
    mesh::retry_token_bucket budget;
    mesh::retry_slack slack{48, seconds(10), 15};
    accrue_slack_tokens(budget, slack, time_point(seconds(100)));
    double before = budget.tokens;
    accrue_slack_tokens(budget, slack, time_point(seconds(105)));
    CHECK(budget.tokens - before <= 48.0 / 15 / 2);
    CHECK(has_retry_tokens(budget, 1));
}

// Guards against exceeding the retry limit after a quiet period: for a minute nothing
// fails and each of 85 nodes saves up tokens. Then a zone is cut off and all nodes retry at
// once. The limit covers the last ten seconds only.
TEST_CASE("repeats of 85 nodes, much fails after a calm minute, stay within the bound")
{
    constexpr int nodes = 85;
    constexpr int per_s = 120;  // callers' requests to the service, over all nodes
    constexpr double allowed = 0.2 * per_s * 10 + 115;
    mesh::retry_slack slack{115, seconds(10), nodes};
    std::vector<mesh::retry_token_bucket> budgets(nodes);
    int repeats = 0;
    for (int i = 0; i < 70 * per_s; ++i) {
        time_point now{seconds(100) + duration(i * 1000000LL / per_s)};
        mesh::retry_token_bucket &budget = budgets[static_cast<std::size_t>(i % nodes)];
        accrue_slack_tokens(budget, slack, now);
        mesh::earn_retry_tokens(budget, 0.2);
        bool has_failed = i >= 60 * per_s;
        for (int tries = 0; has_failed && tries < 10 && has_retry_tokens(budget, 1); ++tries) {
            spend_retry_tokens(budget, 1);
            ++repeats;
        }
    }
    MESSAGE("repeats ", repeats, " of ", allowed);
    CHECK(repeats <= allowed);
    CHECK(repeats >= allowed / 2);
}

TEST_CASE("call of a run, id that shows its run, is tied to it")
{
    mesh::call_chain chain;
    record_run_start(chain, run_ref{7}, "abc.12", "list");
    CHECK(find_parent(chain, "abc.12.9f") == run_ref{7});
    CHECK_FALSE(find_parent(chain, "abc.12"));
    CHECK_FALSE(find_parent(chain, "abc"));
    CHECK_FALSE(find_parent(chain, ""));
    record_run_end(chain, run_ref{7}, "abc.12", true);
    CHECK_FALSE(find_parent(chain, "abc.12.9f"));
}

TEST_CASE("settings of a node, bad endpoint, names file, line and key")
{
    const std::string text = R"([node]
name = n
zone = a
[listen]
callers = 10.0.0.1:80
peers = 10.0.0.1:81
readiness = 10.0.0.1:82
control = 10.0.0.1:83
metrics = 10.0.0.1:84
[store]
endpoint = somewhere
)";
    auto read = mesh::parse_mesh_settings("node.ini", text);
    REQUIRE_FALSE(succeeded(read));
    CHECK(error_of(read).message.find("node.ini:11") != std::string::npos);
    CHECK(error_of(read).message.find("endpoint") != std::string::npos);
    auto good = mesh::parse_mesh_settings("node.ini",
                                          text.substr(0, text.find("somewhere")) + "10.0.0.2:80\n");
    REQUIRE(succeeded(good));
    auto again = mesh::parse_mesh_settings("again", print_mesh_settings(value_of(good)));
    REQUIRE(succeeded(again));
    CHECK(value_of(again) == value_of(good));
}

namespace {

/// Front, middle and deep services in zones a and b, but no deep service in zone a. A front
/// run makes one middle call, a middle run four deep calls.
struct zone_plan_fixture
{
    traffic_policy policy =
        test::policy_of(1, {test::route_of("f", "/f/", "front", idempotency::idempotent),
                            test::route_of("m", "/m/", "middle", idempotency::idempotent),
                            test::route_of("d", "/d/", "deep", idempotency::idempotent)});
    std::map<std::string, mesh::calls_per_run> calls{{"f", {{"m", 1}}}, {"m", {{"d", 4}}}};
    mesh::service_zones present{{"front", {"a", "b"}}, {"middle", {"a", "b"}}, {"deep", {"b"}}};

    /// \returns the share of calls of \a route from zone a that stay there
    double stay(const std::string &route) const
    {
        mesh::zone_plan plan = mesh::make_zone_plan(policy, calls, present);
        mesh::directory nodes;
        nodes.nodes["near"] = view_of("near", "a", 20, 5, 10000);
        nodes.nodes["far"] = view_of("far", "b", 20, 5, 10000);
        random_source random(1);
        int n = 0;
        for (int i = 0; i < 200; ++i) {
            n += choose_node(nodes, plan, {"s", "a", {}, route}, random, time_point(seconds(10))) ==
                 "near";
        }
        return n / 200.0;
    }
};

}  // namespace

// Guards against needless traffic between zones, which is billed by the byte. A zone has
// lost its only upstream of a deep service. Each middle run that stays in the zone makes
// four cross-zone calls; a middle call to the other zone is one. A front call stays, since
// the front run makes one cross-zone call in either zone.
TEST_CASE_FIXTURE(zone_plan_fixture, "zone without the deep service, its callers, cross above it")
{
    CHECK(stay("m") == 0);
    CHECK(stay("f") == 1);
    CHECK(stay("d") == 1);
    mesh::zone_plan plan = mesh::make_zone_plan(policy, calls, present);
    CHECK(cross_zone_calls_below(plan, "m", "a") == 4);
    CHECK(cross_zone_calls_below(plan, "f", "a") == 1);
    CHECK(cross_zone_calls_below(plan, "f", "b") == 0);
}

TEST_CASE_FIXTURE(zone_plan_fixture, "zones with all services, all calls, stay in the zone")
{
    present["deep"] = {"a", "b"};
    CHECK(stay("m") == 1);
    CHECK(stay("f") == 1);
}

TEST_CASE_FIXTURE(zone_plan_fixture, "calls in a circle, plan, ends")
{
    calls["d"] = {{"f", 1}};
    CHECK(stay("f") == 1);
}

TEST_CASE("switches, unknown name, says which")
{
    mesh::mesh_features on;
    CHECK(succeeded(disable_features(on, "")));
    CHECK(on == mesh::mesh_features{});
    REQUIRE(succeeded(disable_features(on, "repeats,zone_plan")));
    CHECK_FALSE(on.repeats);
    CHECK_FALSE(on.zone_plan);
    CHECK(on.admission);
    auto failed = disable_features(on, "admission,magic");
    REQUIRE_FALSE(succeeded(failed));
    CHECK(error_of(failed).message == "unknown feature 'magic'");
}
