#include "gullstall/src/node/internal.hpp"

namespace gullstall::internal {

namespace {

constexpr duration scan_interval = seconds(1);
constexpr duration head_poll_interval = seconds(1);
constexpr std::uint64_t leases_per_term = 3;

void write_lease(turn &t)
{
    std::string key = member_row_prefix + t.n.settings.node.instance;
    row_write row{key, t.n.members.own_row_version, encode_member(own_member(t.n))};
    ask(t, platform_purpose::member_lease, table_commit{{row}});
}

void on_lease_answer(turn &t, const platform_answer &answer)
{
    for (const table_row &row : answer.rows) {
        if (row.key == member_row_prefix + t.n.settings.node.instance) {
            t.n.members.own_row_version = row.version;
        }
    }
    if (answer.status == platform_status::conflict) {
        t.n.members.next_lease = t.now;
    }
}

void on_scan_answer(turn &t, const platform_answer &answer)
{
    for (const table_row &row : answer.rows) {
        result<member> read = decode_member(row.value);
        if (!succeeded(read) || value_of(read).instance == t.n.settings.node.instance) {
            continue;
        }
        if (learn_member(t.n.members, value_of(read))) {
            note_event(t.n.events, t.now, event_kind::member_changed, "", value_of(read).instance,
                       wire::EnumNamemember_state(value_of(read).state));
        }
    }
}

void on_head_answer(turn &t, const platform_answer &answer)
{
    if (answer.status != platform_status::done || answer.rows.empty()) {
        return;
    }
    result<bundle_head> head = parse_head(answer.rows.front().value);
    if (!succeeded(head) || value_of(head).version <= version_in_force(t.n.bundles)) {
        return;
    }
    ask(t, platform_purpose::bundle_object, object_get{bundle_object_name(value_of(head).digest)});
}

void on_bundle_object(turn &t, const platform_answer &answer)
{
    if (answer.status != platform_status::done) {
        return;
    }
    result<done> applied =
        apply_bundle(t.n.bundles, answer.content, t.n.settings.trusted_keys, t.now);
    if (!succeeded(applied)) {
        log(t, write_log::severity::warning, "bundle", error_of(applied).message);
        note_event(t.n.events, t.now, event_kind::bundle_refused, "", "",
                   error_of(applied).message);
        return;
    }
    std::string version = std::to_string(version_in_force(t.n.bundles));
    log(t, write_log::severity::info, "bundle", "version " + version + " is in force");
    note_event(t.n.events, t.now, event_kind::bundle_applied, "", version,
               t.n.bundles.in_force->digest);
}

void set_own_state(turn &t, wire::member_state state)
{
    member &self = t.n.members.members.at(t.n.settings.node.instance);
    if (self.state == state) {
        return;
    }
    self.state = state;
    ++self.version;
    t.n.members.next_lease = t.now;
    note_event(t.n.events, t.now, event_kind::member_changed, "", self.instance,
               wire::EnumNamemember_state(state));
}

}  // namespace

void on_control_tick(turn &t)
{
    if (t.now >= t.n.members.next_lease) {
        t.n.members.next_lease =
            t.now + duration(milliseconds(t.n.settings.membership.lease_ms)) / leases_per_term;
        write_lease(t);
    }
    if (t.now >= t.n.members.next_scan) {
        t.n.members.next_scan = t.now + scan_interval;
        ask(t, platform_purpose::member_scan, table_scan{member_row_prefix});
    }
    if (t.now >= t.n.bundles.next_poll) {
        t.n.bundles.next_poll = t.now + head_poll_interval;
        ask(t, platform_purpose::bundle_head, table_read{{bundle_head_key}});
    }
}

void on_platform_answered(turn &t, platform_answered &e)
{
    auto found = t.n.platform_waiting.find(e.request);
    if (found == t.n.platform_waiting.end()) {
        return;
    }
    platform_purpose purpose = found->second;
    t.n.platform_waiting.erase(found);
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
    }
}

void on_worker_announced(turn &t, const worker_announced &e)
{
    t.n.slots = e.slots;
    t.n.worker_leaves = false;
    log(t, write_log::severity::info, "worker",
        "announced with " + std::to_string(e.slots) + " slots");
    if (!t.n.stopping) {
        set_own_state(t, wire::member_state::alive);
    }
}

void on_worker_leaving(turn &t)
{
    t.n.worker_leaves = true;
    log(t, write_log::severity::info, "worker", "leaves");
    set_own_state(t, wire::member_state::leaving);
}

void on_stop_requested(turn &t)
{
    if (t.n.stopping) {
        return;
    }
    t.n.stopping = true;
    log(t, write_log::severity::info, "node", "stop began");
    note_event(t.n.events, t.now, event_kind::stop_began, "", t.n.settings.node.instance, "");
    set_own_state(t, wire::member_state::leaving);
}

void on_control_frame(turn &t, wire::frame_message &frame)
{
    (void)t;
    (void)frame;
}

void finish_stop(turn &t)
{
    if (!t.n.stopping || t.n.stopped || !t.n.runs.empty() || !t.n.calls.empty()) {
        return;
    }
    t.n.stopped = true;
    note_event(t.n.events, t.now, event_kind::stop_finished, "", t.n.settings.node.instance, "");
    t.out.emplace_back(stop_now{});
}

}  // namespace gullstall::internal
