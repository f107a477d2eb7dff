#include "gullstall/src/retry/allowance.hpp"

#include <algorithm>

namespace gullstall {

std::uint32_t take_share(allowance &it)
{
    std::uint32_t share = (it.left + 1) / 2;
    it.left -= share;
    return share;
}

void return_share(allowance &it, std::uint32_t share, std::uint32_t unspent)
{
    it.left += std::min(share, unspent);
}

bool spend_retry(allowance &it)
{
    if (it.left == 0) {
        return false;
    }
    --it.left;
    return true;
}

}  // namespace gullstall
