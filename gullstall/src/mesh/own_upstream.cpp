#include "gullstall/src/mesh/own_upstream.hpp"

#include <algorithm>
#include <tuple>

namespace gullstall::mesh {

namespace {

/// Number of departed incarnations to remember. Delayed heartbeats arrive within seconds,
/// and addresses are reused within seconds too.
constexpr std::size_t max_departed = 32;

bool has_departed(const own_upstream &it, const upstream_heartbeat &beat)
{
    return std::any_of(it.departed.begin(), it.departed.end(), [&](const departed_upstream &gone) {
        return gone.upstream == beat.upstream && beat.started_ms <= gone.started_ms;
    });
}

bool is_outdated(const upstream_heartbeat &latest, const upstream_heartbeat &beat)
{
    if (beat.started_ms != latest.started_ms) {
        return beat.started_ms < latest.started_ms;
    }
    return beat.upstream == latest.upstream && beat.sequence <= latest.sequence;
}

bool precedes_stored_end(const own_upstream &it, const upstream_heartbeat &beat)
{
    return it.stored_end && it.stored_end->upstream == beat.upstream &&
           it.stored_end->started_ms == beat.started_ms && beat.sequence < it.stored_end->sequence;
}

}  // namespace

bool is_same_incarnation(const std::optional<upstream_heartbeat> &latest,
                         const upstream_heartbeat &beat)
{
    return latest && latest->upstream == beat.upstream && latest->started_ms == beat.started_ms;
}

heartbeat_verdict apply_heartbeat(own_upstream &it, const upstream_heartbeat &beat, time_point now)
{
    if (has_departed(it, beat)) {
        return heartbeat_verdict::departed;
    }
    if (precedes_stored_end(it, beat) || (it.latest && is_outdated(*it.latest, beat))) {
        return heartbeat_verdict::outdated;
    }
    bool is_same = is_same_incarnation(it.latest, beat);
    bool was_draining = is_same && it.latest->state == mesh_wire::upstream_state::draining;
    if (beat.state == mesh_wire::upstream_state::draining && !was_draining) {
        it.draining_since = now;
    }
    if (!is_same) {
        it.limit.reset();
        it.has_announced_leave = false;
        it.has_responded = false;
    }
    it.latest = beat;
    it.has_crashed = false;
    it.heard_at = now;
    return heartbeat_verdict::accepted;
}

void apply_leave(own_upstream &it, const std::string &upstream, std::uint64_t unix_ms)
{
    bool is_latest = it.latest && it.latest->upstream == upstream;
    it.departed.push_back(departed_upstream{upstream, is_latest ? it.latest->started_ms : unix_ms});
    if (it.departed.size() > max_departed) {
        it.departed.pop_front();
    }
    if (is_latest) {
        it.latest.reset();
    }
}

bool is_newer_end(const announced_end &it, const announced_end &other)
{
    return std::tie(it.started_ms, it.has_departed, it.sequence) >
           std::tie(other.started_ms, other.has_departed, other.sequence);
}

void restore_end(own_upstream &it, const announced_end &stored)
{
    if (!it.stored_end || is_newer_end(stored, *it.stored_end)) {
        it.stored_end = stored;
    }
    departed_upstream gone{stored.upstream, stored.started_ms};
    if (stored.has_departed &&
        std::find(it.departed.begin(), it.departed.end(), gone) == it.departed.end()) {
        it.departed.push_front(std::move(gone));
    }
    if (it.latest && (has_departed(it, *it.latest) || precedes_stored_end(it, *it.latest))) {
        it.latest.reset();
    }
}

std::optional<announced_end> end_of(const upstream_heartbeat &beat)
{
    if (beat.state != mesh_wire::upstream_state::draining) {
        return std::nullopt;
    }
    return announced_end{beat.upstream, beat.started_ms, beat.sequence, false};
}

bool accepts_work(const own_upstream &it)
{
    return it.latest && it.latest->state == mesh_wire::upstream_state::ready && !it.has_crashed &&
           !it.has_announced_leave;
}

}  // namespace gullstall::mesh
