#include "gullstall/src/node/internal.hpp"

namespace gullstall::internal {

priority priority_of(const wire::call_message &it)
{
    return make_priority(it.class_priority, it.rank);
}

priority queue_place(const node &n, const wire::call_message &call)
{
    return n.rules.by_priority ? priority_of(call) : priority{0};
}

void on_level_tick(turn &t)
{
    if (t.now < t.n.level.window_end) {
        return;
    }
    auto protected_end = static_cast<std::uint16_t>(t.n.level.protected_classes * ranks_per_class);
    queue_state queue{t.n.queue.waiting.size(), waiting_before(t.n.queue, priority{protected_end})};
    update_level(t.n.level, t.n.rules.level, queue, t.now);
}

std::optional<wire::refusal> reason_to_refuse(turn &t, const wire::call_message &call)
{
    if (t.n.stopping || t.n.worker_leaves) {
        return wire::refusal::leaving;
    }
    if (t.n.slots == 0) {
        return wire::refusal::starting;
    }
    priority of_call = priority_of(call);
    bool admitted = admits(t.n.level.level, of_call);
    note_arrival(t.n.level, of_call, call.protect, admitted);
    if (!admitted) {
        return wire::refusal::overload;
    }
    return std::nullopt;
}

}  // namespace gullstall::internal
