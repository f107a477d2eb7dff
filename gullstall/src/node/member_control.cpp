#include <algorithm>

#include "gullstall/src/node/internal.hpp"

namespace gullstall::internal {

namespace {

using wire::member_state;

constexpr duration search_interval = seconds(1);
constexpr duration first_search_spread = milliseconds(300);
constexpr std::uint32_t searches_before_overwrite = 2;
constexpr std::size_t contacts_per_row = 6;
constexpr std::size_t contacts_per_search = 8;
constexpr duration worker_check_interval = milliseconds(500);

duration random_duration(step_context &t, duration below)
{
    return microseconds(draw_below(t.n.random, static_cast<std::uint64_t>(below.count())));
}

duration term_length(const step_context &t)
{
    return milliseconds(t.n.settings.membership.lease_ms) / 2;
}

std::uint64_t term_at(const step_context &t)
{
    return static_cast<std::uint64_t>(t.now.time_since_epoch() / term_length(t));
}

bool knows_no_member(step_context &t)
{
    return ring_size(t.n.gossip, t.n.members) == 1;
}

void record_change(step_context &t, const state_change &change)
{
    note_event(t.n.events, t.now, event_kind::member_changed, "", change.instance,
               wire::EnumNamemember_state(change.after));
    if (change.after == member_state::leaving) {
        record_draining(t.n.routes, change.instance, t.now);
    } else if (change.after == member_state::alive && change.before == member_state::leaving) {
        clear_draining(t.n.routes, change.instance);
    }
}

/// Stops this process if a later process of the same instance is running. It can
/// have been suspended while its successor started, and two nodes would then use
/// one name.
void stop_if_superseded(step_context &t)
{
    if (t.n.gossip.superseded && !t.n.stopping) {
        log(t, write_log::severity::warning, "member",
            "a later process of this instance is running; stopping");
        on_stop_requested(t);
    }
}

void apply_gossip_result(step_context &t, gossip_result &&done)
{
    for (const state_change &it : done.changes) {
        record_change(t, it);
    }
    for (gossip_send &it : done.sends) {
        if (it.instance.empty()) {
            send_to_address(t, "", it.to, make_frame(std::move(it.message)));
        } else {
            send_to(t, it.instance, make_frame(std::move(it.message)));
        }
    }
    stop_if_superseded(t);
}

void contact_endpoint(step_context &t, const endpoint &to)
{
    gossip_result out;
    out.sends.push_back(first_contact(t.n.gossip, t.n.members, to));
    apply_gossip_result(t, std::move(out));
}

/// \returns whether a known member that is not dead listens at \a at
bool is_known(const step_context &t, const endpoint &at)
{
    return std::any_of(t.n.members.members.begin(), t.n.members.members.end(), [&](const auto &it) {
        return it.second.state != member_state::dead && it.second.port == at.port &&
               it.second.address == at.address;
    });
}

void contact_seeds(step_context &t)
{
    for (const endpoint &it : t.n.settings.seeds) {
        if (!is_known(t, it)) {
            contact_endpoint(t, it);
        }
    }
}

void request_contact_scan(step_context &t)
{
    if (!t.n.contacts.asked) {
        t.n.contacts.asked = true;
        send_platform_request(t, platform_purpose::member_scan, table_scan{member_row_prefix});
    }
}

/// Contacts some of the members listed in the rows that this node doesn't know.
/// Only their addresses are used, since the listed states may be outdated.
/// \returns the number of members contacted
std::size_t contact_unknown_members(step_context &t, const std::vector<table_row> &rows)
{
    std::vector<endpoint> unknown_endpoints;
    for (const table_row &row : rows) {
        result<std::vector<member>> read = decode_contacts(row.value);
        if (!succeeded(read)) {
            continue;
        }
        for (const member &it : value_of(read)) {
            auto known = t.n.members.members.find(it.instance);
            bool lacks =
                known == t.n.members.members.end() || known->second.incarnation < it.incarnation;
            if (lacks && !is_known(t, endpoint{it.address, it.port})) {
                unknown_endpoints.push_back(endpoint{it.address, it.port});
            }
        }
    }
    std::size_t contacted = 0;
    while (!unknown_endpoints.empty() && contacted < contacts_per_search) {
        std::size_t chosen = draw_below(t.n.random, unknown_endpoints.size());
        contact_endpoint(t, unknown_endpoints[chosen]);
        unknown_endpoints.erase(unknown_endpoints.begin() + static_cast<std::ptrdiff_t>(chosen));
        ++contacted;
    }
    return contacted;
}

std::vector<member> choose_contacts(step_context &t)
{
    std::vector<member> zone;
    for (const auto &[instance, known] : t.n.members.members) {
        bool good = known.zone == t.n.settings.node.zone && known.state == member_state::alive;
        if (good && instance != t.n.settings.node.instance) {
            zone.push_back(known);
        }
    }
    std::vector<member> out{own_member(t.n)};
    while (!zone.empty() && out.size() < contacts_per_row) {
        std::size_t chosen = draw_below(t.n.random, zone.size());
        out.push_back(std::move(zone[chosen]));
        zone.erase(zone.begin() + static_cast<std::ptrdiff_t>(chosen));
    }
    return out;
}

void write_contact_row(step_context &t, std::size_t slot, const std::vector<table_row> &rows)
{
    std::string key = contact_row_key(t.n.settings.node.zone, slot);
    std::uint64_t version = 0;
    for (const table_row &row : rows) {
        version = row.key == key ? row.version : version;
    }
    row_write row{key, version, encode_contacts(choose_contacts(t))};
    send_platform_request(t, platform_purpose::member_lease, table_commit{{row}});
}

/// Searches the seeds and the table for members while no other member is known.
void search_for_members(step_context &t)
{
    if (t.now < t.n.contacts.next_search || !knows_no_member(t)) {
        return;
    }
    t.n.contacts.next_search = t.now + search_interval + random_duration(t, search_interval);
    contact_seeds(t);
    request_contact_scan(t);
}

/// Refreshes a contact row of the table in the terms assigned to this node.
void refresh_contact_row(step_context &t)
{
    if (t.now < t.n.contacts.next_turn) {
        return;
    }
    time_point next_term{term_length(t) * static_cast<std::int64_t>(term_at(t) + 1)};
    t.n.contacts.next_turn = next_term + random_duration(t, search_interval);
    if (knows_no_member(t) || !turn_of(t.n.members, t.n.settings.node.instance, term_at(t))) {
        return;
    }
    contact_seeds(t);
    request_contact_scan(t);
}

}  // namespace

void on_scan_answer(step_context &t, const platform_answer &answer)
{
    contact_turns &turns = t.n.contacts;
    turns.asked = false;
    if (answer.status != platform_status::done) {
        return;
    }
    std::size_t contacted = contact_unknown_members(t, answer.rows);
    if (!knows_no_member(t)) {
        turns.searches = 0;
        if (auto slot = turn_of(t.n.members, t.n.settings.node.instance, term_at(t))) {
            write_contact_row(t, *slot, answer.rows);
        }
        return;
    }
    // No other member is known. Existing rows are tried first, so that nodes that
    // start together don't write a row each. Rows that led to no member are overwritten.
    ++turns.searches;
    if (contacted == 0 || turns.searches > searches_before_overwrite) {
        std::size_t slot = draw_below(t.n.random, contact_rows_per_zone);
        write_contact_row(t, slot, answer.rows);
    }
}

void on_lease_answer(step_context &t, const platform_answer &answer)
{
    if (answer.status == platform_status::conflict && knows_no_member(t)) {
        contact_unknown_members(t, answer.rows);  // another node wrote the row first: contact it
    }
}

void set_own_state(step_context &t, member_state state)
{
    member &self = t.n.members.members.at(t.n.settings.node.instance);
    if (self.state == state) {
        return;
    }
    self.state = state;
    self.slots = t.n.slots;
    ++self.version;
    note_event(t.n.events, t.now, event_kind::member_changed, "", self.instance,
               wire::EnumNamemember_state(state));
    gossip_result out;
    announce_self(t.n.gossip, t.n.members, t.n.random, t.now, out);
    apply_gossip_result(t, std::move(out));
}

void on_step_time(step_context &t)
{
    time_point before = t.n.contacts.last_step;
    t.n.contacts.last_step = t.now;
    duration lease = milliseconds(t.n.settings.membership.lease_ms);
    if (before == time_point{} || t.now - before < lease || !t.n.gossip.limits.notice_pauses) {
        return;
    }
    // A node suspended for longer than its lease would send calls to members that
    // have left. It first synchronises its view with its neighbours and refuses
    // calls until then.
    log(t, write_log::severity::warning, "member",
        "process was suspended for " + std::to_string(to_ms(t.now - before)) + " ms");
    gossip_result out;
    note_pause(t.n.gossip, t.n.members, t.n.random, t.now, out);
    apply_gossip_result(t, std::move(out));
}

void on_member_tick(step_context &t)
{
    if (t.n.contacts.next_search == time_point{}) {
        t.n.contacts.next_search = t.now + random_duration(t, first_search_spread);
        t.n.contacts.next_turn = t.now + random_duration(t, term_length(t));
    }
    gossip_result out;
    tick_gossip(t.n.gossip, t.n.members, t.n.random, t.now, out);
    apply_gossip_result(t, std::move(out));
    search_for_members(t);
    refresh_contact_row(t);
    check_silent_worker(t);
}

void on_member_frame(step_context &t, wire::frame_message &frame)
{
    const wire::gossip_message *message = frame.payload.Asgossip();
    if (message == nullptr) {
        return;
    }
    gossip_result out;
    take_gossip(t.n.gossip, t.n.members, t.n.random, t.now, frame.sender, *message, out);
    apply_gossip_result(t, std::move(out));
}

void on_member_unreachable(step_context &t, const std::string &instance)
{
    gossip_result out;
    note_unreachable(t.n.gossip, t.n.members, t.n.random, t.now, instance, out);
    apply_gossip_result(t, std::move(out));
}

void on_worker_end(step_context &t, worker_end end)
{
    bool failed = end == worker_end::not_sent || end == worker_end::lost;
    if (failed && !t.n.contacts.checking_worker) {
        t.n.contacts.checking_worker = true;
        t.out.emplace_back(check_worker{});
    }
}

void on_worker_checked(step_context &t, const worker_checked &e)
{
    contact_turns &turns = t.n.contacts;
    turns.checking_worker = false;
    turns.next_check = t.now + worker_check_interval;
    if (turns.worker_silent == !e.reachable) {
        return;
    }
    turns.worker_silent = !e.reachable;
    note_event(t.n.events, t.now, event_kind::worker_lost, "", t.n.settings.node.instance,
               e.reachable ? "takes connections again" : "takes no connections");
    if (t.n.stopping || t.n.worker_draining || t.n.slots == 0) {
        return;
    }
    // If a worker crashes without a leave notice, its node is still alive and
    // gossip would keep announcing an upstream on which every call fails.
    set_own_state(t, e.reachable ? member_state::alive : member_state::leaving);
}

void check_silent_worker(step_context &t)
{
    contact_turns &turns = t.n.contacts;
    if (turns.worker_silent && !turns.checking_worker && t.now >= turns.next_check) {
        turns.checking_worker = true;
        t.out.emplace_back(check_worker{});
    }
}

}  // namespace gullstall::internal
