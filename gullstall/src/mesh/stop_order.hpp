#ifndef GULLSTALL_MESH_STOP_ORDER_HPP
#define GULLSTALL_MESH_STOP_ORDER_HPP

#include <cstddef>
#include <string>

#include "gullstall/src/mesh/directory.hpp"

namespace gullstall::mesh {

/// Schedule of a shutdown. The gate closes between gate_close_earliest and gate_close_latest, as
/// soon as enough other upstreams of the service remain.
struct stop_schedule
{
    time_point gate_close_earliest{};
    time_point gate_close_latest{};
    time_point entry_close{};       ///< end of accepting callers' requests
    time_point held_entry_close{};  ///< the same while the gate is held open
    time_point answer_deadline{};   ///< deadline for responses to accepted requests

    bool operator==(const stop_schedule &) const = default;
};

/// \param stop_time time from SIGTERM to SIGKILL
/// \param run_time mean time of a run, zero if unknown
stop_schedule plan_stop(time_point now, duration stop_time, duration run_time);

/// \returns the number of upstreams of \a service that keep accepting work when \a own
/// closes its gate. Stopping nodes that precede \a own in the stop order, which is the same
/// on all nodes, are excluded.
std::size_t count_remaining(const directory &it, const std::string &own, const std::string &service,
                            time_point now);

/// \returns the number of other upstreams of the service required before \a own closes its
/// gate; 0 if no other node could replace it
std::size_t required_remaining(const directory &it, const std::string &own,
                               const std::string &service, time_point now);

}  // namespace gullstall::mesh

#endif
