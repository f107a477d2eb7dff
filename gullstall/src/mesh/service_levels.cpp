#include "gullstall/src/mesh/service_levels.hpp"

#include <algorithm>
#include <cmath>
#include <set>

#include "gullstall/src/mesh/call_graph.hpp"
#include "gullstall/src/mesh/gate_demand.hpp"

namespace gullstall::mesh {

namespace {

/// Runs per request below which a service is treated as not used by the route.
constexpr double min_runs_per_request = 0.1;

/// Runs per request from which on every request is taken to need the service. Smaller
/// values come from traffic splits or from calls that only some runs make.
constexpr double always_needed_runs = 0.95;

/// Runs per request that count as none.
constexpr double negligible_runs = 1e-6;

/// What one request needs of each service.
struct request_needs
{
    service_runs runs;
    service_runs slot_us;  ///< at the services whose costs are known
};

/// \returns the cost of a run, 0 if unknown
double cost_of_run(const admission_plan &it, const std::string &service, const std::string &route)
{
    auto known = it.costs.find(service);
    if (known == it.costs.end()) {
        return 0;
    }
    auto cost = known->second.find(route);
    return cost == known->second.end() ? 0 : cost->second;
}

/// Services of a policy, and the columns of route_values that hold their runs and slot times.
struct service_columns
{
    std::map<std::string, std::size_t> index;
    bool has_costs = false;  ///< without costs there are no columns of slot times

    std::size_t count() const
    {
        return has_costs ? 2 * index.size() : index.size();
    }
    std::size_t runs(const std::string &service) const
    {
        return index.at(service);
    }
    std::size_t slot_us(const std::string &service) const
    {
        return index.size() + index.at(service);
    }
};

service_columns columns_of(const traffic_policy &policy, bool has_costs)
{
    service_columns out{{}, has_costs};
    for (const traffic_route &route : policy.routes) {
        for (const weighted_service &part : route.services) {
            out.index.emplace(part.service, out.index.size());
        }
    }
    return out;
}

/// \returns what a run of the route needs without its calls
std::vector<double> own_needs(const admission_plan &it, const traffic_route &route,
                              const service_columns &columns)
{
    std::vector<double> out(columns.count());
    double total = 0;
    for (const weighted_service &part : route.services) {
        total += part.weight;
    }
    for (const weighted_service &part : route.services) {
        double runs = total > 0 ? part.weight / total : 0;
        out[columns.runs(part.service)] += runs;
        if (columns.has_costs) {
            out[columns.slot_us(part.service)] += runs * cost_of_run(it, part.service, route.name);
        }
    }
    return out;
}

/// \returns the needs of a request of each route, by index of the route
std::vector<request_needs> needs_of_routes(const admission_plan &it, const traffic_policy &policy)
{
    service_columns columns = columns_of(policy, !it.costs.empty());
    route_values own;
    for (const traffic_route &route : policy.routes) {
        own.push_back(own_needs(it, route, columns));
    }
    route_values sums = sum_over_calls(make_call_graph(policy, it.calls), std::move(own));
    std::vector<request_needs> out(sums.size());
    for (std::size_t i = 0; i < sums.size(); ++i) {
        for (const auto &[service, column] : columns.index) {
            double runs = sums[i][columns.runs(service)];
            double slot_us = columns.has_costs ? sums[i][columns.slot_us(service)] : 0;
            if (runs > negligible_runs) {
                out[i].runs.emplace(service, runs);
            }
            if (slot_us > 0) {
                out[i].slot_us.emplace(service, slot_us);
            }
        }
    }
    return out;
}

/// Routes that are called by runs. They get no weight of their own: their calls are
/// admitted together with the request that the run belongs to.
std::set<std::string> nested_routes(const admission_plan &it)
{
    std::set<std::string> out;
    for (const auto &[route, calls] : it.calls) {
        for (const auto &[child, n] : calls) {
            if (n >= min_runs_per_request) {
                out.insert(child);
            }
        }
    }
    return out;
}

/// Chance that none of a request's calls is shed below which requests are refused. A
/// chain of ten calls over upstreams that shed half of them succeeds once in a thousand
/// attempts, and all work of the failed attempts is wasted.
constexpr double min_success_chance = 0.25;

/// Share of such requests that is admitted anyway, to detect when the shedding ends.
constexpr double probe_share = 0.05;

/// Minimum weight of a class: at the unlimited level all of its requests are admitted,
/// however many more urgent classes there are.
constexpr double min_weight = 1 / unlimited_level;

struct route_usage
{
    std::string root;  ///< traffic class
    std::uint32_t customer_priority;
    std::uint32_t route_priority;
    double need;     ///< runs per request
    double slot_us;  ///< slot time per request, 0 if unknown
};

/// Computes the weights of the routes of one customer class that use one service. A route
/// that needs less of it than \a usual_need gets a higher weight than its class alone gives,
/// because refusing its requests frees little capacity; one that needs more, a lower one. No
/// weight exceeds that of a route of a more urgent class.
void add_class_weights(const std::vector<route_usage> &users, double usual_need, double highest,
                       const mesh_features &on, std::map<std::string, double> &out)
{
    double step = highest;
    double bound = highest;       // upper bound for the current class
    double next_bound = highest;  // upper bound for the next class
    for (std::size_t i = 0; i < users.size(); ++i) {
        if (i > 0 && users[i].route_priority != users[i - 1].route_priority) {
            step *= class_weight_ratio;
            bound = next_bound;
        }
        double factor = on.needs_in_weights ? usual_need / users[i].need : 1;
        double weight = std::max(min_weight, std::min(bound, step * factor));
        next_bound = std::min(next_bound, weight);
        out[users[i].root] = weight;
    }
}

double most_needed(const std::vector<route_usage> &all)
{
    double out = 0;
    for (const route_usage &user : all) {
        out = std::max(out, user.need);
    }
    return out;
}

/// \returns the highest need of the requests of the most urgent routes
double most_needed_by_urgent(const std::vector<route_usage> &all)
{
    auto is_more_urgent = [](const route_usage &a, const route_usage &b) {
        return a.route_priority < b.route_priority;
    };
    auto urgent = std::min_element(all.begin(), all.end(), is_more_urgent);
    double out = 0;
    for (const route_usage &user : all) {
        bool is_urgent = user.route_priority == urgent->route_priority;
        out = is_urgent ? std::max(out, user.need) : out;
    }
    return out;
}

/// Computes the weights of the routes that use one service. The requests of a customer class
/// are ranked by the priorities of their routes. No weight is below the highest one of a less
/// urgent customer class.
/// \param usual_need see add_class_weights
std::map<std::string, double> route_weights(const std::vector<route_usage> &all, double usual_need,
                                            const mesh_features &on)
{
    std::map<std::uint32_t, std::vector<route_usage>> by_customer;
    for (const route_usage &user : all) {
        by_customer[user.customer_priority].push_back(user);
    }
    std::map<std::string, double> out;
    double highest = 1;
    for (auto &[priority, users] : by_customer) {
        std::stable_sort(users.begin(), users.end(),
                         [](const route_usage &a, const route_usage &b) {
                             return a.route_priority < b.route_priority;
                         });
        for (auto &[root, weight] : out) {
            weight = std::max(weight, highest);
        }
        add_class_weights(users, usual_need, highest, on, out);
        highest *= class_weight_ratio;
    }
    return out;
}

/// Adds the classes of requests of a route to the users of each service.
void add_users(const traffic_policy &policy, const traffic_route &route, const request_needs &needs,
               std::map<std::string, std::vector<route_usage>> &users)
{
    for (const auto &[service, runs] : needs.runs) {
        if (runs < min_runs_per_request) {
            continue;
        }
        auto slot_us = needs.slot_us.find(service);
        double known_us = slot_us == needs.slot_us.end() ? 0 : slot_us->second;
        for (std::uint32_t priority : priorities_of(policy, route)) {
            std::uint32_t customer_priority = has_customers(policy) ? priority : 0;
            users[service].push_back(route_usage{traffic_class(route, priority), customer_priority,
                                                 route.priority, runs, known_us});
        }
    }
}

/// Replaces the runs per request by slot times.
/// \returns false if some slot time is unknown; nothing is replaced then
bool use_slot_times(std::vector<route_usage> &users)
{
    bool is_known = std::all_of(users.begin(), users.end(),
                                [](const route_usage &user) { return user.slot_us > 0; });
    for (route_usage &user : users) {
        user.need = is_known ? user.slot_us : user.need;
    }
    return is_known;
}

}  // namespace

void update_admission_plan(admission_plan &it, const traffic_policy &policy,
                           const mesh_features &on)
{
    it.runs_per_request.clear();
    it.weights.clear();
    it.counted_by_cost =
        on.run_costs ? services_counted_by_cost(policy, it.cost_spread) : std::set<std::string>{};
    std::set<std::string> called = nested_routes(it);
    std::map<std::string, std::vector<route_usage>> users;
    std::vector<request_needs> needs = needs_of_routes(it, policy);
    for (std::size_t i = 0; i < needs.size(); ++i) {
        const traffic_route &route = policy.routes[i];
        if (called.count(route.name) == 0) {
            add_users(policy, route, needs[i], users);
        }
        it.runs_per_request[route.name] = std::move(needs[i].runs);
    }
    for (auto &[service, all] : users) {
        bool has_costs = it.counted_by_cost.count(service) > 0 && use_slot_times(all);
        double usual_need = has_costs ? most_needed_by_urgent(all) : most_needed(all);
        it.weights[service] = route_weights(all, usual_need, on);
    }
}

bool update_costs(admission_plan &it, const std::map<std::string, service_state> &states)
{
    bool changed = false;
    for (const std::string &service : it.counted_by_cost) {
        auto state = states.find(service);
        bool are_told = state != states.end() && !state->second.costs.empty();
        if (are_told && have_costs_changed(it.costs[service], state->second.costs)) {
            it.costs[service] = state->second.costs;
            changed = true;
        }
    }
    return changed;
}

double admission_level_for(const weighted_demand &demand, double capacity)
{
    auto admitted_demand_at = [&](double level) {
        double out = 0;
        for (const auto &[weight, per_s] : demand) {
            out += per_s * std::min(1.0, level * weight);
        }
        return out;
    };
    if (admitted_demand_at(unlimited_level) <= capacity) {
        return unlimited_level;
    }
    constexpr int halvings = 20;  // bisection to a millionth of the unlimited level
    double low = 0;
    double high = unlimited_level;
    for (int i = 0; i < halvings; ++i) {
        double mid = (low + high) / 2;
        (admitted_demand_at(mid) > capacity ? high : low) = mid;
    }
    return low;
}

bool needs_unavailable_service(const admission_plan &it, const std::string &route,
                               const std::map<std::string, service_state> &states)
{
    auto needs = it.runs_per_request.find(route);
    if (needs == it.runs_per_request.end()) {
        return false;
    }
    return std::any_of(needs->second.begin(), needs->second.end(), [&](const auto &entry) {
        return entry.second >= always_needed_runs && states.count(entry.first) == 0;
    });
}

admitted_shares admitted_shares_for(const admission_plan &it, const std::string &route,
                                    const std::string &root,
                                    const std::map<std::string, service_state> &states,
                                    const mesh_features &on)
{
    admitted_shares out;
    auto needs = it.runs_per_request.find(route);
    if (needs == it.runs_per_request.end()) {
        return out;
    }
    double chance = 1;  // probability that no call of the chain is shed
    for (const auto &[service, runs] : needs->second) {
        auto state = states.find(service);
        auto weights = it.weights.find(service);
        if (state == states.end() || weights == it.weights.end()) {
            continue;
        }
        chance *= std::pow(1 - state->second.shed_share, runs);
        auto weight = weights->second.find(root);
        if (on.admission && weight != weights->second.end()) {
            bool is_urgent = on.urgent_share && weight->second >= 1;
            double min_share = is_urgent ? state->second.min_urgent_share : 0;
            out.by_capacity =
                std::min(out.by_capacity,
                         std::max(min_share, state->second.admission_level * weight->second));
        }
    }
    out.by_capacity = std::clamp(out.by_capacity, min_admitted_share, 1.0);
    if (on.shed_chance) {
        out.by_success_chance = std::clamp(chance / min_success_chance, probe_share, 1.0);
    }
    return out;
}

double admitted_share(const admitted_shares &it)
{
    return std::min(it.by_capacity, it.by_success_chance);
}

}  // namespace gullstall::mesh
