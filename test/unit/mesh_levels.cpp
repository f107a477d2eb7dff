#include <doctest/doctest.h>

#include "test/support/mesh_world.hpp"

using namespace gullstall;

namespace {

/// Shares of the requests of one kind that were answered, refused or failed.
struct kind_outcome
{
    double served = 0;
    double refused = 0;
    double failed = 0;
    double p99_ms = 0;
};

/// A front service whose runs call a deep service several times each, and lookups that
/// go directly to the deep service. The deep service runs 2 x 1,000 calls a second.
struct mesh_levels_fixture
{
    test::mesh_simulation w{7};
    int sent = 0;

    mesh_levels_fixture()
    {
        traffic_route called =
            test::route_of("deep-call", "/deep/", "deep", idempotency::idempotent, 1);
        w.policy = test::policy_of(
            1, {test::route_of("order", "/order/", "front", idempotency::non_idempotent, 0),
                test::route_of("list", "/list/", "front", idempotency::idempotent, 2),
                test::route_of("lookup", "/lookup/", "deep", idempotency::idempotent, 1), called});
        test::upstream_model front{"front", 200, milliseconds(20)};
        front.calls["/order/x"] = {"h", "/deep/x", 2};
        front.calls["/list/x"] = {"h", "/deep/x", 5};
        test::upstream_model deep{"deep", 21, milliseconds(20)};
        for (const char *name : {"f1", "f2"}) {
            w.add_node(name, "a", front);
        }
        for (const char *name : {"d1", "d2"}) {
            w.add_node(name, "a", deep);
        }
        w.run_for(seconds(1));
    }

    /// Sends the given numbers of requests per second of each kind, evenly spaced.
    void send_load(duration length, double orders, double lists, double lookups)
    {
        for (auto [path, per_s] :
             {std::pair("order", orders), std::pair("list", lists), std::pair("lookup", lookups)}) {
            auto n = static_cast<int>(per_s * std::chrono::duration<double>(length).count());
            for (int i = 0; i < n; ++i) {
                std::string kind = path;
                w.schedule_at(w.now + duration(static_cast<std::int64_t>(i * 1e6 / per_s)),
                              [this, kind] {
                                  std::string id = kind + "-" + std::to_string(++sent);
                                  const char *node = sent % 2 == 0 ? "f1" : "d2";
                                  w.send_request(node, id, "/" + kind + "/x", seconds(2));
                              });
            }
        }
        w.run_for(length);
    }

    kind_outcome outcome(const std::string &kind, time_point since) const
    {
        kind_outcome out;
        double all = 0;
        std::vector<double> latencies_s;
        for (const auto &[id, it] : w.results) {
            if (id.compare(0, kind.size() + 1, kind + "-") != 0 || it.sent_at < since) {
                continue;
            }
            ++all;
            out.served += it.status == 200 ? 1 : 0;
            out.refused += it.status == 503 ? 1 : 0;
            if (it.status == 200) {
                latencies_s.push_back(
                    std::chrono::duration<double>(it.answered_at - it.sent_at).count());
            }
        }
        std::sort(latencies_s.begin(), latencies_s.end());
        out.p99_ms = latencies_s.empty() ? 0 : latencies_s[latencies_s.size() * 99 / 100] * 1000;
        out.served /= all;
        out.refused /= all;
        out.failed = 1 - out.served - out.refused;
        return out;
    }
};

}  // namespace

TEST_CASE_FIXTURE(mesh_levels_fixture, "load within capacity, all kinds, are served")
{
    send_load(seconds(5), 100, 150, 200);
    w.run_for(seconds(3));
    for (const char *kind : {"order", "list", "lookup"}) {
        CHECK(outcome(kind, time_point{}).served > 0.99);
    }
}

// Guards against late failures during overload: list requests need twice the capacity of
// the deep service. One that is admitted and fails at its fourth call has wasted three
// runs, and without admission control nearly all of them fail. Urgent and cheap requests
// have to be served, and the excess refused before any work is done.
TEST_CASE_FIXTURE(mesh_levels_fixture, "twice the capacity, urgent and cheap kinds, are kept")
{
    send_load(seconds(4), 100, 700, 200);
    time_point steady_since = w.now;
    send_load(seconds(8), 100, 700, 200);
    w.run_for(seconds(3));
    kind_outcome order = outcome("order", steady_since);
    kind_outcome lookup = outcome("lookup", steady_since);
    kind_outcome list = outcome("list", steady_since);
    MESSAGE("order ", order.served, " lookup ", lookup.served, " list ", list.served, " failed ",
            list.failed, " p99 ms ", order.p99_ms, " ", lookup.p99_ms);
    CHECK(order.served > 0.97);
    CHECK(lookup.served > 0.97);
    CHECK(list.failed < 0.02);
    // The lists get 2,100 runs a second less 400 for the other kinds, and ask for 3,500.
    CHECK(list.served > 0.35);
    CHECK(lookup.p99_ms < 150);
}

// Guards against an admission level that stays low after the load has dropped to half:
// requests would be refused although there is capacity for them.
TEST_CASE_FIXTURE(mesh_levels_fixture, "load falls, after two seconds, nothing is refused")
{
    send_load(seconds(6), 100, 700, 200);
    send_load(seconds(2), 50, 100, 100);
    time_point steady_since = w.now;
    send_load(seconds(3), 50, 100, 100);
    w.run_for(seconds(3));
    CHECK(outcome("list", steady_since).served > 0.99);
}

// The deep service sheds half of all calls. A list request, which needs five, succeeds
// once in thirty attempts. It has to be refused at once with a retry time instead of
// failing after all its work.
TEST_CASE_FIXTURE(mesh_levels_fixture, "deep service sheds, long chains, are refused at once")
{
    send_load(seconds(2), 50, 100, 100);
    for (const char *name : {"d1", "d2"}) {
        w.upstreams[name].shed = 0.5;
    }
    send_load(seconds(1), 50, 100, 100);
    time_point steady_since = w.now;
    send_load(seconds(4), 50, 100, 100);
    w.run_for(seconds(3));
    CHECK(outcome("list", steady_since).refused > 0.7);
    CHECK(outcome("lookup", steady_since).served > 0.4);
}

TEST_CASE("services of a chain, cheap route of a middle class, is cut with the first class")
{
    mesh::admission_plan plan;
    plan.calls["order"] = {{"deep-call", 2.0}};
    plan.calls["list"] = {{"deep-call", 5.0}};
    traffic_policy policy = test::policy_of(
        1, {test::route_of("order", "/order/", "front", idempotency::non_idempotent, 0),
            test::route_of("list", "/list/", "front", idempotency::idempotent, 2),
            test::route_of("lookup", "/lookup/", "deep", idempotency::idempotent, 1),
            test::route_of("deep-call", "/deep/", "deep", idempotency::idempotent, 1)});
    update_admission_plan(plan, policy);
    CHECK(plan.runs_per_request.at("list").at("deep") == doctest::Approx(5));
    const auto &weights = plan.weights.at("deep");
    CHECK(weights.at("order") == 1);
    CHECK(weights.at("lookup") == 1);
    CHECK(weights.at("list") ==
          doctest::Approx(mesh::class_weight_ratio * mesh::class_weight_ratio));
    CHECK(weights.count("deep-call") == 0);
    CHECK(admitted_share(admitted_shares_for(plan, "list", "list", {{"deep", {1.0, 0}}})) < 0.25);
    CHECK(admitted_share(admitted_shares_for(plan, "order", "order", {{"deep", {1.0, 0}}})) == 1);
}

// Guards against requests of the least urgent of many classes that are refused without an
// overload: customers may have any number of priorities.
TEST_CASE("services, ten priority classes, capacity for all, none is refused")
{
    constexpr std::uint32_t classes = 10;
    std::vector<customer_declaration> customers;
    for (std::uint32_t i = 0; i < classes; ++i) {
        std::string name = "c" + std::to_string(i);
        customers.push_back({customer{name, i, {}}, {name}});
    }
    traffic_policy policy = test::policy_of(
        1, {test::route_of("read", "/read/", "reads", idempotency::idempotent, 0)}, customers);
    mesh::admission_plan plan;
    update_admission_plan(plan, policy);
    mesh::weighted_demand demand;
    for (const auto &[root, weight] : plan.weights.at("reads")) {
        demand[weight] += 1;
    }
    CHECK(plan.weights.at("reads").size() == classes);
    mesh::service_state state{mesh::admission_level_for(demand, 1.01 * classes), 0, 0};
    const traffic_route &route = policy.routes.front();
    for (std::uint32_t i = 0; i < classes; ++i) {
        auto shares =
            admitted_shares_for(plan, "read", traffic_class(route, i), {{"reads", state}});
        CHECK(admitted_share(shares) == 1);
    }
}

namespace {

/// Orders that need eight runs of a service, lists that need four and are less urgent, and
/// customers of two priorities.
struct customer_classes_fixture
{
    std::map<std::string, double> weights;

    customer_classes_fixture()
    {
        mesh::admission_plan plan;
        plan.calls["order"] = {{"deep-call", 8.0}};
        plan.calls["list"] = {{"deep-call", 4.0}};
        traffic_policy policy = test::policy_of(
            1,
            {test::route_of("order", "/order/", "front", idempotency::non_idempotent, 0),
             test::route_of("list", "/list/", "front", idempotency::idempotent, 2),
             test::route_of("lookup", "/lookup/", "deep", idempotency::idempotent, 1),
             test::route_of("deep-call", "/deep/", "deep", idempotency::idempotent, 1)},
            {{customer{"first", 0, {}}, {"a"}}, {customer{"second", 3, {}}, {"b"}}});
        update_admission_plan(plan, policy);
        weights = plan.weights.at("deep");
    }
};

}  // namespace

// Guards against orders that are refused before lists of the same customers: all requests of
// a customer have its priority, and lists, which need fewer runs, then got the higher weight.
TEST_CASE_FIXTURE(customer_classes_fixture, "customer class, routes, are ranked by their priority")
{
    for (const char *suffix : {"@0", "@3"}) {
        auto weight = [&](const std::string &route, const std::string &own) {
            return weights.at(own == suffix ? route : route + suffix);
        };
        CHECK(weight("order", "@0") >= weight("lookup", "@1"));
        CHECK(weight("lookup", "@1") >= weight("list", "@2"));
        CHECK(weight("order", "@0") > 2 * weight("list", "@2"));
    }
}

TEST_CASE_FIXTURE(customer_classes_fixture, "customer class, more urgent one, has no lower weight")
{
    double lowest = std::min({weights.at("order"), weights.at("lookup@0"), weights.at("list@0")});
    for (const char *root : {"order@3", "lookup@3", "list@3"}) {
        CHECK(weights.at(root) <= lowest);
    }
}

namespace {

/// The services of mesh_levels_fixture, with all upstreams of the deep service draining.
struct deep_gone_fixture : mesh_levels_fixture
{
    kind_outcome orders_without_deep(bool chains_need_all)
    {
        send_load(seconds(2), 100, 100, 10);  // learns the calls per run
        for (auto &[name, n] : w.nodes) {
            n.features.chains_need_all = chains_need_all;
        }
        w.send_heartbeat("d1", mesh_wire::upstream_state::draining);
        w.send_heartbeat("d2", mesh_wire::upstream_state::draining);
        w.run_for(milliseconds(200));
        time_point drained_at = w.now;
        send_load(seconds(2), 100, 100, 10);
        w.run_for(seconds(2));
        return outcome("order", drained_at);
    }
};

}  // namespace

// Guards against 500 answers while a partitioned zone has no upstream of a deep service.
// An order that is admitted fails at its first nested call, and its caller must not
// retry, since the order may have run. If it is refused on entry, the caller can retry
// and succeeds when the partition is over.
TEST_CASE_FIXTURE(deep_gone_fixture, "deep service gone, orders, are refused where they enter")
{
    kind_outcome order = orders_without_deep(true);
    CHECK(order.refused > 0.99);
}

TEST_CASE_FIXTURE(deep_gone_fixture, "deep service gone, first service checked alone, orders fail")
{
    kind_outcome order = orders_without_deep(false);
    CHECK(order.failed > 0.99);
}
