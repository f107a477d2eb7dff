#include "gullstall/src/membership/gossip.hpp"

#include <algorithm>

#include "gullstall/src/membership/gossip_internal.hpp"

namespace gullstall {

namespace {

using gossip::gossip_turn;
using wire::gossip_kind;
using wire::member_state;

constexpr std::size_t probed_successors = 2;
constexpr std::size_t successor_tries = 16;
constexpr std::size_t relays_per_probe = 3;
constexpr std::size_t spread_fan_out = 3;
constexpr std::size_t resync_fan_out = 3;
constexpr duration pause_limit = milliseconds(200);
constexpr duration stale_limit = milliseconds(500);

void send_probe(gossip_turn &t, const std::string &target, std::uint64_t sequence)
{
    gossip::refresh_ring(t.g, t.view);
    wire::gossip_message message;
    message.kind = gossip_kind::ping;
    message.sequence = sequence;
    message.target = target;
    message.digest = t.g.digest;
    gossip::send(t, target, std::move(message));
}

void start_probe(gossip_turn &t, const std::string &target)
{
    std::uint64_t sequence = ++t.g.last_sequence;
    t.g.probes[sequence] = probe{target, t.now};
    send_probe(t, target, sequence);
}

/// Probes the next two members of the ring that are not suspected, so that a
/// crash is seen within one interval whatever the number of members, and one
/// more neighbour in turn.
void start_probes(gossip_turn &t)
{
    gossip::refresh_ring(t.g, t.view);
    std::size_t n = t.g.ring.instances.size();
    std::vector<std::string> targets;
    for (std::size_t distance = 1; distance < n && distance <= successor_tries; ++distance) {
        const std::string &instance = at_distance(t.g.ring, distance);
        if (t.view.members.at(instance).state != member_state::suspect) {
            targets.push_back(instance);
        }
        if (targets.size() == probed_successors) {
            break;
        }
    }
    if (!t.g.neighbours.empty()) {
        const std::string &extra = t.g.neighbours[t.g.next_neighbour++ % t.g.neighbours.size()];
        if (std::find(targets.begin(), targets.end(), extra) == targets.end()) {
            targets.push_back(extra);
        }
    }
    for (const std::string &target : targets) {
        start_probe(t, target);
    }
}

/// Guard against a bad path between two nodes that both live: others try the
/// probe before the member is suspected.
void ask_relays(gossip_turn &t, std::uint64_t sequence, const std::string &target)
{
    gossip::refresh_ring(t.g, t.view);
    std::vector<std::string> helpers;
    for (const std::string &it : t.g.neighbours) {
        if (it != target && t.view.members.at(it).state == member_state::alive) {
            helpers.push_back(it);
        }
    }
    for (std::size_t i = 0; i < relays_per_probe && !helpers.empty(); ++i) {
        std::size_t chosen = draw_below(t.random, helpers.size());
        wire::gossip_message message;
        message.kind = gossip_kind::ping_request;
        message.sequence = sequence;
        message.target = target;
        gossip::send(t, helpers[chosen], std::move(message));
        helpers.erase(helpers.begin() + static_cast<std::ptrdiff_t>(chosen));
    }
}

bool heard_since(const gossip_state &it, const probe &sent)
{
    auto heard = it.heard.find(sent.target);
    return heard != it.heard.end() && heard->second > sent.sent_at;
}

void expire_probes(gossip_turn &t)
{
    const gossip_limits &limits = t.g.limits;
    std::erase_if(t.g.probes, [&](const auto &it) { return heard_since(t.g, it.second); });
    std::vector<std::string> failed;
    std::vector<std::uint64_t> ask_others;
    for (auto &[sequence, it] : t.g.probes) {
        duration waited = t.now - it.sent_at;
        if (waited >= limits.direct_timeout + limits.indirect_timeout) {
            failed.push_back(it.target);
        } else if (!it.indirect && waited >= limits.direct_timeout && limits.indirect_probes) {
            it.indirect = true;
            ask_others.push_back(sequence);
        }
    }
    std::erase_if(t.g.probes, [&](const auto &it) {
        return t.now - it.second.sent_at >= limits.direct_timeout + limits.indirect_timeout;
    });
    for (std::uint64_t sequence : ask_others) {
        const std::string target = t.g.probes.at(sequence).target;
        ask_relays(t, sequence, target);
    }
    for (const std::string &target : failed) {
        gossip::suspect_member(t, target);
    }
    std::erase_if(t.g.relayed, [&](const auto &it) {
        return t.now - it.second.sent_at > limits.direct_timeout + limits.indirect_timeout;
    });
}

/// Guard against a pause of the own process that looks like the silence of all
/// others: what waited for an answer waits on by the time that was lost.
void shift_timers(gossip_turn &t, duration lost)
{
    for (auto &[sequence, it] : t.g.probes) {
        it.sent_at += lost;
    }
    for (auto &[instance, until] : t.g.suspected_until) {
        until += lost;
    }
}

void on_ack(gossip_turn &t, const wire::gossip_message &message)
{
    auto waiting = t.g.probes.find(message.sequence);
    if (waiting != t.g.probes.end()) {
        t.g.heard[waiting->second.target] = t.now;
        t.g.probes.erase(waiting);
        return;
    }
    auto relayed = t.g.relayed.find(message.sequence);
    if (relayed == t.g.relayed.end()) {
        return;
    }
    wire::gossip_message answer;
    answer.kind = gossip_kind::ack;
    answer.sequence = relayed->second.sequence;
    std::string origin = relayed->second.origin;
    t.g.relayed.erase(relayed);
    gossip::send(t, origin, std::move(answer));
}

void on_ping_request(gossip_turn &t, const std::string &from, const wire::gossip_message &message)
{
    std::uint64_t sequence = ++t.g.last_sequence;
    t.g.relayed[sequence] = relayed_probe{message.target, from, message.sequence, t.now};
    send_probe(t, message.target, sequence);
}

void dispatch(gossip_turn &t, const std::string &from, const wire::gossip_message &message)
{
    switch (message.kind) {
        case gossip_kind::ping: {
            gossip::compare_digest(t, message);
            wire::gossip_message answer;
            answer.kind = gossip_kind::ack;
            answer.sequence = message.sequence;
            gossip::send(t, from, std::move(answer));
            break;
        }
        case gossip_kind::ack:
            on_ack(t, message);
            break;
        case gossip_kind::ping_request:
            on_ping_request(t, from, message);
            break;
        case gossip_kind::sync:
            if (message.complete) {
                gossip::on_complete(t, from, message);
            } else {
                gossip::on_sync(t, from, message);
            }
            break;
        case gossip_kind::news:
            break;
    }
}

}  // namespace

gossip_state make_gossip(const std::string &self, const member_table &view, gossip_limits limits)
{
    gossip_state out;
    out.self = self;
    out.limits = limits;
    out.allowed_bytes = static_cast<double>(limits.burst_bytes);
    for (const auto &[instance, known] : view.members) {
        out.names[hash_text(instance)] = instance;
    }
    return out;
}

void tick_gossip(gossip_state &it, member_table &view, random_source &random, time_point now,
                 gossip_result &out)
{
    gossip_turn t{it, view, random, now, out};
    bool first = it.last_tick == time_point{};
    if (first) {
        it.started_at = now;
        auto interval = static_cast<std::uint64_t>(it.limits.probe_interval.count());
        it.next_probe = now + microseconds(draw_below(random, interval));
        it.next_sync = it.next_probe;
        interval = static_cast<std::uint64_t>(it.limits.contact_interval.count());
        it.next_contact = now + microseconds(draw_below(random, interval));
        it.refilled_at = now;
    } else if (now - it.last_tick > pause_limit && it.limits.notice_pauses) {
        shift_timers(t, now - it.last_tick);
    }
    it.last_tick = now;
    expire_probes(t);
    gossip::expire_suspicions(t);
    if (now >= it.next_probe && it.limits.probes) {
        it.next_probe = now + it.limits.probe_interval;
        start_probes(t);
    }
    if (now >= it.next_spread && !it.news.empty()) {
        it.next_spread = now + it.limits.spread_interval;
        gossip::spread_news(t, spread_fan_out);
    }
    if (now >= it.next_sync) {
        gossip::tick_sync(t);
    }
    if (now >= it.next_contact) {
        it.next_contact = now + it.limits.contact_interval;
        gossip::contact_dead(t);
    }
}

void take_gossip(gossip_state &it, member_table &view, random_source &random, time_point now,
                 const std::string &from, const wire::gossip_message &message, gossip_result &out)
{
    gossip_turn t{it, view, random, now, out};
    std::size_t lacked = it.unknown.size();
    for (const auto &about : message.members) {
        gossip::consider_member(t, *about);
    }
    for (const wire::member_change &about : message.changes) {
        gossip::consider_change(t, about);
    }
    bool first_contact = message.kind == gossip_kind::sync && message.target.empty();
    if (!first_contact) {
        it.heard[from] = now;
    }
    bool answers_resync = it.resync_sequence != 0 && message.sequence == it.resync_sequence &&
                          (message.kind == gossip_kind::ack || message.complete);
    if (answers_resync) {
        it.stale_until = time_point{};
        it.resync_sequence = 0;
    }
    if (gossip::find_member(view, from) == nullptr) {
        it.heard.erase(from);
        it.unknown.insert(hash_text(from));
        return;  // no address to answer to
    }
    dispatch(t, from, message);
    if (it.unknown.size() > lacked || (!it.unknown.empty() && !message.members.empty())) {
        gossip::ask_unknown(t, from);
    }
    if (!message.wanted.empty()) {
        gossip::answer_wanted(t, from, message);
    }
}

void announce_self(gossip_state &it, member_table &view, random_source &random, time_point now,
                   gossip_result &out)
{
    gossip_turn t{it, view, random, now, out};
    it.ring_known = false;
    gossip::queue_news(t, it.self, false);
    gossip::spread_news(t, spread_fan_out);
    it.next_spread = now + it.limits.spread_interval;
}

void note_unreachable(gossip_state &it, member_table &view, random_source &random, time_point now,
                      const std::string &instance, gossip_result &out)
{
    gossip_turn t{it, view, random, now, out};
    const member *known = gossip::find_member(view, instance);
    if (known == nullptr || known->state != member_state::alive) {
        return;
    }
    auto targets = [&](const auto &entry) { return entry.second.target == instance; };
    // Guard against a flood: a relay that cannot reach the target must not start
    // a probe with relays of its own.
    bool waits = std::any_of(it.probes.begin(), it.probes.end(), targets) ||
                 std::any_of(it.relayed.begin(), it.relayed.end(), targets);
    if (!waits) {
        start_probe(t, instance);
    }
}

void note_pause(gossip_state &it, member_table &view, random_source &random, time_point now,
                gossip_result &out)
{
    gossip_turn t{it, view, random, now, out};
    it.probes.clear();
    it.relayed.clear();
    it.news.clear();
    for (auto &[instance, until] : it.suspected_until) {
        until = now + it.limits.suspicion;
    }
    it.last_tick = now;
    ++view.members.at(it.self).version;
    it.ring_known = false;
    gossip::queue_news(t, it.self, false);
    gossip::refresh_ring(it, view);
    it.stale_until = now + stale_limit;
    it.resync_sequence = ++it.last_sequence;
    for (std::size_t i = 0; i < std::min(resync_fan_out, it.neighbours.size()); ++i) {
        const std::string to = it.neighbours[i];
        gossip::ask_sync(t, to, it.resync_sequence);
    }
}

gossip_send first_contact(gossip_state &it, const member_table &view, const endpoint &to)
{
    gossip::refresh_ring(it, view);
    gossip_send out;
    out.to = to;
    out.message.kind = gossip_kind::sync;
    out.message.digest = it.digest;
    out.message.members.push_back(std::make_unique<member>(view.members.at(it.self)));
    return out;
}

std::size_t ring_size(gossip_state &it, const member_table &view)
{
    gossip::refresh_ring(it, view);
    return it.ring.instances.size();
}

}  // namespace gullstall
