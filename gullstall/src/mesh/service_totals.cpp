#include "gullstall/src/mesh/service_totals.hpp"

#include <algorithm>

namespace gullstall::mesh {

namespace {

/// Sums over the usable upstreams of a service.
struct service_sums
{
    double accepting_slots = 0;  ///< slots, less the shed share
    double shed = 0;             ///< shed share, weighted by these slots
    double capacity = 0;
    double full = 0;                ///< capacity beside the most urgent calls that wait
    bool is_capacity_known = true;  ///< all upstreams have reported their capacity
    weighted_demand demand;
};

/// \param speed of the upstream: slot times on a fast one are worth more
void add_status(service_sums &it, const mesh_wire::node_status_message &status, double speed)
{
    constexpr double milli = 1000;
    double shed = std::min(1.0, status.shed_milli / milli);
    double accepting = status.slots * (1 - shed);
    it.accepting_slots += accepting;
    it.shed += accepting * shed;
    it.capacity += speed * status.capacity_per_s;
    it.full += speed * status.full_per_s;
    bool is_known = status.capacity_per_s > 0 || is_limited(status);
    it.is_capacity_known = it.is_capacity_known && is_known;
    for (const mesh_wire::demand_part &part : status.demand) {
        it.demand[part.weight_milli() / milli] += speed * part.runs_per_s();
    }
}

/// \returns the share of the most urgent class's demand that fits the capacity if no other
/// class is admitted
double urgent_share(const service_sums &it)
{
    double urgent = 0;
    for (const auto &[weight, per_s] : it.demand) {
        urgent += weight >= 1 ? per_s : 0;
    }
    return urgent > it.full ? it.full / urgent : 1;
}

}  // namespace

service_zones zones_by_service(const directory &it, time_point now)
{
    service_zones out;
    for (const auto &[name, view] : it.nodes) {
        if (is_usable(view, view.status.service, now)) {
            out[view.status.service].insert(view.address.zone);
        }
    }
    return out;
}

std::map<std::string, service_state> compute_service_states(const directory &it, time_point now)
{
    std::map<std::string, route_costs> costs = costs_by_service(it, now);
    std::map<std::string, service_sums> sums;
    for (const auto &[name, view] : it.nodes) {
        if (is_usable(view, view.status.service, now)) {
            auto known = costs.find(view.status.service);
            double speed = known == costs.end() ? 1 : upstream_speed(view.status, known->second);
            add_status(sums[view.status.service], view.status, speed);
        }
    }
    std::map<std::string, service_state> out;
    for (const auto &[service, sum] : sums) {
        service_state &state = out[service];
        state.admission_level =
            sum.is_capacity_known ? admission_level_for(sum.demand, sum.capacity) : unlimited_level;
        state.min_urgent_share = urgent_share(sum);
        state.shed_share = sum.accepting_slots > 0 ? sum.shed / sum.accepting_slots : 1;
        state.costs = costs[service];
    }
    return out;
}

double service_load(const directory &it, const std::string &service, time_point now)
{
    double used = 0;
    double slots = 0;
    for (const auto &[name, view] : it.nodes) {
        if (is_usable(view, service, now)) {
            used += view.status.running + view.status.waiting;
            slots += view.status.slots;
        }
    }
    return slots > 0 ? used / slots : 0;
}

}  // namespace gullstall::mesh
