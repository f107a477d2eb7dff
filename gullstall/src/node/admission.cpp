#include "gullstall/src/node/internal.hpp"

namespace gullstall::internal {

namespace {

/// Waits that a request with slots spent above may meet, in slots: beyond it
/// the time left is better spent on another request.
constexpr std::size_t worked_per_slot = 4;

/// Queue of protected calls that lets the level go into their classes, in target
/// waits. A short one is passed by chance at 80 % load, and would refuse calls
/// that there is room for.
constexpr double protected_targets = 3;

/// \returns whether slots at services above were spent on the call already
bool is_worked(const node &n, const wire::call_message &call)
{
    return n.rules.keep_worked && call.depth > 0;
}

}  // namespace

priority priority_of(const wire::call_message &it)
{
    return make_priority(it.class_priority, it.rank);
}

queue_place place_of(const node &n, const wire::call_message &call)
{
    if (!n.rules.by_priority) {
        return fresh_place;
    }
    return make_place(call.class_priority, call.protect, is_worked(n, call));
}

void on_level_tick(turn &t)
{
    if (t.now < t.n.level.window_end) {
        return;
    }
    queue_state queue{t.n.queue.waiting.size(), waiting_before(t.n.queue, worked_place),
                      t.n.rules.protected_target ? protected_targets : 1.0, t.n.slots,
                      t.n.rules.drain_by_slots};
    update_level(t.n.level, t.n.rules.level, queue, t.now);
    if (t.n.rules.keep_worked) {
        t.n.queue.limit = t.n.slots * worked_per_slot;
        t.n.queue.bound = queue_bound(t.n.level, t.n.slots);
    }
}

std::optional<wire::refusal> reason_to_refuse(turn &t, const wire::call_message &call)
{
    if (t.n.stopping || t.n.worker_leaves) {
        return wire::refusal::leaving;
    }
    if (t.n.slots == 0 || !t.n.bundles.in_force) {
        return wire::refusal::starting;
    }
    priority of_call = priority_of(call);
    bool admitted = admits(t.n.level.level, of_call);
    // The entry judged this request by a level that this service had a moment
    // ago. Refusing it now wastes the slots spent since; the queue bounds how
    // many come too much. One that the entry did not judge is refused here.
    admitted = admitted || (is_worked(t.n, call) && admits(recent_level(t.n.level), of_call));
    note_arrival(t.n.level, of_call, call.protect, admitted);
    if (!admitted) {
        return wire::refusal::overload;
    }
    return std::nullopt;
}

}  // namespace gullstall::internal
