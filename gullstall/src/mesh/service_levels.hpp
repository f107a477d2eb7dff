#ifndef GULLSTALL_MESH_SERVICE_LEVELS_HPP
#define GULLSTALL_MESH_SERVICE_LEVELS_HPP

#include <map>
#include <set>
#include <string>

#include "gullstall/policy.hpp"
#include "gullstall/src/mesh/call_chain.hpp"
#include "gullstall/src/mesh/service_costs.hpp"
#include "gullstall/src/mesh/switches.hpp"

namespace gullstall::mesh {

/// Number of runs that one request of a route causes, by service: its own run and
/// all nested calls.
using service_runs = std::map<std::string, double>;

/// Admission level at which no request is refused. It exceeds the inverse of the weight
/// of the least urgent of three classes (see class_weight_ratio).
constexpr double unlimited_level = 6;

/// State of a service, aggregated over the status messages of its nodes.
struct service_state
{
    /// Admission level: at level 1 all requests of the most urgent class are admitted,
    /// and requests of the other routes in proportion to their weights.
    double admission_level = unlimited_level;
    /// Minimum admitted share of the most urgent class: the share that fits the capacity
    /// when no other class is admitted. Waiting calls of other classes are ignored here, since
    /// urgent ones overtake them.
    double min_urgent_share = 0;
    double shed_share = 0;  ///< share of the calls that the upstreams shed
    route_costs costs{};    ///< empty if all runs of the service count the same

    bool operator==(const service_state &) const = default;
};

/// Load that each route causes at each service, and the relative shares at which its
/// requests are admitted when a service is short of capacity.
struct admission_plan
{
    known_chains calls;                                    ///< learned calls per run, by route
    std::map<std::string, service_runs> runs_per_request;  ///< runs per request, by route
    double cost_spread = 0;                                ///< limits.cost_spread
    std::set<std::string> counted_by_cost;     ///< services, see services_counted_by_cost
    std::map<std::string, route_costs> costs;  ///< known costs of these services
    /// By service, then by traffic class: the share of the requests that is admitted at
    /// level 1.
    std::map<std::string, std::map<std::string, double>> weights;
};

/// Weight of a priority class relative to the next more urgent one. Strict priority
/// would starve the least urgent class for the whole duration of an overload.
constexpr double class_weight_ratio = 0.45;

/// Demand on a service in runs per second, by the weight of the requests' routes.
using weighted_demand = std::map<double, double>;

/// \param capacity of the service, in runs per second
/// \returns the admission level at which the admitted requests just use the capacity
double admission_level_for(const weighted_demand &demand, double capacity);

/// Computes needs and weights from the policy and the learned calls.
void update_admission_plan(admission_plan &it, const traffic_policy &policy,
                           const mesh_features &on = {});

/// Adopts the costs told by the upstreams. Where none are told, the known ones are kept.
/// \returns whether the weights are outdated
bool update_costs(admission_plan &it, const std::map<std::string, service_state> &states);

/// \param states of the services that have an upstream
/// \returns whether every request of \a route needs a service that has no upstream.
/// If admitted, such a request would fail at that call after all work before it was
/// done; if refused, the caller can safely retry.
bool needs_unavailable_service(const admission_plan &it, const std::string &route,
                               const std::map<std::string, service_state> &states);

/// Admitted shares of a route's requests, by limiting factor.
struct admitted_shares
{
    double by_capacity = 1;        ///< limit set by the capacity of the services
    double by_success_chance = 1;  ///< limit set by the chance that upstreams shed a nested call

    bool operator==(const admitted_shares &) const = default;
};

/// \param root traffic class of the requests
/// \param states by service; a service without an entry sets no limit
admitted_shares admitted_shares_for(const admission_plan &it, const std::string &route,
                                    const std::string &root,
                                    const std::map<std::string, service_state> &states,
                                    const mesh_features &on = {});

/// \returns the share that satisfies both limits
double admitted_share(const admitted_shares &it);

}  // namespace gullstall::mesh

#endif
