#ifndef GULLSTALL_MESH_STOP_ORDER_HPP
#define GULLSTALL_MESH_STOP_ORDER_HPP

#include <cstddef>
#include <string>

#include "gullstall/src/mesh/directory.hpp"

namespace gullstall::mesh {

/// Schedule of a shutdown. The gate closes between gate_from and gate_by, as soon as enough
/// other upstreams of the service remain.
struct stop_times
{
    time_point gate_from{};
    time_point gate_by{};
    time_point entry{};       ///< end of accepting callers' requests
    time_point held_entry{};  ///< the same while the gate is held open
    time_point answered{};    ///< deadline for responses to accepted requests

    bool operator==(const stop_times &) const = default;
};

/// \param stop_time time from SIGTERM to SIGKILL
/// \param run_time mean time of a run, zero if unknown
stop_times plan_stop(time_point now, duration stop_time, duration run_time);

/// \returns the number of upstreams of \a service that keep accepting work when \a own
/// closes its gate. Stopping nodes that precede \a own in the stop order, which is the same
/// on all nodes, are excluded.
std::size_t count_staying(const directory &it, const std::string &own, const std::string &service,
                          time_point now);

/// \returns the number of other upstreams of the service required before \a own closes its
/// gate; 0 if no other node could replace it
std::size_t least_staying(const directory &it, const std::string &own, const std::string &service,
                          time_point now);

}  // namespace gullstall::mesh

#endif
