#include <algorithm>
#include <bit>

#include "gullstall/src/membership/gossip_internal.hpp"

namespace gullstall {

namespace {

constexpr std::size_t frame_bytes = 160;  // an empty gossip frame, its length and names
constexpr std::size_t whole_member_bytes = 180;

}  // namespace

std::size_t estimate_bytes(const wire::gossip_message &message)
{
    return frame_bytes + message.changes.size() * sizeof(wire::member_change) +
           message.wanted.size() * sizeof(std::uint64_t) +
           message.members.size() * whole_member_bytes;
}

namespace gossip {

namespace {

using wire::gossip_kind;
using wire::member_state;

constexpr std::size_t news_bytes_per_frame = 1200;  // with the frame below one packet
constexpr std::uint32_t extra_sends = 3;            // beyond log2(n), against lost frames
constexpr std::size_t wanted_per_frame = 128;
constexpr duration unknown_interval = milliseconds(200);
constexpr double contacts_per_zone = 4;

wire::gossip_message message_of(const gossip_turn &t, gossip_kind kind)
{
    refresh_ring(t.g, t.view);
    wire::gossip_message out;
    out.kind = kind;
    out.digest = t.g.digest;
    return out;
}

void add_member(wire::gossip_message &message, const member &it)
{
    message.members.push_back(std::make_unique<member>(it));
}

/// Adds the news that were passed on least, as far as the allowance goes.
void add_news(gossip_turn &t, wire::gossip_message &message)
{
    if (!t.g.limits.pass_on_news) {
        return;
    }
    std::vector<std::map<std::string, member_news>::iterator> order;
    for (auto it = t.g.news.begin(); it != t.g.news.end(); ++it) {
        order.push_back(it);
    }
    std::stable_sort(order.begin(), order.end(), [](const auto &a, const auto &b) {
        return a->second.sends_left > b->second.sends_left;
    });
    std::size_t used = 0;
    for (auto it : order) {
        std::size_t n = it->second.whole ? whole_member_bytes : sizeof(wire::member_change);
        if (used + n > news_bytes_per_frame || !spend_bytes(t, n, t.g.limits.sync_reserve_bytes)) {
            return;
        }
        used += n;
        const member &about = t.view.members.at(it->first);
        if (it->second.whole) {
            add_member(message, about);
        } else {
            message.changes.push_back(change_of(about));
        }
        if (--it->second.sends_left == 0) {
            t.g.news.erase(it);
        }
    }
}

std::size_t zone_size(const gossip_turn &t)
{
    const std::string &zone = t.view.members.at(t.g.self).zone;
    return static_cast<std::size_t>(
        std::count_if(t.view.members.begin(), t.view.members.end(), [&](const auto &it) {
            return it.second.zone == zone && it.second.state != member_state::dead;
        }));
}

}  // namespace

bool spend_bytes(gossip_turn &t, std::size_t n, std::size_t reserve)
{
    constexpr double microseconds_per_second = 1e6;
    double passed = static_cast<double>((t.now - t.g.refilled_at).count());
    double rate = static_cast<double>(t.g.limits.bytes_per_second) / microseconds_per_second;
    t.g.allowed_bytes =
        std::min(static_cast<double>(t.g.limits.burst_bytes), t.g.allowed_bytes + passed * rate);
    t.g.refilled_at = t.now;
    if (t.g.allowed_bytes < static_cast<double>(n + reserve)) {
        return false;
    }
    t.g.allowed_bytes -= static_cast<double>(n);
    return true;
}

void queue_news(gossip_turn &t, const std::string &instance, bool whole)
{
    auto sends = static_cast<std::uint32_t>(std::bit_width(t.view.members.size())) + extra_sends;
    member_news &entry = t.g.news[instance];
    entry.sends_left = sends;
    entry.whole = entry.whole || whole;
    t.g.next_spread = std::min(t.g.next_spread, t.now);
}

void send(gossip_turn &t, const std::string &to, wire::gossip_message message)
{
    const member *known = find_member(t.view, to);
    if (known == nullptr || to == t.g.self) {
        return;
    }
    if (t.g.heard.count(to) == 0) {
        add_member(message, t.view.members.at(t.g.self));  // it may not know this node
    }
    bool grave = known->state == member_state::suspect || known->state == member_state::dead;
    if (grave) {
        message.changes.push_back(change_of(*known));  // so that it can refute
    }
    if (message.kind != gossip_kind::sync) {
        add_news(t, message);
    }
    t.out.sends.push_back(gossip_send{to, {}, std::move(message)});
}

void spread_news(gossip_turn &t, std::size_t fan_out)
{
    refresh_ring(t.g, t.view);
    for (std::size_t i = 0; i < fan_out && !t.g.neighbours.empty() && !t.g.news.empty(); ++i) {
        const std::string to = t.g.neighbours[draw_below(t.random, t.g.neighbours.size())];
        if (spend_bytes(t, frame_bytes, t.g.limits.sync_reserve_bytes)) {
            send(t, to, message_of(t, gossip_kind::news));
        }
    }
}

void ask_sync(gossip_turn &t, const std::string &to, std::uint64_t sequence)
{
    wire::gossip_message message = message_of(t, gossip_kind::sync);
    message.sequence = sequence;
    message.target = to;
    send(t, to, std::move(message));
}

void on_sync(gossip_turn &t, const std::string &from, const wire::gossip_message &message)
{
    refresh_ring(t.g, t.view);
    if (message.digest == t.g.digest) {
        wire::gossip_message answer = message_of(t, gossip_kind::ack);
        answer.sequence = message.sequence;
        send(t, from, std::move(answer));
        return;
    }
    wire::gossip_message answer = message_of(t, gossip_kind::sync);
    answer.sequence = message.sequence;
    answer.target = from;
    answer.complete = true;
    for (const auto &[instance, known] : t.view.members) {
        answer.changes.push_back(change_of(known));
    }
    if (spend_bytes(t, estimate_bytes(answer))) {
        send(t, from, std::move(answer));
    }
}

void ask_unknown(gossip_turn &t, const std::string &from)
{
    wire::gossip_message message = message_of(t, gossip_kind::news);
    for (std::uint64_t hash : t.g.unknown) {
        if (message.wanted.size() == wanted_per_frame) {
            break;
        }
        message.wanted.push_back(hash);
    }
    if (!message.wanted.empty()) {
        send(t, from, std::move(message));
    }
}

void on_complete(gossip_turn &t, const std::string &from, const wire::gossip_message &message)
{
    wire::gossip_message answer = message_of(t, gossip_kind::news);
    std::set<std::uint64_t> named;
    for (const wire::member_change &it : message.changes) {
        named.insert(it.instance());
        auto name = t.g.names.find(it.instance());
        const member *known = name == t.g.names.end() ? nullptr : find_member(t.view, name->second);
        if (known == nullptr) {
            continue;
        }
        member theirs = *known;
        theirs.incarnation = it.incarnation();
        theirs.version = it.version();
        theirs.state = it.state();
        if (!is_newer(*known, theirs)) {
            continue;
        }
        if (known->incarnation != theirs.incarnation) {
            add_member(answer, *known);
        } else {
            answer.changes.push_back(change_of(*known));
        }
    }
    for (const auto &[instance, known] : t.view.members) {
        bool missing = named.count(hash_text(instance)) == 0;
        if (missing && known.state != member_state::dead &&
            answer.members.size() < wanted_per_frame) {
            add_member(answer, known);
        }
    }
    bool empty = answer.changes.empty() && answer.members.empty();
    if (!empty && spend_bytes(t, estimate_bytes(answer))) {
        send(t, from, std::move(answer));
    }
}

void answer_wanted(gossip_turn &t, const std::string &from, const wire::gossip_message &message)
{
    wire::gossip_message answer = message_of(t, gossip_kind::news);
    for (std::uint64_t hash : message.wanted) {
        auto name = t.g.names.find(hash);
        const member *known = name == t.g.names.end() ? nullptr : find_member(t.view, name->second);
        if (known == nullptr || !spend_bytes(t, whole_member_bytes)) {
            continue;
        }
        add_member(answer, *known);
    }
    if (!answer.members.empty()) {
        send(t, from, std::move(answer));
    }
}

void contact_dead(gossip_turn &t)
{
    if (!t.g.limits.contact_dead || t.g.dead_since.empty()) {
        return;
    }
    if (draw_fraction(t.random) * static_cast<double>(zone_size(t)) > contacts_per_zone) {
        return;
    }
    // Guard against sides of a cut that stay apart: each holds the other for
    // dead and would never probe it again. A few nodes of each zone go on trying.
    auto it = t.g.dead_since.begin();
    std::advance(it, static_cast<std::ptrdiff_t>(draw_below(t.random, t.g.dead_since.size())));
    const std::string to = it->first;
    ask_sync(t, to, 0);
}

void compare_digest(gossip_turn &t, const wire::gossip_message &message)
{
    refresh_ring(t.g, t.view);
    // Guard against news that missed a node: it would lack a member until its
    // turn to compare tables comes. While news are under way views differ anyway,
    // unless the byte budget holds them up.
    auto reserve = static_cast<double>(t.g.limits.sync_reserve_bytes);
    bool under_way = !t.g.news.empty() && t.g.allowed_bytes > reserve + news_bytes_per_frame;
    if (t.g.limits.sync_early && message.digest != t.g.digest && !under_way) {
        t.g.next_sync = std::min(t.g.next_sync, t.g.last_sync + t.g.limits.early_sync_interval);
    }
}

void tick_sync(gossip_turn &t)
{
    t.g.last_sync = t.now;
    refresh_ring(t.g, t.view);
    bool lacks = !t.g.unknown.empty();
    t.g.next_sync = t.now + (lacks ? unknown_interval : t.g.limits.sync_interval);
    if (t.g.neighbours.empty()) {
        return;
    }
    const std::string to = t.g.neighbours[draw_below(t.random, t.g.neighbours.size())];
    ask_sync(t, to, 0);
    if (lacks) {
        ask_unknown(t, to);
    }
}

}  // namespace gossip
}  // namespace gullstall
