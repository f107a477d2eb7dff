#include <algorithm>

#include "gullstall/src/mesh/entry_answers.hpp"

namespace gullstall::mesh {

using mesh_wire::reason;

namespace {

/// Time in which the process of a node that is replaced runs again, without the wait for
/// its upstream's heartbeat.
constexpr duration restart_time = milliseconds(700);

/// Part of its time left for which a call waits for an upstream: the rest is for its run.
constexpr int wait_part = 2;

bool is_absence(reason why)
{
    return why == reason::no_upstream || why == reason::leaving || why == reason::stopping ||
           why == reason::unreachable;
}

void log_wait(mesh_turn &t, const entry_call &call, duration longest)
{
    t.out.emplace_back(write_line{write_line::severity::info,
                                  "entry",
                                  "call-waits",
                                  {{"request", call.call.request_id},
                                   {"service", call.call.service},
                                   {"reason", mesh_wire::EnumNamereason(call.last_reason)},
                                   {"for_ms", std::to_string(to_ms(longest))}}});
}

}  // namespace

bool wait_for_upstream(mesh_turn &t, entry_call &call)
{
    if (!t.n.on.waiting_calls || !call.call.inner || !is_absence(call.last_reason)) {
        return false;
    }
    if (!call.waits_until) {
        duration replacement =
            milliseconds(t.n.settings.upstream.heartbeat_interval_ms) + restart_time;
        duration longest = std::min(replacement, (call.expires - t.now) / wait_part);
        call.waits_until = t.now + longest;
        log_wait(t, call, longest);
    }
    if (t.now >= *call.waits_until) {
        return false;
    }
    t.n.waiting_calls.push_back(call.id);
    return true;
}

}  // namespace gullstall::mesh
