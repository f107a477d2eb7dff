#include "gullstall/src/node/internal.hpp"

namespace gullstall::internal {

namespace {

/// Maximum time that a stop waits for outcomes to be written during an outage of
/// the platform.
constexpr duration max_outcome_write_wait = seconds(3);

/// Calls of callers are accepted for this long after a stop request. The process runs on
/// for about as long, so that other nodes learn that it is leaving.
constexpr duration caller_grace_period = milliseconds(1800);

}  // namespace

void on_control_tick(step_context &t)
{
    on_member_tick(t);
    on_bundle_tick(t);
    on_once_tick(t);
    on_suspect_tick(t);
}

void on_platform_answered(step_context &t, platform_answered &e)
{
    auto found = t.n.pending_platform_requests.find(e.request);
    if (found == t.n.pending_platform_requests.end()) {
        return;
    }
    platform_purpose purpose = found->second;
    t.n.pending_platform_requests.erase(found);
    switch (purpose) {
        case platform_purpose::member_lease:
            on_lease_answer(t, e.answer);
            break;
        case platform_purpose::member_scan:
            on_scan_answer(t, e.answer);
            break;
        case platform_purpose::bundle_head:
            on_head_answer(t, e.answer);
            break;
        case platform_purpose::bundle_object:
            on_bundle_object(t, e.answer);
            break;
        case platform_purpose::bundle_row:
            on_bundle_row(t, e.answer);
            break;
        case platform_purpose::claim_commit:
            on_claim_commit(t, e.request, e.answer);
            break;
        case platform_purpose::claim_read:
            on_claim_read(t, e.request, e.answer);
            break;
    }
}

void on_worker_announced(step_context &t, const worker_announced &e)
{
    t.n.slots = e.slots;
    t.n.worker_draining = false;
    t.n.contacts.worker_silent = false;
    log(t, write_log::severity::info, "worker",
        "registered with " + std::to_string(e.slots) + " slots");
    advertise_own_worker(t);
}

void advertise_own_worker(step_context &t)
{
    bool serves = t.n.slots > 0 && t.n.bundles.in_force && !t.n.worker_draining && !t.n.stopping;
    if (serves) {
        set_own_state(t, wire::member_state::alive);
    }
}

void on_worker_leaving(step_context &t)
{
    t.n.worker_draining = true;
    log(t, write_log::severity::info, "worker", "worker is leaving");
    set_own_state(t, wire::member_state::leaving);
}

void on_stop_requested(step_context &t)
{
    if (t.n.stopping) {
        return;
    }
    t.n.stopping = true;
    t.n.outcome_write_deadline = t.now + max_outcome_write_wait;
    t.n.stop_requested_at = t.now;
    log(t, write_log::severity::info, "node", "stopping");
    note_event(t.n.events, t.now, event_kind::stop_began, "", t.n.settings.node.instance, "");
    set_own_state(t, wire::member_state::leaving);
}

bool accepts_callers(const node &n, time_point now)
{
    // If a successor is running, replies would be sent to it.
    return !n.stopping || (!n.gossip.superseded && now < n.stop_requested_at + caller_grace_period);
}

void on_control_frame(step_context &t, wire::frame_message &frame)
{
    on_member_frame(t, frame);
    on_bundle_frame(t, frame);
    on_claim_frame(t, frame);
    on_suspect_frame(t, frame);
}

void finish_stop(step_context &t)
{
    if (!t.n.stopping || t.n.stopped || !t.n.runs.empty() || !t.n.calls.empty()) {
        return;
    }
    if (!t.n.idempotency.writer.writes.empty() && t.now < t.n.outcome_write_deadline) {
        return;  // repeats at other nodes need the unwritten outcomes
    }
    t.n.stopped = true;
    note_event(t.n.events, t.now, event_kind::stop_finished, "", t.n.settings.node.instance, "");
    t.out.emplace_back(exit_process{});
}

}  // namespace gullstall::internal
