#ifndef GULLSTALL_MESH_OWN_UPSTREAM_HPP
#define GULLSTALL_MESH_OWN_UPSTREAM_HPP

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include "gullstall/generated/mesh_generated.h"
#include "gullstall/src/core/time.hpp"
#include "gullstall/src/mesh/request_window.hpp"
#include "gullstall/src/mesh/upstream_notice.hpp"

namespace gullstall::mesh {

/// State that an upstream reports once per heartbeat interval.
struct upstream_heartbeat
{
    std::string upstream;  ///< id of the incarnation
    std::string service;
    std::string address;           ///< address:port for requests
    std::uint64_t started_ms = 0;  ///< start of the incarnation, Unix milliseconds
    std::uint64_t sequence = 0;    ///< increases with each heartbeat of an incarnation
    mesh_wire::upstream_state state = mesh_wire::upstream_state::absent;
    std::uint32_t slots = 0;
    duration warmup_time{};  ///< expected duration of slow responses after the start

    bool operator==(const upstream_heartbeat &) const = default;
};

/// Result of processing a heartbeat.
enum class heartbeat_verdict
{
    accepted,  ///< applied
    outdated,  ///< older than the latest heartbeat or of an earlier incarnation
    departed   ///< the incarnation has announced its departure
};

/// What an incarnation has announced of its end, as the platform's store and other nodes keep it
/// for the node's next process.
struct announced_end
{
    std::string upstream;
    std::uint64_t started_ms = 0;
    std::uint64_t sequence = 0;  ///< of the heartbeat that announced it
    bool has_departed = false;   ///< false: it is draining

    bool operator==(const announced_end &) const = default;
};

/// Incarnation that has departed.
struct departed_upstream
{
    std::string upstream;
    std::uint64_t started_ms;

    bool operator==(const departed_upstream &) const = default;
};

/// State of the local upstream, known from its heartbeats and from its responses. After a
/// start no state is known and no request is dispatched: the previous process may have
/// acknowledged that the upstream is leaving.
struct own_upstream
{
    std::optional<upstream_heartbeat> latest;
    time_point heard_at{};
    time_point draining_since{};  ///< valid when the latest state is draining
    bool has_crashed = false;     ///< the incarnation of the latest heartbeat has
    std::deque<departed_upstream> departed;
    std::optional<announced_end> stored_end;  ///< the newest that an earlier process has heard
    std::optional<named_limit> limit;         ///< of the incarnation of the latest heartbeat
    bool has_announced_leave = false;         ///< that incarnation has, in a response
    request_window requests;                  ///< sent to the upstream
    /// What peers remember of the upstream, until it announces itself to this process.
    std::optional<mesh_wire::upstream_notice_message> remembered;
    std::string remembered_by;   ///< peer that told of it
    bool has_responded = false;  ///< the incarnation has, to a request of this process
    time_point limit_logged_at{};
    time_point limit_sent_at{};  ///< when the other nodes were last told of a change at once
};

/// \returns whether the heartbeat is of the incarnation of the latest one
bool is_same_incarnation(const std::optional<upstream_heartbeat> &latest,
                         const upstream_heartbeat &beat);

/// Processes a heartbeat.
/// \param now time of arrival
heartbeat_verdict apply_heartbeat(own_upstream &it, const upstream_heartbeat &beat, time_point now);

/// Records the departure of the incarnation \a upstream.
/// \param unix_ms wall-clock time; assumed as the latest start of an incarnation without a
/// heartbeat, so that its delayed heartbeats are ignored
void apply_leave(own_upstream &it, const std::string &upstream, std::uint64_t unix_ms);

/// \returns whether \a it was announced after \a other
bool is_newer_end(const announced_end &it, const announced_end &other);

/// Applies what an earlier process of the node has heard. Heartbeats from before the
/// announcement are outdated, also one that has arrived before this is known.
void restore_end(own_upstream &it, const announced_end &stored);

/// \returns what the latest heartbeat announces, if it announces an end
std::optional<announced_end> end_of(const upstream_heartbeat &beat);

/// \returns whether requests may be dispatched to the upstream
bool accepts_work(const own_upstream &it);

}  // namespace gullstall::mesh

#endif
