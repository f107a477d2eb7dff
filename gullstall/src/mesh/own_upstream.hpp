#ifndef GULLSTALL_MESH_OWN_UPSTREAM_HPP
#define GULLSTALL_MESH_OWN_UPSTREAM_HPP

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include "gullstall/generated/mesh_generated.h"
#include "gullstall/src/core/time.hpp"

namespace gullstall::mesh {

/// What an upstream says of itself, about once a heartbeat interval.
struct upstream_heartbeat
{
    std::string upstream;  ///< id of the incarnation
    std::string service;
    std::string address;         ///< where it takes requests, address:port
    std::uint64_t born = 0;      ///< start of the incarnation, Unix milliseconds
    std::uint64_t sequence = 0;  ///< rises with each heartbeat of an incarnation
    mesh_wire::upstream_state state = mesh_wire::upstream_state::absent;
    std::uint32_t slots = 0;
    duration cold_for{};  ///< how long it stays slow after its start

    bool operator==(const upstream_heartbeat &) const = default;
};

/// What became of a heartbeat.
enum class heartbeat_verdict
{
    taken,
    outdated,  ///< a later one of the incarnation, or a later incarnation, was heard
    gone       ///< the incarnation has said that it leaves for good
};

/// Incarnation that has left for good.
struct gone_upstream
{
    std::string upstream;
    std::uint64_t born;

    bool operator==(const gone_upstream &) const = default;
};

/// What a node knows of the upstream beside it, from its heartbeats alone. A
/// node that has just started knows none and sends it nothing: it can't tell
/// whether its previous process was told that the upstream leaves.
struct own_upstream
{
    std::optional<upstream_heartbeat> latest;
    time_point heard_at{};
    time_point draining_since{};  ///< valid when the latest state is draining
    std::deque<gone_upstream> gone;
};

/// Takes in a heartbeat.
/// \param now when it arrived
heartbeat_verdict take_heartbeat(own_upstream &it, const upstream_heartbeat &beat, time_point now);

/// Notes that the incarnation \a upstream leaves for good.
/// \param unix_ms time of day; an incarnation that was never heard counts as
/// born by then, so that its late heartbeats don't bring it back
void take_leave(own_upstream &it, const std::string &upstream, std::uint64_t unix_ms);

/// \returns whether requests may be handed to the upstream
bool takes_work(const own_upstream &it);

}  // namespace gullstall::mesh

#endif
