#include "gullstall/src/retry/budget.hpp"

#include <algorithm>

namespace gullstall {

namespace {

/// Re-sends that can be saved up; it lets a quiet service retry at once.
constexpr double max_tokens = 20;
constexpr double percent_scale = 100;

}  // namespace

void earn_retry(retry_budget &it, std::uint32_t percent)
{
    it.tokens = std::min(max_tokens, it.tokens + percent / percent_scale);
}

bool spend_budget(retry_budget &it)
{
    if (it.tokens < 1) {
        return false;
    }
    it.tokens -= 1;
    return true;
}

}  // namespace gullstall
