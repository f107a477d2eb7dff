#include "gullstall/src/overload/demand.hpp"

#include <algorithm>

namespace gullstall {

namespace {

/// Weight of the latest window.
constexpr double window_weight = 0.3;

/// Share of its estimate that a class keeps for each window in which it was
/// held back entirely: the level climbs into it again and learns it anew.
constexpr double unseen_share = 0.97;

/// Fewer arrivals a window than this tell nothing of their ranks.
constexpr double few_arrivals = 0.05;

constexpr double highest_rank = ranks_per_class;

}  // namespace

void note_demand(demand_estimate &it, priority of_request)
{
    demand_estimate::class_demand &of_class = it.classes[of_request.value / ranks_per_class];
    of_class.arrivals += 1;
    of_class.rank_sum += of_request.value % ranks_per_class + 0.5;
}

void end_window(demand_estimate &it, admission_level level)
{
    for (std::uint16_t i = 0; i < class_count; ++i) {
        demand_estimate::class_demand &of_class = it.classes[i];
        bool held_back = level.highest < i * ranks_per_class && of_class.arrivals == 0;
        of_class.seen += window_weight * (of_class.arrivals - of_class.seen);
        of_class.seen_rank += window_weight * (of_class.rank_sum - of_class.seen_rank);
        of_class.arrivals = 0;
        of_class.rank_sum = 0;
        if (held_back) {
            of_class.whole *= unseen_share;
            continue;
        }
        if (of_class.seen < few_arrivals) {
            of_class.whole = of_class.seen;
            continue;
        }
        double seen_up_to = std::min(highest_rank, 2 * of_class.seen_rank / of_class.seen);
        of_class.whole = of_class.seen * highest_rank / std::max(1.0, seen_up_to);
    }
}

std::optional<admission_level> level_for(const demand_estimate &it, double target)
{
    for (std::uint16_t i = 0; i < class_count; ++i) {
        double whole = it.classes[i].whole;
        if (target >= whole) {
            target -= whole;
            continue;
        }
        double ranks = std::max(0.0, target) / whole * ranks_per_class;
        double level = i * ranks_per_class + ranks - 1;  // the level itself is admitted
        return admission_level{static_cast<std::uint16_t>(std::max(0.0, level))};
    }
    return std::nullopt;
}

admission_level end_of_demand(const demand_estimate &it)
{
    std::uint16_t end = class_count;
    while (end > 1 && it.classes[end - 1].whole < few_arrivals) {
        --end;
    }
    return admission_level{static_cast<std::uint16_t>(end * ranks_per_class - 1)};
}

}  // namespace gullstall
