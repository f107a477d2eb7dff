#include "gullstall/src/retry/allowance.hpp"

#include <algorithm>

namespace gullstall {

std::uint32_t take_share(allowance &retries)
{
    std::uint32_t share = (retries.left + 1) / 2;
    retries.left -= share;
    return share;
}

void return_share(allowance &retries, std::uint32_t share, std::uint32_t unspent)
{
    retries.left += std::min(share, unspent);
}

bool take_retry(allowance &retries)
{
    if (retries.left == 0) {
        return false;
    }
    --retries.left;
    return true;
}

}  // namespace gullstall
