#ifndef GULLSTALL_MESH_CRASH_WATCH_HPP
#define GULLSTALL_MESH_CRASH_WATCH_HPP

#include <string>
#include <unordered_map>
#include <vector>

#include "gullstall/src/core/time.hpp"
#include "gullstall/suspects.hpp"

namespace gullstall::mesh {

/// What a connection attempt says about the process of the local upstream.
enum class upstream_probe
{
    accepted,  ///< it exists
    refused,   ///< nothing listens: the process has ended
    unknown    ///< no answer in time
};

/// Tells crashes of the local upstream from lost connections and lost answers. A crash
/// breaks the connections of all runs at once, and then nothing listens; or, if the
/// upstream restarts faster than that is seen, a successor announces itself.
struct crash_watch
{
    struct lost_run
    {
        request_signature signature{};
        time_point at{};
    };
    std::vector<lost_run> lost;  ///< runs whose connection broke for a reason not known yet
    bool probing = false;
    std::string crashed_upstream;  ///< incarnation whose crash was last reported
    /// When runs of a request last ended with a response, by its signature.
    std::unordered_map<request_signature, time_point> completed;
    time_point service_weak_at{};  ///< when most upstreams of the service were last seen missing
};

}  // namespace gullstall::mesh

#endif
