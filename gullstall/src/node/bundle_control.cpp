#include <limits>

#include "gullstall/src/node/internal.hpp"

/// Distribution of bundles. gullstall/src/bundle/follow.hpp decides which version
/// to fetch, from where, and which one to start with; this file sends the frames
/// and the requests to the platform.
namespace gullstall::internal {

namespace {

/// Version that no row has. A conditional write that expects it always fails and
/// returns the current rows.
constexpr std::uint64_t impossible_version = std::numeric_limits<std::uint64_t>::max();

bundle_follow &follow_of(step_context &t)
{
    return t.n.bundles.follow;
}

std::vector<std::string> sample_members(step_context &t, std::size_t n)
{
    std::vector<std::string> names;
    for (const auto &[instance, it] : t.n.members.members) {
        if (instance != t.n.settings.node.instance && it.state != wire::member_state::dead) {
            names.push_back(instance);
        }
    }
    n = std::min(n, names.size());
    for (std::size_t i = 0; i < n; ++i) {
        std::swap(names[i], names[i + draw_below(t.n.random, names.size() - i)]);
    }
    names.resize(n);
    return names;
}

std::size_t count_zone_members(const node &n)
{
    std::size_t out = 0;
    for (const auto &[instance, it] : n.members.members) {
        out += it.zone == n.settings.node.zone && it.state != wire::member_state::dead ? 1 : 0;
    }
    return out;
}

/// Sends the version in force to random members; every frame header contains it.
void push_version(step_context &t, std::size_t fanout)
{
    for (const std::string &it : sample_members(t, fanout)) {
        send_to(t, it, make_frame(wire::bundle_content_message{}));
    }
}

void start_next_fetch(step_context &t)
{
    auto order = begin_fetch(follow_of(t), version_in_force(t.n.bundles), t.now);
    if (!order) {
        return;
    }
    if (order->from.instance.empty()) {
        send_platform_request(t, platform_purpose::bundle_row,
                              table_read{{bundle_version_key(order->version)}});
        return;
    }
    wire::bundle_fetch_message message;
    message.version = order->version;
    send_to(t, order->from.instance, make_frame(message));
}

void log_refused_bundle(step_context &t, const error &why)
{
    log(t, write_log::severity::warning, "bundle", why.message);
    note_event(t.n.events, t.now, event_kind::bundle_refused, "", "", why.message);
}

/// Verifies a bundle and puts it in force; logs the reason if it is refused.
bool try_apply_bundle(step_context &t, const std::string &stored)
{
    result<done> applied = apply_bundle(t.n.bundles, stored, t.n.settings.trusted_keys, t.now,
                                        t.n.settings.trust.signers_required);
    if (!succeeded(applied)) {
        log_refused_bundle(t, error_of(applied));
        return false;
    }
    std::string version = std::to_string(version_in_force(t.n.bundles));
    log(t, write_log::severity::info, "bundle", "version " + version + " is in force");
    note_event(t.n.events, t.now, event_kind::bundle_applied, "", version,
               t.n.bundles.in_force->digest);
    if (version_in_force(t.n.bundles) >= follow_of(t).target) {
        push_version(t, push_fanout);
    }
    advertise_own_worker(t);
    return true;
}

/// Ends a fetch with its result, empty if it failed, and starts the next one.
void end_fetch(step_context &t, const std::string &stored)
{
    if (!stored.empty() && try_apply_bundle(t, stored)) {
        fetch_succeeded(follow_of(t));
    } else {
        fetch_failed(follow_of(t), t.now);
    }
    start_next_fetch(t);
}

/// Considers a bundle as the first one of a started node.
void consider_initial_bundle(step_context &t, const std::string &stored)
{
    result<verified_bundle> verified =
        verify_bundle(stored, t.n.settings.trusted_keys, t.n.settings.trust.signers_required);
    if (!succeeded(verified)) {
        log_refused_bundle(t, error_of(verified));
        return;
    }
    offer_candidate(follow_of(t), first_candidate{value_of(verified).content.head.version, stored});
}

/// Asks the table, the seeds and some members for the newest bundle, while no
/// bundle is in force.
void request_initial_bundle(step_context &t)
{
    bundle_follow &it = follow_of(t);
    // A plain read may return a stale replica, and a started process doesn't know
    // a minimum version. A conditional write that can't succeed returns the
    // current row.
    if (t.n.bundles.guards.current_first) {
        send_platform_request(t, platform_purpose::bundle_head,
                              table_commit{{row_write{bundle_head_key, impossible_version, ""}}});
    } else {
        send_platform_request(t, platform_purpose::bundle_head, table_read{{bundle_head_key}});
    }
    it.peers_asked = 0;
    it.peers_answered.clear();
    if (!t.n.bundles.guards.ask_peers) {
        return;
    }
    endpoint self{t.n.settings.listen.address, t.n.settings.listen.peers_port};
    for (const endpoint &seed : t.n.settings.seeds) {
        if (seed != self) {
            send_to_address(t, "", seed, make_frame(wire::bundle_fetch_message{}));
            ++it.peers_asked;
        }
    }
    for (const std::string &peer : sample_members(t, push_fanout)) {
        send_to(t, peer, make_frame(wire::bundle_fetch_message{}));
        ++it.peers_asked;
    }
}

void tick_without_bundle(step_context &t)
{
    bundle_follow &it = follow_of(t);
    if (!it.began_at) {
        it.began_at = t.now;
    }
    if (may_begin(it, t.n.members.members.size() > 1, t.now)) {
        std::string stored = std::move(it.best->stored);
        it.best.reset();
        try_apply_bundle(t, stored);
        return;
    }
    if (t.now >= it.next_ask) {
        it.next_ask = t.now + first_ask_period;
        request_initial_bundle(t);
    }
}

void on_initial_head(step_context &t, const platform_answer &answer)
{
    bundle_follow &it = follow_of(t);
    bool answered =
        answer.status == platform_status::conflict || answer.status == platform_status::done;
    if (!answered) {
        it.table = it.table == table_view::head ? it.table : table_view::unreachable;
        return;
    }
    if (answer.rows.empty()) {
        it.table = table_view::empty;
        return;
    }
    result<bundle_head> head = parse_head(answer.rows.front().value);
    if (!succeeded(head)) {
        log_refused_bundle(t, error_of(head));
        return;
    }
    it.table = table_view::head;
    it.head_version = value_of(head).version;
    if (!it.best || it.best->version < it.head_version) {
        send_platform_request(t, platform_purpose::bundle_object,
                              object_get{bundle_object_name(value_of(head).object)});
    }
}

void on_content(step_context &t, const std::string &from, std::uint64_t version_there,
                const wire::bundle_content_message &message)
{
    bundle_follow &it = follow_of(t);
    std::string stored(message.content.begin(), message.content.end());
    if (!t.n.bundles.in_force) {
        if (!stored.empty() || version_there == 0) {
            it.peers_answered.insert(from);
        }
        if (!stored.empty()) {
            consider_initial_bundle(t, stored);
        }
        return;
    }
    bool expected =
        it.fetch && it.fetch->from.instance == from && it.fetch->version == message.version;
    if (expected) {
        end_fetch(t, stored);
    }
}

void on_fetch(step_context &t, const std::string &from, std::uint64_t version)
{
    wire::bundle_content_message out;
    out.version = version == 0 ? version_in_force(t.n.bundles) : version;
    auto held = t.n.bundles.held.find(out.version);
    if (held != t.n.bundles.held.end()) {
        out.content.assign(held->second.stored.begin(), held->second.stored.end());
    }
    send_to(t, from, make_frame(std::move(out)));
}

}  // namespace

void on_head_answer(step_context &t, const platform_answer &answer)
{
    if (!t.n.bundles.in_force) {
        on_initial_head(t, answer);
        return;
    }
    if (answer.status != platform_status::done || answer.rows.empty()) {
        return;
    }
    result<bundle_head> head = parse_head(answer.rows.front().value);
    if (!succeeded(head)) {
        log_refused_bundle(t, error_of(head));
        return;
    }
    hear_version(follow_of(t), version_in_force(t.n.bundles), value_of(head).version,
                 bundle_source{});
    start_next_fetch(t);
}

void on_bundle_row(step_context &t, const platform_answer &answer)
{
    if (!follow_of(t).fetch || !follow_of(t).fetch->from.instance.empty()) {
        return;
    }
    bool found = answer.status == platform_status::done && !answer.rows.empty();
    result<bundle_head> row =
        found ? parse_head(answer.rows.front().value)
              : result<bundle_head>(error{error_code::not_found, "bundle: no row of the version"});
    if (!succeeded(row)) {
        end_fetch(t, "");
        return;
    }
    send_platform_request(t, platform_purpose::bundle_object,
                          object_get{bundle_object_name(value_of(row).object)});
}

void on_bundle_object(step_context &t, const platform_answer &answer)
{
    std::string stored = answer.status == platform_status::done ? answer.content : "";
    if (!t.n.bundles.in_force) {
        if (!stored.empty()) {
            consider_initial_bundle(t, stored);
        }
        return;
    }
    if (follow_of(t).fetch && follow_of(t).fetch->from.instance.empty()) {
        end_fetch(t, stored);
    }
}

void on_bundle_tick(step_context &t)
{
    if (!t.n.bundles.in_force) {
        tick_without_bundle(t);
        return;
    }
    bundle_follow &it = follow_of(t);
    if (t.now >= it.next_poll) {
        bool first = it.next_poll == time_point{};
        it.next_poll = next_head_poll(it, count_zone_members(t.n), t.n.random, t.now);
        if (!first) {
            send_platform_request(t, platform_purpose::bundle_head, table_read{{bundle_head_key}});
        }
    }
    if (t.now >= it.next_exchange) {
        it.next_exchange = t.now + exchange_period;
        push_version(t, 1);
    }
    expire_fetch(it, t.now);
    start_next_fetch(t);
}

void on_bundle_frame(step_context &t, wire::frame_message &frame)
{
    std::uint64_t own = version_in_force(t.n.bundles);
    if (auto *fetch = frame.payload.Asbundle_fetch()) {
        on_fetch(t, frame.sender, fetch->version);
    }
    if (auto *content = frame.payload.Asbundle_content()) {
        on_content(t, frame.sender, frame.bundle_version, *content);
        if (content->version == 0 && frame.bundle_version < own) {
            // The sender has an older version: the header of the answer contains the newer.
            send_to(t, frame.sender, make_frame(wire::bundle_content_message{}));
        }
    }
    if (!t.n.bundles.in_force || !t.n.bundles.guards.hear_frames) {
        return;
    }
    hear_version(follow_of(t), version_in_force(t.n.bundles), frame.bundle_version,
                 bundle_source{frame.sender});
    start_next_fetch(t);
}

}  // namespace gullstall::internal
