#include "gullstall/src/mesh/gate_demand.hpp"

#include <algorithm>

namespace gullstall::mesh {

namespace {

/// Length of a measurement window. A busy upstream gets some tens of calls in it.
constexpr duration window = milliseconds(100);

/// Weight of one window in the moving average, which covers about the last 0.4 s. A
/// larger weight makes the average follow the noise of single arrivals; a smaller one
/// lets a burst fill the queues before it is detected.
constexpr double window_weight = 0.25;

/// Demand in calls per second below which a route is removed.
constexpr double min_demand_per_s = 0.05;

/// Time in which the queue is to be drained. The capacity counts all slots, and only
/// the queue reduces it, because planning with fewer slots would leave some idle. A longer
/// time keeps calls of long chains waiting, whose runs occupy slots of other upstreams
/// meanwhile.
constexpr double drain_time_s = 0.5;

/// Minimum fraction of the capacity that is reported, however long the queue is.
constexpr double min_capacity_fraction = 0.25;

/// Share of shed calls above which the capacity is not scaled up any further.
constexpr double max_shed_share = 0.9;

constexpr double milli = 1000;
constexpr std::uint16_t never_refused = 65535;

std::uint16_t weight_milli(const std::map<std::string, double> &weights, const std::string &root)
{
    auto found = weights.find(root);
    return found == weights.end() ? never_refused
                                  : static_cast<std::uint16_t>(found->second * milli);
}

/// \returns the calls per second that are left of \a full while the queue is drained
double rate_beside_queue(double full, std::size_t waiting)
{
    double after_drain = full - static_cast<double>(waiting) / drain_time_s;
    return std::max(after_drain, full * min_capacity_fraction);
}

}  // namespace

void record_arrival(gate_demand &it, const std::string &root, double share, double load)
{
    it.by_root[root].in_window += load / std::max(share, min_admitted_share);
}

bool update_gate_demand(gate_demand &it, time_point now)
{
    if (now < it.window_end) {
        return false;
    }
    double windows_per_s = 1 / std::chrono::duration<double>(window).count();
    for (auto &[root, demand] : it.by_root) {
        demand.per_s += window_weight * (demand.in_window * windows_per_s - demand.per_s);
        demand.in_window = 0;
    }
    std::erase_if(it.by_root,
                  [](const auto &entry) { return entry.second.per_s < min_demand_per_s; });
    it.window_end = now + window;
    return true;
}

std::vector<mesh_wire::demand_part> demand_by_weight(const gate_demand &it,
                                                     const std::map<std::string, double> &weights)
{
    std::map<std::uint16_t, double> sums;
    for (const auto &[root, demand] : it.by_root) {
        sums[weight_milli(weights, root)] += demand.per_s;
    }
    std::vector<mesh_wire::demand_part> out;
    out.reserve(sums.size());
    for (const auto &[weight, per_s] : sums) {
        out.emplace_back(weight, static_cast<std::uint32_t>(per_s));
    }
    return out;
}

gate_capacity capacity_of(const run_gate &it, std::size_t urgent_waiting)
{
    if (it.mean_run_us <= 0) {
        double limit = it.rate.per_s.value_or(0);
        return gate_capacity{limit, limit};
    }
    constexpr double us_per_s = 1e6;
    double full = it.slots * us_per_s / it.mean_run_us;
    // Calls that the upstream sheds occupy no slot.
    double attempts_per_run = 1 / (1 - std::min(it.shed_share, max_shed_share));
    gate_capacity out{rate_beside_queue(full, it.waiting.size()) * attempts_per_run,
                      rate_beside_queue(full, urgent_waiting) * attempts_per_run};
    if (it.rate.per_s) {
        double limit = *it.rate.per_s;
        out.available_per_s =
            std::min(out.available_per_s, rate_beside_queue(limit, it.waiting.size()));
        out.urgent_per_s = std::min(out.urgent_per_s, rate_beside_queue(limit, urgent_waiting));
    }
    return out;
}

}  // namespace gullstall::mesh
