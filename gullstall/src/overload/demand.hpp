#ifndef GULLSTALL_OVERLOAD_DEMAND_HPP
#define GULLSTALL_OVERLOAD_DEMAND_HPP

#include <array>
#include <optional>

#include "gullstall/src/overload/priority.hpp"

namespace gullstall {

/// Estimate of the requests a window that ask for a service, by class. Callers'
/// nodes hold back what they think the service refuses, so that a service sees
/// a class only up to some rank. Ranks are hashes and so evenly spread: twice
/// their mean tells how far the class was seen, and with it the whole class.
struct demand_estimate
{
    struct class_demand
    {
        double arrivals = 0;  ///< of this window
        double rank_sum = 0;
        double seen = 0;       ///< moving average of arrivals a window
        double seen_rank = 0;  ///< moving average of rank_sum
        double whole = 0;      ///< requests a window if nothing were held back
    };
    std::array<class_demand, class_count> classes{};
};

/// Notes the arrival of a request, admitted or not.
void note_demand(demand_estimate &it, priority of_request);

/// Ends a window during which the service was at \a level.
void end_window(demand_estimate &it, admission_level level);

/// \returns the level at which about \a target requests a window pass, none when
/// there are fewer
std::optional<admission_level> level_for(const demand_estimate &it, double target);

/// \returns the end of the least important class that is asked for
admission_level end_of_demand(const demand_estimate &it);

}  // namespace gullstall

#endif
