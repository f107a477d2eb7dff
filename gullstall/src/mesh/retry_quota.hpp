#ifndef GULLSTALL_MESH_RETRY_QUOTA_HPP
#define GULLSTALL_MESH_RETRY_QUOTA_HPP

#include <deque>

#include "gullstall/core.hpp"

namespace gullstall::mesh {

/// Retries granted by the node of one upstream within a sliding window.
struct retry_quota
{
    std::deque<time_point> requests;  ///< callers' requests dispatched in the window
    std::deque<time_point> urgent;    ///< grants to the most urgent class in the window
    std::deque<time_point> others;    ///< grants to other classes in the window
};

/// Limit on the grants of one window.
struct retry_quota_limit
{
    double ratio = 0;  ///< grants per request
    double slack = 0;  ///< grants in addition
    duration window = seconds(10);

    bool operator==(const retry_quota_limit &) const = default;
};

/// Records a caller's request.
void record_request(retry_quota &it, duration window, time_point now);

/// Grants a retry if the limit allows it. A part of the limit is kept for the most urgent
/// class, whose requests can't be sent again by their callers.
/// \returns whether it was granted
bool grant(retry_quota &it, const retry_quota_limit &limit, bool is_urgent, time_point now);

/// Takes back the last grant of the class.
void take_back_grant(retry_quota &it, bool is_urgent);

}  // namespace gullstall::mesh

#endif
