#ifndef GULLSTALL_RETRY_ALLOWANCE_HPP
#define GULLSTALL_RETRY_ALLOWANCE_HPP

#include <compare>
#include <cstdint>

namespace gullstall {

/// What is left of a request's retry allowance at one node. It is divided
/// among calls and never copied, so the sum over the whole tree of calls stays
/// within what the entry stamped, however deep the tree is.
struct allowance
{
    std::uint32_t left;

    auto operator<=>(const allowance &) const = default;
};

/// Takes the share for one call out of \a it: half, rounded up, so that the last
/// re-send is not left with a hop high above the one that could use it. A share
/// that comes back unspent still pays for the sender's own re-send.
std::uint32_t take_share(allowance &it);

/// Puts back \a unspent of a \a share; a reply can never return more than the
/// share it was given.
void return_share(allowance &it, std::uint32_t share, std::uint32_t unspent);

/// Pays for one re-send.
/// \returns false when nothing is left
bool spend_retry(allowance &it);

}  // namespace gullstall

#endif
