#ifndef GULLSTALL_MESH_RETURN_TIME_HPP
#define GULLSTALL_MESH_RETURN_TIME_HPP

#include "gullstall/core.hpp"

namespace gullstall::mesh {

/// Input for the retry time that is sent with a refusal.
struct refusal
{
    duration time_left{};  ///< time until the caller's deadline
    /// Expected time until the cause of the refusal is gone: on a node that has just
    /// started, until every upstream has had time to announce itself; where upstreams shed
    /// calls, as late as possible. 0 or less if waiting longer does not help.
    duration expected_recovery{};

    bool operator==(const refusal &) const = default;
};

/// \returns the delay after which a refused caller should retry, with jitter so that
/// callers refused together do not retry together. During a lasting overload any time is
/// equally good, and an early retry can still be answered in time. After a power failure
/// no request can be served until the upstreams have announced themselves, and where
/// upstreams shed calls for seconds an early retry is refused again; both delay the
/// retry.
duration draw_retry_delay(const refusal &it, random_source &random);

/// \returns the upper bound of the delays that draw_retry_delay returns
duration max_retry_delay(const refusal &it);

}  // namespace gullstall::mesh

#endif
