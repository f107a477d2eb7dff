#ifndef GULLSTALL_RETRY_BUDGET_HPP
#define GULLSTALL_RETRY_BUDGET_HPP

#include <cstdint>

namespace gullstall {

/// Token bucket that limits retries to one upstream service to a percentage of its
/// calls. During a partial outage, retries thus cannot double the load on the
/// remaining instances.
struct retry_budget
{
    double tokens = 0;
};

/// Adds \a percent of a token for the first attempt of a call.
void add_retry_tokens(retry_budget &budget, std::uint32_t percent);

/// Takes one token for a retry.
/// \returns false when the budget is used up
bool take_retry_token(retry_budget &budget);

}  // namespace gullstall

#endif
