#include "gullstall/src/retry/budget.hpp"

#include <algorithm>

namespace gullstall {

namespace {

/// Capacity of the token bucket: lets calls to a service with little traffic be
/// retried at once.
constexpr double max_tokens = 20;
constexpr double percent_scale = 100;

}  // namespace

void add_retry_tokens(retry_budget &budget, std::uint32_t percent)
{
    budget.tokens = std::min(max_tokens, budget.tokens + percent / percent_scale);
}

bool take_retry_token(retry_budget &budget)
{
    if (budget.tokens < 1) {
        return false;
    }
    budget.tokens -= 1;
    return true;
}

}  // namespace gullstall
