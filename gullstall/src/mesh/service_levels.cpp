#include "gullstall/src/mesh/service_levels.hpp"

#include <algorithm>
#include <cmath>
#include <set>

#include "gullstall/src/mesh/gate_demand.hpp"

namespace gullstall::mesh {

namespace {

/// Calls below calls that are followed; a call graph with a cycle ends here.
constexpr int max_depth = 24;

/// Runs per request from which on a service counts as needed.
constexpr double least_need = 0.1;

/// Runs per request from which on each request needs the service. What is below
/// stands for a part of a split, or a call that only some runs make.
constexpr double each_request = 0.95;

void add_needs(const service_levels &it, const traffic_policy &policy, const std::string &route,
               double times, int depth, service_runs &out)
{
    const traffic_route *known = route_named(policy, route);
    if (known == nullptr || depth > max_depth) {
        return;
    }
    double total = 0;
    for (const weighted_service &part : known->services) {
        total += part.weight;
    }
    for (const weighted_service &part : known->services) {
        out[part.service] += total > 0 ? times * part.weight / total : 0;
    }
    auto calls = it.calls.find(route);
    if (calls == it.calls.end()) {
        return;
    }
    for (const auto &[child, n] : calls->second) {
        add_needs(it, policy, child, times * n, depth + 1, out);
    }
}

/// Routes that runs call are judged with the request that the run belongs to.
std::set<std::string> called_routes(const service_levels &it)
{
    std::set<std::string> out;
    for (const auto &[route, calls] : it.calls) {
        for (const auto &[child, n] : calls) {
            if (n >= least_need) {
                out.insert(child);
            }
        }
    }
    return out;
}

/// Chance to come through upstreams that turn calls away below which requests
/// are refused. A chain of ten calls over upstreams that turn away half of them
/// comes through once in a thousand times, and is of use to nobody before.
constexpr double hopeful_chance = 0.25;

/// Share of such requests that is tried all the same, to see the end of it.
constexpr double tried_share = 0.05;

struct service_user
{
    std::string route;
    std::uint32_t priority;
    double runs;
};

/// Weighs the routes that use one service. A route that needs little of it is
/// cut later than its class says: refusing it frees next to nothing. No route is
/// let in further than one of a more urgent class.
std::map<std::string, double> weigh(std::vector<service_user> users, const mesh_switches &on)
{
    std::map<std::string, double> out;
    std::stable_sort(users.begin(), users.end(), [](const service_user &a, const service_user &b) {
        return a.priority < b.priority;
    });
    double most_runs = 0;
    for (const service_user &user : users) {
        most_runs = std::max(most_runs, user.runs);
    }
    double step = 1;
    double bound = 1;       // of the class that is looked at
    double next_bound = 1;  // of the class behind it
    for (std::size_t i = 0; i < users.size(); ++i) {
        if (i > 0 && users[i].priority != users[i - 1].priority) {
            step *= class_step;
            bound = next_bound;
        }
        double lift = on.needs_in_weights ? most_runs / users[i].runs : 1;
        double weight = std::min(bound, step * lift);
        next_bound = std::min(next_bound, weight);
        out[users[i].route] = weight;
    }
    return out;
}

}  // namespace

void plan_levels(service_levels &it, const traffic_policy &policy, const mesh_switches &on)
{
    it.needs.clear();
    it.weights.clear();
    std::set<std::string> called = called_routes(it);
    std::map<std::string, std::vector<service_user>> users;
    for (const traffic_route &route : policy.routes) {
        service_runs needs;
        add_needs(it, policy, route.name, 1, 0, needs);
        bool is_called = called.count(route.name) > 0;
        for (const auto &[service, runs] : needs) {
            if (runs >= least_need && !is_called) {
                users[service].push_back(service_user{route.name, route.priority, runs});
            }
        }
        it.needs[route.name] = std::move(needs);
    }
    for (auto &[service, all] : users) {
        it.weights[service] = weigh(std::move(all), on);
    }
}

double level_for(const weighted_demand &demand, double capacity)
{
    auto taken_at = [&](double level) {
        double out = 0;
        for (const auto &[weight, per_s] : demand) {
            out += per_s * std::min(1.0, level * weight);
        }
        return out;
    };
    if (taken_at(open_level) <= capacity) {
        return open_level;
    }
    constexpr int halvings = 20;  // to a hundred-thousandth of the open level
    double least = 0;
    double most = open_level;
    for (int i = 0; i < halvings; ++i) {
        double middle = (least + most) / 2;
        (taken_at(middle) > capacity ? most : least) = middle;
    }
    return least;
}

bool lacks_service(const service_levels &it, const std::string &route,
                   const std::map<std::string, service_state> &states)
{
    auto needs = it.needs.find(route);
    if (needs == it.needs.end()) {
        return false;
    }
    return std::any_of(needs->second.begin(), needs->second.end(), [&](const auto &entry) {
        return entry.second >= each_request && states.count(entry.first) == 0;
    });
}

admitted_shares shares_of(const service_levels &it, const std::string &route,
                          const std::map<std::string, service_state> &states,
                          const mesh_switches &on)
{
    admitted_shares out;
    auto needs = it.needs.find(route);
    if (needs == it.needs.end()) {
        return out;
    }
    double chance = 1;  // that no call of the whole chain is turned away
    for (const auto &[service, runs] : needs->second) {
        auto state = states.find(service);
        auto weights = it.weights.find(service);
        if (state == states.end() || weights == it.weights.end()) {
            continue;
        }
        chance *= std::pow(1 - state->second.shed, runs);
        auto weight = weights->second.find(route);
        if (on.admission && weight != weights->second.end()) {
            bool is_urgent = on.urgent_share && weight->second >= 1;
            double at_least = is_urgent ? state->second.urgent_share : 0;
            out.by_room =
                std::min(out.by_room, std::max(at_least, state->second.level * weight->second));
        }
    }
    out.by_room = std::clamp(out.by_room, least_share, 1.0);
    if (on.shed_chance) {
        out.by_chance = std::clamp(chance / hopeful_chance, tried_share, 1.0);
    }
    return out;
}

double admitted_share(const admitted_shares &it)
{
    return std::min(it.by_room, it.by_chance);
}

}  // namespace gullstall::mesh
