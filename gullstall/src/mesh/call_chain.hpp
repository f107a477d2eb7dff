#ifndef GULLSTALL_MESH_CALL_CHAIN_HPP
#define GULLSTALL_MESH_CALL_CHAIN_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "gullstall/core.hpp"

namespace gullstall::mesh {

/// Calls that one run of a route makes, by the route of the calls.
using calls_per_run = std::map<std::string, double>;

/// Which requests that enter here are calls of runs on the own upstream, and
/// which runs make how many of them. Nothing in the protocol names the run. Two
/// things show it: some upstreams derive the ids of their calls from the id of
/// the run, and a call expires with its run at the latest, which the node knows
/// to the millisecond. A call that neither shows counts as a caller's request.
struct call_chain
{
    /// How often requests of a route matched a run, and how often they could.
    struct origin
    {
        double matched = 0;  ///< moving share, 0 to 1
        std::uint32_t seen = 0;
    };
    /// What the runs of a route have asked for.
    struct observed
    {
        double runs = 0;
        std::map<std::string, double> calls;  ///< by route
    };

    std::multimap<time_point, run_ref> open;  ///< runs by the moment when they expire
    std::map<std::string, run_ref> open_ids;  ///< runs by their request's id
    std::map<std::string, origin> origins;    ///< by route
    std::map<std::string, observed> below;    ///< by the runs' route
};

/// Notes a run that was handed over to the upstream.
void note_run(call_chain &it, run_ref run, const std::string &request_id, const std::string &route,
              time_point expires);

/// Notes the end of a run.
void note_run_end(call_chain &it, run_ref run, const std::string &request_id, time_point expires);

/// \returns the run on the own upstream that makes a request with this id which
/// expires at \a expires, none when it comes from a caller
std::optional<run_ref> find_parent(call_chain &it, const std::string &request_id,
                                   const std::string &route, time_point expires);

/// Notes that a run of \a parent_route made a call of \a route.
void note_child(call_chain &it, const std::string &parent_route, const std::string &route);

/// \returns the calls that a run of \a route makes, none when too few were seen
std::optional<calls_per_run> learned_calls(const call_chain &it, const std::string &route);

}  // namespace gullstall::mesh

#endif
