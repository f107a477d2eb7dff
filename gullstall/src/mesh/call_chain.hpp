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
/// which runs make how many of them. No field names the run, but upstreams
/// derive the ids of their calls from the id of the run. A call whose id does
/// not show its run counts as a caller's request: it is judged where it enters,
/// which is safe and costs the work of the run above when it is refused.
struct call_chain
{
    /// A run that has not ended, and what it has asked for so far.
    struct open_run
    {
        run_ref run{};
        std::string route;
        calls_per_run calls;
    };

    /// What the runs of a route have asked for.
    struct observed
    {
        double runs = 0;
        std::map<std::string, double> calls;  ///< by route
    };

    std::map<std::string, open_run> open;   ///< by their request's id
    std::map<std::string, observed> below;  ///< by the runs' route
};

/// Notes a run that was handed over to the upstream.
void note_run(call_chain &it, run_ref run, const std::string &request_id, const std::string &route);

/// Notes the end of a run. Only a run that ended well has made all its calls: one that
/// ends with the first call that fails would make the chain look short, just when a
/// service of it is missing.
void note_run_end(call_chain &it, run_ref run, const std::string &request_id, bool ended_well);

/// \returns the run on the own upstream that makes a request with this id, none
/// when it comes from a caller
std::optional<run_ref> find_parent(const call_chain &it, const std::string &request_id);

/// Notes that the run of the request \a parent_id made a call of \a route.
void note_child(call_chain &it, const std::string &parent_id, const std::string &route);

/// \returns the calls that a run of \a route makes, none when too few were seen
std::optional<calls_per_run> learned_calls(const call_chain &it, const std::string &route);

}  // namespace gullstall::mesh

#endif
