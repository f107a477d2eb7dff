#include <algorithm>

#include "gullstall/src/node/internal.hpp"

namespace gullstall::internal {

namespace {

/// Maximum queue length per slot for requests that have used slots at services
/// above. Behind a longer queue the remaining time is better spent on another request.
constexpr std::size_t max_waiting_per_slot = 4;

/// Queue of protected calls, in multiples of the target wait, from which the
/// admission level may fall into their classes. A shorter one is exceeded by
/// chance at 80 % load, so that calls were refused although there was capacity.
constexpr double protected_queue_targets = 2;

/// From this status on an answer may have stopped before it reached all services.
constexpr std::uint16_t first_error_status = 400;

/// \returns whether slots at services above have already been used for the call
bool has_used_slots(const node &n, const wire::call_message &call)
{
    return n.rules.exempt_prior_work && call.depth > 0;
}

/// Tolerance, in ranks, for levels that differ between instances of a service.
/// The entry node checks a request against their average, but the request may
/// reach the instance with the lowest level.
constexpr int instance_rank_spread = 64;

admission_level widen_level(admission_level it)
{
    int level = it.highest + instance_rank_spread;
    return std::min(admit_all, admission_level{static_cast<std::uint16_t>(level)});
}

}  // namespace

priority priority_of(const wire::call_message &it)
{
    return make_priority(it.class_priority, it.rank);
}

waiting_run make_waiting_run(const node &n, const active_run &run)
{
    return waiting_run{run.id, priority_of(run.call), run.call.protect,
                       has_used_slots(n, run.call)};
}

duration expected_wait(const node &n)
{
    if (n.slots == 0) {
        return duration{};
    }
    double held_us = n.level.mean_hold_us * static_cast<double>(n.queue.waiting.size()) / n.slots;
    return duration(static_cast<std::int64_t>(held_us));
}

void on_level_tick(step_context &t)
{
    if (t.now < t.n.level.window_end) {
        return;
    }
    queue_state queue{t.n.queue.waiting.size(), protected_waiting(t.n.queue),
                      t.n.rules.separate_protected_target ? protected_queue_targets : 1.0,
                      t.n.slots, t.n.rules.drain_rate_by_hold_time};
    update_level(t.n.level, t.n.rules.level, queue, t.now);
    if (t.n.rules.exempt_prior_work) {
        refuse_long_waiting(t);
        t.n.queue.hard_limit = t.n.slots * max_waiting_per_slot;
        t.n.queue.soft_limit = soft_queue_limit(t.n.level, t.n.slots);
    }
}

std::optional<std::string> find_refusing_service(step_context &t, const wire::call_message &call)
{
    entry_request request{call.call_type, priority_of(call), call.protect};
    return find_refusing_service(t.n.touched_services, request, t.now);
}

void record_reply(step_context &t, const pending_call &call, const wire::reply_message &reply)
{
    record_queue_wait(t.n.routes, call.current->instance, microseconds(reply.wait_us));
    dependency_table &known = t.n.touched_services;
    const std::string &type = call.request.call_type;
    auto run = call.parent ? t.n.runs.find(*call.parent) : t.n.runs.end();
    std::size_t n = std::min(reply.touched.size(), reply.levels.size());
    for (std::size_t i = 0; i < n; ++i) {
        admission_level level{reply.levels[i]};
        record_reported_level(known, reply.touched[i], level, t.now);
        record_reached(known, type, reply.touched[i]);
        if (run != t.n.runs.end()) {
            run->second.reached_levels[reply.touched[i]] = level;
        }
    }
    bool whole = reply.outcome == wire::outcome::ran && reply.status < first_error_status;
    if (call.parent || !whole) {
        return;  // it may have stopped before it reached all its services
    }
    for (const auto &[service, share] : known.reach_shares[type]) {
        if (std::find(reply.touched.begin(), reply.touched.end(), service) == reply.touched.end()) {
            record_not_reached(known, type, service);
        }
    }
}

std::optional<wire::refusal> find_refusal_reason(step_context &t, const wire::call_message &call)
{
    if (t.n.stopping || t.n.worker_draining) {
        return wire::refusal::leaving;
    }
    if (t.n.slots == 0 || !t.n.bundles.in_force) {
        return wire::refusal::starting;
    }
    // Protected calls overtake the queue and don't wait for it.
    duration wait = call.protect ? duration{} : expected_wait(t.n);
    if (t.n.rules.refuse_unfinishable &&
        !can_finish(t.n.times, call.operation, wait, microseconds(call.left_us))) {
        return wire::refusal::deadline;
    }
    priority of_call = priority_of(call);
    bool admitted = admits(t.n.level.level, of_call);
    // The entry node admitted this request by an earlier level of this service.
    // Refusing it now would waste the slots used since then; the queue limit
    // bounds the excess. Other requests are checked against the current level.
    admitted = admitted ||
               (has_used_slots(t.n, call) && admits(widen_level(recent_level(t.n.level)), of_call));
    record_arrival(t.n.level, of_call, call.protect, admitted);
    if (!admitted) {
        return wire::refusal::overload;
    }
    return std::nullopt;
}

}  // namespace gullstall::internal
