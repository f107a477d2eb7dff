#include <algorithm>

#include "gullstall/src/mesh/entry_answers.hpp"

namespace gullstall::mesh {

using mesh_wire::reason;

namespace {

/// Time to restart the process of a node that is being replaced, excluding the wait for
/// the heartbeat of its upstream.
constexpr duration process_restart_time = milliseconds(700);

/// Divisor of the remaining time that gives the longest wait for an upstream: the rest is
/// for the run.
constexpr int wait_time_divisor = 2;

bool is_missing_upstream(reason why)
{
    return why == reason::no_upstream || why == reason::leaving || why == reason::stopping ||
           why == reason::unreachable;
}

void log_wait(mesh_turn &t, const entry_call &call, duration max_wait)
{
    t.out.emplace_back(write_line{write_line::severity::info,
                                  "entry",
                                  "call-waits",
                                  {{"request", call.call.request_id},
                                   {"service", call.call.service},
                                   {"reason", mesh_wire::EnumNamereason(call.last_reason)},
                                   {"for_ms", std::to_string(to_ms(max_wait))}}});
}

}  // namespace

bool wait_for_upstream(mesh_turn &t, entry_call &call)
{
    if (!t.n.features.waiting_calls || !call.call.inner || !is_missing_upstream(call.last_reason)) {
        return false;
    }
    if (!call.wait_deadline) {
        duration replacement_time =
            from_milliseconds(t.n.settings.upstream.heartbeat_interval_ms) + process_restart_time;
        duration max_wait = std::min(replacement_time, (call.expires - t.now) / wait_time_divisor);
        call.wait_deadline = t.now + max_wait;
        log_wait(t, call, max_wait);
    }
    if (t.now >= *call.wait_deadline) {
        return false;
    }
    t.n.waiting_calls.push_back(call.id);
    return true;
}

}  // namespace gullstall::mesh
