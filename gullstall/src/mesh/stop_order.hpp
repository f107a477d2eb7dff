#ifndef GULLSTALL_MESH_STOP_ORDER_HPP
#define GULLSTALL_MESH_STOP_ORDER_HPP

#include <cstddef>
#include <string>

#include "gullstall/src/mesh/directory.hpp"

namespace gullstall::mesh {

/// Times of a stop. The gate closes between its two, as soon as the other upstreams of the
/// service suffice.
struct stop_times
{
    time_point gate_from{};
    time_point gate_by{};
    time_point entry{};       ///< all callers' requests are taken until then
    time_point held_entry{};  ///< the same, while the gate is held open
    time_point answered{};    ///< what is taken must have its answer by then

    bool operator==(const stop_times &) const = default;
};

/// \param stop_time from the order to stop to the kill
/// \param run_time usual time of a run, zero when it is not known
stop_times plan_stop(time_point now, duration stop_time, duration run_time);

/// \returns the upstreams of \a service that go on to take work when \a own closes its
/// gate. Of nodes that are to stop too, those that come before \a own close theirs first;
/// all nodes agree on that order.
std::size_t count_staying(const directory &it, const std::string &own, const std::string &service,
                          time_point now);

/// \returns how many other upstreams of the service must stay for \a own to close its gate;
/// none when there is no other that could take its place
std::size_t least_staying(const directory &it, const std::string &own, const std::string &service,
                          time_point now);

}  // namespace gullstall::mesh

#endif
