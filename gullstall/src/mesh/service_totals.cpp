#include "gullstall/src/mesh/service_totals.hpp"

#include <algorithm>

namespace gullstall::mesh {

namespace {

/// Sums over the upstreams of a service.
struct service_sums
{
    double taking = 0;  ///< slots, less the share that turns calls away
    double shed = 0;    ///< share turned away, weighed by these slots
    double capacity = 0;
    double full = 0;       ///< capacity when nothing waits
    bool is_known = true;  ///< all upstreams have told their capacity
    weighted_demand demand;
};

void add_node(service_sums &it, const mesh_wire::node_status_message &status)
{
    constexpr double milli = 1000;
    double shed = std::min(1.0, status.shed_milli / milli);
    double takes = status.slots * (1 - shed);
    it.taking += takes;
    it.shed += takes * shed;
    it.capacity += status.capacity_per_s;
    it.full += status.full_per_s;
    it.is_known = it.is_known && status.capacity_per_s > 0;
    for (const mesh_wire::demand_part &part : status.demand) {
        it.demand[part.weight_milli() / milli] += part.runs_per_s();
    }
}

/// \returns the share of the demand of the most urgent class that fits when nothing
/// else is let in
double urgent_share(const service_sums &it)
{
    double urgent = 0;
    for (const auto &[weight, per_s] : it.demand) {
        urgent += weight >= 1 ? per_s : 0;
    }
    return urgent > it.full ? it.full / urgent : 1;
}

}  // namespace

service_zones zones_of_services(const directory &it, time_point now)
{
    service_zones out;
    for (const auto &[name, view] : it.nodes) {
        if (is_usable(view, view.status.service, now)) {
            out[view.status.service].insert(view.address.zone);
        }
    }
    return out;
}

std::map<std::string, service_state> states_of_services(const directory &it, time_point now)
{
    std::map<std::string, service_sums> sums;
    for (const auto &[name, view] : it.nodes) {
        if (is_usable(view, view.status.service, now)) {
            add_node(sums[view.status.service], view.status);
        }
    }
    std::map<std::string, service_state> out;
    for (const auto &[service, sum] : sums) {
        service_state &state = out[service];
        state.level = sum.is_known ? level_for(sum.demand, sum.capacity) : open_level;
        state.urgent_share = urgent_share(sum);
        state.shed = sum.taking > 0 ? sum.shed / sum.taking : 1;
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
