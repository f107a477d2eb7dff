#include <doctest/doctest.h>

#include "test/support/mesh_world.hpp"

using namespace gullstall;

namespace {

std::string route_name(int i)
{
    return "r" + std::to_string(i);
}

std::string service_name(int i)
{
    return "s" + std::to_string(i);
}

/// Routes r0, r1, .. of services s0, s1, .., and the calls that their runs make.
struct call_graph_fixture
{
    traffic_policy policy;
    mesh::admission_plan plan;

    void add_routes(int count)
    {
        std::vector<traffic_route> routes;
        routes.reserve(static_cast<std::size_t>(count));
        for (int i = 0; i < count; ++i) {
            routes.push_back(test::route_of(route_name(i), "/" + route_name(i) + "/",
                                            service_name(i), idempotency::idempotent));
        }
        policy = test::policy_of(1, std::move(routes));
    }

    void add_call(int from, int to, double per_run)
    {
        plan.calls[route_name(from)][route_name(to)] = per_run;
    }

    /// Lets the runs of each of \a count routes call all of them.
    void add_calls_of_all(int count, double per_run)
    {
        add_routes(count);
        for (int i = 0; i < count; ++i) {
            for (int j = 0; j < count; ++j) {
                add_call(i, j, per_run);
            }
        }
    }

    double runs(int of_route, int at_service)
    {
        const mesh::service_runs &needs = plan.runs_per_request.at(route_name(of_route));
        auto found = needs.find(service_name(at_service));
        return found == needs.end() ? 0 : found->second;
    }
};

}  // namespace

// Guards against work that grows with the number of paths: two to the power of 22 here.
TEST_CASE_FIXTURE(call_graph_fixture, "layers of two routes, 22 deep, needs of each are exact")
{
    constexpr int layers = 22;
    add_routes(2 * layers);
    for (int i = 0; i + 1 < layers; ++i) {
        for (int from : {2 * i, 2 * i + 1}) {
            add_call(from, 2 * i + 2, 0.5);
            add_call(from, 2 * i + 3, 0.5);
        }
    }
    update_admission_plan(plan, policy);
    for (int i = 1; i < layers; ++i) {
        CHECK(runs(0, 2 * i) == doctest::Approx(0.5));
        CHECK(runs(0, 2 * i + 1) == doctest::Approx(0.5));
    }
}

// Guards against a node that never ends its work once services call each other.
TEST_CASE_FIXTURE(call_graph_fixture, "forty routes that all call each other, needs are finite")
{
    constexpr int routes = 40;
    constexpr double per_run = 0.75 / routes;
    add_calls_of_all(routes, per_run);
    update_admission_plan(plan, policy);
    // The runs that a run causes sum up to 1 / (1 - 0.75), its own one among them.
    double sum = 0;
    for (int i = 0; i < routes; ++i) {
        sum += runs(0, i);
    }
    CHECK(sum == doctest::Approx(4).epsilon(0.1));
    CHECK(runs(0, 0) > runs(0, 1));
}

// Guards against a sum without end: the mean calls of the runs of a cycle may be one or more.
TEST_CASE_FIXTURE(call_graph_fixture, "routes that call each other more than once, needs bounded")
{
    add_calls_of_all(4, 3);
    update_admission_plan(plan, policy);
    for (int i = 0; i < 4; ++i) {
        CHECK(runs(0, i) >= 1);
        CHECK(runs(0, i) <= 1000);
    }
}

// Guards against a walk in the zone plan that a cycle ends only by its depth.
TEST_CASE_FIXTURE(call_graph_fixture, "routes that call each other, zone plan, is the fixed point")
{
    add_routes(2);
    add_call(0, 1, 1);
    add_call(1, 0, 0.5);
    mesh::service_zones present{{"s0", {"a", "b"}}, {"s1", {"b"}}};
    mesh::zone_plan zones = mesh::make_zone_plan(policy, plan.calls, present);
    CHECK(cross_zone_calls_below(zones, "r0", "a") == doctest::Approx(1));
    CHECK(cross_zone_calls_below(zones, "r0", "b") == doctest::Approx(0));
}
