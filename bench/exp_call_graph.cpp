/// Time that a refresh of the plan for admission and of the zone plan takes for large call
/// graphs, microseconds on this machine.

#include <chrono>
#include <cstdio>

#include "gullstall/mesh.hpp"
#include "test/support/mesh_world.hpp"

using namespace gullstall;

namespace {

constexpr int rounds = 20;

std::string name_of(const char *kind, int i)
{
    return kind + std::to_string(i);
}

traffic_policy make_policy(int routes, int services)
{
    std::vector<traffic_route> out;
    out.reserve(static_cast<std::size_t>(routes));
    for (int i = 0; i < routes; ++i) {
        out.push_back(test::route_of(name_of("r", i), "/" + name_of("r", i) + "/",
                                     name_of("s", i % services), idempotency::idempotent));
    }
    return test::policy_of(1, std::move(out));
}

template <class Function>
double mean_us(Function what)
{
    auto began = std::chrono::steady_clock::now();
    for (int i = 0; i < rounds; ++i) {
        what();
    }
    std::chrono::duration<double, std::micro> spent = std::chrono::steady_clock::now() - began;
    return spent.count() / rounds;
}

void measure(const char *name, const traffic_policy &policy,
             const std::map<std::string, mesh::calls_per_run> &calls, int services)
{
    mesh::admission_plan plan;
    plan.calls = calls;
    mesh::service_zones present;
    for (int i = 0; i < services; ++i) {
        present[name_of("s", i)] = {"a", "b", "c"};
    }
    double needs_us = mean_us([&] { update_admission_plan(plan, policy); });
    double zones_us = mean_us([&] { mesh::make_zone_plan(policy, calls, present); });
    std::printf("%-44s %10.0f %10.0f\n", name, needs_us, zones_us);
}

std::map<std::string, mesh::calls_per_run> calls_of_all(int routes, int calls_per_route)
{
    constexpr double sum = 0.75;
    std::map<std::string, mesh::calls_per_run> out;
    for (int i = 0; i < routes; ++i) {
        for (int j = 0; j < calls_per_route; ++j) {
            out[name_of("r", i)][name_of("r", (i + j) % routes)] = sum / calls_per_route;
        }
    }
    return out;
}

std::map<std::string, mesh::calls_per_run> layered_calls(int layers)
{
    std::map<std::string, mesh::calls_per_run> out;
    for (int i = 0; i + 2 < 2 * layers; ++i) {
        int next = 2 * (i / 2) + 2;
        out[name_of("r", i)] = {{name_of("r", next), 0.5}, {name_of("r", next + 1), 0.5}};
    }
    return out;
}

}  // namespace

int main()
{
    constexpr int routes = 200;
    constexpr int services = 40;
    constexpr int layers = 22;
    std::printf("%-44s %10s %10s\n", "", "needs us", "zones us");
    traffic_policy policy = make_policy(routes, services);
    for (int n : {4, 16, 64, routes}) {
        std::string name = "200 routes, each calls " + std::to_string(n);
        measure(name.c_str(), policy, calls_of_all(routes, n), services);
    }
    measure("22 layers of two routes", make_policy(2 * layers, 2 * layers), layered_calls(layers),
            2 * layers);
}
