#include "gullstall/src/node/internal.hpp"

namespace gullstall::internal {

namespace {

constexpr duration scan_interval = seconds(1);
constexpr std::uint64_t leases_per_term = 3;

void write_lease(turn &t)
{
    std::string key = member_row_prefix + t.n.settings.node.instance;
    row_write row{key, t.n.members.own_row_version, encode_member(own_member(t.n))};
    ask(t, platform_purpose::member_lease, table_commit{{row}});
}

}  // namespace

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

void on_member_tick(turn &t)
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
}

void on_member_frame(turn &t, wire::frame_message &frame)
{
    (void)t;
    (void)frame;
}

}  // namespace gullstall::internal
