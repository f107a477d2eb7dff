#ifndef GULLSTALL_MESH_CALL_CHAIN_HPP
#define GULLSTALL_MESH_CALL_CHAIN_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "gullstall/core.hpp"

namespace gullstall::mesh {

/// Mean number of calls made by one run of a route, by the route of the calls.
using calls_per_run = std::map<std::string, double>;

/// Bounds on what is kept of calls, whoever has told it: calls of a route, the rarest ones are left
/// out, and routes.
inline constexpr std::size_t max_calls_per_route = 64;
inline constexpr std::size_t max_known_chains = 4096;

/// Calls of runs, by the route of the runs; at most max_known_chains.
using known_chains = std::map<std::string, calls_per_run>;

/// Leaves the most frequent calls.
void keep_most_frequent(calls_per_run &it);

/// \returns the calls of \a route, which is added if there is room; otherwise null
calls_per_run *find_or_add_chain(known_chains &it, const std::string &route);

/// Associates calls made by local runs with these runs, and learns how many calls the runs
/// of each route make. Calls carry no reference to their run, but upstreams derive the
/// request ids of their calls from the id of the run. A call whose id does not match is
/// treated as a caller's request: it is subject to admission control, which is safe but
/// wastes the work of the calling run if it is refused.
struct call_chain
{
    /// A run in progress and the calls that it has made so far.
    struct open_run
    {
        run_ref run{};
        std::string route;
        calls_per_run calls;
    };

    /// Calls observed in the runs of a route.
    struct observed
    {
        double runs = 0;
        std::map<std::string, double> calls;  ///< by route
    };

    std::map<std::string, open_run> open_runs;          ///< by request id
    std::map<std::string, observed> observed_by_route;  ///< by route of the runs
};

/// Records the start of a run.
void record_run_start(call_chain &it, run_ref run, const std::string &request_id,
                      const std::string &route);

/// Records the end of a run. Only successful runs are counted: a failed one may have
/// stopped at its first failing call, which would make the chain look too short just when
/// one of its services is unavailable.
void record_run_end(call_chain &it, run_ref run, const std::string &request_id, bool ended_well);

/// \returns the local run that made the request with this id, if any
std::optional<run_ref> find_parent(const call_chain &it, const std::string &request_id);

/// Records a call of \a route made by the run of the request \a parent_id.
void record_call(call_chain &it, const std::string &parent_id, const std::string &route);

/// \returns the mean calls of a run of \a route, if enough runs were observed
std::optional<calls_per_run> learned_calls(const call_chain &it, const std::string &route);

}  // namespace gullstall::mesh

#endif
