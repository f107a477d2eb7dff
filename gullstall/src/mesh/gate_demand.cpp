#include "gullstall/src/mesh/gate_demand.hpp"

#include <algorithm>

namespace gullstall::mesh {

namespace {

/// Time between two moves of the averages: a busy upstream gets some tens of
/// calls in it.
constexpr duration window = milliseconds(100);

/// Weight of a window: about the last 0.4 s count. Less follows the chance of
/// single arrivals, more lets a burst fill the queues before it is seen.
constexpr double window_weight = 0.25;

/// A route whose demand has faded below this is forgotten, calls a second.
constexpr double least_demand = 0.05;

/// Time in which what waits is to be worked off. All slots are planned for, and the
/// queue alone says when that is too much: less than all would let slots idle. A longer
/// time keeps calls of long chains waiting, whose runs hold the slots above meanwhile.
constexpr double work_off_s = 0.5;

/// Part of the capacity that is told at least, however much waits.
constexpr double least_part = 0.25;

/// Share of shed calls beyond which capacity is not raised any more.
constexpr double most_shed = 0.9;

constexpr double milli = 1000;
constexpr std::uint16_t never_cut = 65535;

std::uint16_t weight_milli(const std::map<std::string, double> &weights, const std::string &root)
{
    auto found = weights.find(root);
    return found == weights.end() ? never_cut : static_cast<std::uint16_t>(found->second * milli);
}

}  // namespace

void note_arrival(gate_demand &it, const std::string &root, double share)
{
    it.by_root[root].in_window += 1 / std::max(share, least_share);
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
    std::erase_if(it.by_root, [](const auto &entry) { return entry.second.per_s < least_demand; });
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

gate_capacity capacity_of(const run_gate &it)
{
    if (it.run_us <= 0) {
        return gate_capacity{};
    }
    constexpr double us_per_s = 1e6;
    double full = it.slots * us_per_s / it.run_us;
    double free = full - static_cast<double>(it.waiting.size()) / work_off_s;
    // Calls that the upstream turns away take no slot.
    double tried = 1 / (1 - std::min(it.shed, most_shed));
    return gate_capacity{full * tried, std::max(free, full * least_part) * tried};
}

}  // namespace gullstall::mesh
