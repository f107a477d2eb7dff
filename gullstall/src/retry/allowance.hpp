#ifndef GULLSTALL_RETRY_ALLOWANCE_HPP
#define GULLSTALL_RETRY_ALLOWANCE_HPP

#include <compare>
#include <cstdint>

namespace gullstall {

/// Remaining retry allowance of a request at one node. It is divided among the
/// calls made for the request and never copied, so that the total number of
/// retries in a call tree of any depth stays within the allowance assigned by the
/// entry node.
struct allowance
{
    std::uint32_t left;

    auto operator<=>(const allowance &) const = default;
};

/// Takes the share for one call out of \a retries: half, rounded up, so that the last
/// retry is passed on to the deeper hop that may need it. If the share is returned
/// unspent, the caller can use it for its own retry.
std::uint32_t take_share(allowance &retries);

/// Returns the \a unspent part of a \a share. It is limited to the share, so that a
/// reply cannot increase the allowance.
void return_share(allowance &retries, std::uint32_t share, std::uint32_t unspent);

/// Takes one retry out of the allowance.
/// \returns false when the allowance is used up
bool take_retry(allowance &retries);

}  // namespace gullstall

#endif
