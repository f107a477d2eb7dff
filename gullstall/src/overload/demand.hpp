#ifndef GULLSTALL_OVERLOAD_DEMAND_HPP
#define GULLSTALL_OVERLOAD_DEMAND_HPP

#include <array>
#include <optional>

#include "gullstall/src/overload/priority.hpp"

namespace gullstall {

/// Estimates the demand for a service by class, in requests per window. Entry
/// nodes refuse requests that the service is expected to refuse, so the service
/// receives a class only up to some rank. Ranks are hash values and uniformly
/// distributed: twice the mean rank of the arrivals estimates that rank, and the
/// arrivals are extrapolated from it to the whole class.
struct demand_estimate
{
    struct class_demand
    {
        double arrivals = 0;  ///< in the current window
        double rank_sum = 0;
        double mean_arrivals = 0;  ///< moving average of arrivals per window
        double mean_rank_sum = 0;  ///< moving average of rank_sum
        double total = 0;  ///< estimated requests per window without refusals by entry nodes
    };
    std::array<class_demand, class_count> classes{};
};

/// Records the arrival of a request, admitted or not.
void record_demand(demand_estimate &demand, priority of_request);

/// Ends a window during which the service was at \a level.
void end_window(demand_estimate &demand, admission_level level);

/// \returns the level that admits about \a target requests per window, none when
/// the demand is not larger
std::optional<admission_level> level_admitting(const demand_estimate &demand, double target);

/// \returns the lowest level that admits all classes with demand
admission_level level_covering_demand(const demand_estimate &demand);

}  // namespace gullstall

#endif
