#ifndef GULLSTALL_RETRY_BUDGET_HPP
#define GULLSTALL_RETRY_BUDGET_HPP

#include <cstdint>

namespace gullstall {

/// Bounds re-sends to one upstream service to a share of its calls, so that an
/// outage does not double the load on what is left of it.
struct retry_budget
{
    double tokens = 0;
};

/// Notes a first send; it earns \a percent of a re-send.
void earn_retry(retry_budget &it, std::uint32_t percent);

/// Pays for one re-send.
/// \returns false when the budget is used up
bool spend_budget(retry_budget &it);

}  // namespace gullstall

#endif
