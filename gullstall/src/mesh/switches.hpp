#ifndef GULLSTALL_MESH_SWITCHES_HPP
#define GULLSTALL_MESH_SWITCHES_HPP

#include <string_view>

#include "gullstall/core.hpp"

namespace gullstall::mesh {

/// The mechanisms of the decisions. A test switches one off to show the failure that
/// it prevents; a trial, to measure what it is worth. In use, all are on.
struct mesh_switches
{
    bool age_of_frames = true;     ///< off: a call's time left is taken as if it had just been sent
    bool ask_quiet_nodes = true;   ///< off: a node that fell silent gets calls until it is lost
    bool chains_need_all = true;   ///< off: only the first service of a chain must be there
    bool admission = true;         ///< off: nothing is refused where it enters for want of room
    bool needs_in_weights = true;  ///< off: a route is cut as its class says, whatever it needs
    bool shed_chance = true;       ///< off: calls that will be turned away are let in
    bool zone_plan = true;         ///< off: a zone is chosen without the calls below
    bool own_zone_first = true;    ///< off: a call goes to any zone
    bool failure_cost = true;      ///< off: failed calls do not make a node dearer
    bool cost_draw = true;         ///< off: nodes are drawn evenly
    bool packed_frames = true;     ///< off: frames between zones are not packed
    bool repeats = true;           ///< off: nothing is handed to a second upstream
    bool gate_order = true;        ///< off: calls wait for a slot in the order in which they came
    bool patient_calls = true;     ///< off: calls of runs are bound by the queue's length too
    bool urgent_share = true;      ///< off: what waits lowers what is let in of all classes
    bool kept_chains = true;       ///< off: what runs call is not kept in the store
    bool whole_runs = true;        ///< off: chains are learned from runs that failed, too
    bool timed_returns = true;     ///< off: callers come back as soon whatever they met
    bool spread_returns = true;    ///< off: refused callers are all told the same time
    bool ordered_stops = true;     ///< off: a stopping node closes its gate whoever is left
    bool waiting_calls = true;     ///< off: calls of runs fail at once where no upstream is there

    bool operator==(const mesh_switches &) const = default;
};

/// Switches mechanisms off.
/// \param names of the members above, with commas between them
/// \returns an error that names what is not known
result<done> switch_off(mesh_switches &it, std::string_view names);

}  // namespace gullstall::mesh

#endif
