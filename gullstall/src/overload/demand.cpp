#include "gullstall/src/overload/demand.hpp"

#include <algorithm>

namespace gullstall {

namespace {

/// Weight of the latest window in the moving averages.
constexpr double smoothing_factor = 0.3;

/// Decay per window of the estimate of a class of which no request arrives
/// because entry nodes refuse all of them. The decay lets the level rise into
/// the class again, so that it is measured anew.
constexpr double unobserved_decay = 0.97;

/// With fewer arrivals per window the mean rank is not usable.
constexpr double min_arrivals = 0.05;

constexpr double rank_range = ranks_per_class;

}  // namespace

void record_demand(demand_estimate &demand, priority of_request)
{
    demand_estimate::class_demand &estimate = demand.classes[of_request.value / ranks_per_class];
    estimate.arrivals += 1;
    estimate.rank_sum += of_request.value % ranks_per_class + 0.5;
}

void end_window(demand_estimate &demand, admission_level level)
{
    for (std::uint16_t i = 0; i < class_count; ++i) {
        demand_estimate::class_demand &estimate = demand.classes[i];
        bool unobserved = level.highest < i * ranks_per_class && estimate.arrivals == 0;
        estimate.mean_arrivals += smoothing_factor * (estimate.arrivals - estimate.mean_arrivals);
        estimate.mean_rank_sum += smoothing_factor * (estimate.rank_sum - estimate.mean_rank_sum);
        estimate.arrivals = 0;
        estimate.rank_sum = 0;
        if (unobserved) {
            estimate.total *= unobserved_decay;
            continue;
        }
        if (estimate.mean_arrivals < min_arrivals) {
            estimate.total = estimate.mean_arrivals;
            continue;
        }
        double observed_ranks =
            std::min(rank_range, 2 * estimate.mean_rank_sum / estimate.mean_arrivals);
        estimate.total = estimate.mean_arrivals * rank_range / std::max(1.0, observed_ranks);
    }
}

std::optional<admission_level> level_admitting(const demand_estimate &demand, double target)
{
    for (std::uint16_t i = 0; i < class_count; ++i) {
        double total = demand.classes[i].total;
        if (target >= total) {
            target -= total;
            continue;
        }
        double ranks = std::max(0.0, target) / total * ranks_per_class;
        double level = i * ranks_per_class + ranks - 1;  // the level itself is admitted
        return admission_level{static_cast<std::uint16_t>(std::max(0.0, level))};
    }
    return std::nullopt;
}

admission_level level_covering_demand(const demand_estimate &demand)
{
    std::uint16_t end = class_count;
    while (end > 1 && demand.classes[end - 1].total < min_arrivals) {
        --end;
    }
    return admission_level{static_cast<std::uint16_t>(end * ranks_per_class - 1)};
}

}  // namespace gullstall
