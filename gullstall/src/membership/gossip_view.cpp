#include <algorithm>
#include <tuple>

#include "gullstall/src/membership/gossip_internal.hpp"

namespace gullstall::gossip {

namespace {

using wire::member_state;

constexpr std::uint32_t least_sends = 3;  // of news that others have heard already

/// What two views must agree on. Suspicions count, since a node that missed one
/// would know of a crash too late; the dead do not, since each node forgets them
/// in its own time.
std::uint64_t digest_term(const member &it)
{
    constexpr std::uint64_t spread = 0x9e3779b97f4a7c15ULL;
    std::uint64_t h = hash_text(it.instance);
    h = (h ^ it.incarnation) * spread;
    h = (h ^ (h >> 29U) ^ it.version) * spread;
    h = (h ^ static_cast<std::uint64_t>(it.state)) * spread;
    return h ^ (h >> 32U);
}

/// Time after the start in which news of a later incarnation are of the process before: the
/// others still take it for alive, and the clock was set back in between.
constexpr duration predecessor_news_time = seconds(5);

bool has_just_started(const gossip_turn &t)
{
    return t.g.started_at == time_point{} || t.now - t.g.started_at < predecessor_news_time;
}

/// Guard against a false death: a member that was paused or whose frames were
/// lost hears that it is suspected, and answers with a version above the
/// rumour's. Without it every rumour of a death would be final.
void refute(gossip_turn &t, std::uint64_t incarnation, std::uint64_t version, member_state state)
{
    member &own = t.view.members.at(t.g.self);
    bool grave = state == member_state::suspect || state == member_state::dead;
    bool same = incarnation == own.incarnation && version == own.version;
    if (std::tie(incarnation, version) < std::tie(own.incarnation, own.version) ||
        (same && (!grave || state <= own.state))) {
        return;
    }
    if (incarnation > own.incarnation) {
        if (state == member_state::alive && !has_just_started(t)) {
            t.g.superseded = true;
            return;
        }
        own.incarnation = incarnation + 1;  // the clock was set back between two processes
    }
    if (!t.g.limits.refute) {
        return;
    }
    own.version = version + 1;
    t.g.ring_known = false;
    queue_news(t, t.g.self, false);
}

/// News that come back are known to others already: they are passed on less.
void hear_again(gossip_turn &t, const std::string &instance)
{
    auto entry = t.g.news.find(instance);
    if (entry != t.g.news.end() && entry->second.sends_left > least_sends) {
        --entry->second.sends_left;
    }
}

void keep_timers(gossip_turn &t, const member &it)
{
    if (it.state == member_state::suspect) {
        t.g.suspected_until.try_emplace(it.instance, t.now + t.g.limits.suspicion);
    } else {
        t.g.suspected_until.erase(it.instance);
    }
    if (it.state == member_state::dead) {
        t.g.dead_since.try_emplace(it.instance, t.now);
        t.g.heard.erase(it.instance);
        t.g.news.erase(it.instance);
    } else {
        t.g.dead_since.erase(it.instance);
    }
}

}  // namespace

member *find_member(member_table &view, const std::string &instance)
{
    auto found = view.members.find(instance);
    return found == view.members.end() ? nullptr : &found->second;
}

wire::member_change change_of(const member &it)
{
    return wire::member_change(hash_text(it.instance), it.incarnation,
                               static_cast<std::uint32_t>(it.version), it.state);
}

void refresh_ring(gossip_state &it, const member_table &view)
{
    if (it.ring_known) {
        return;
    }
    it.ring = make_ring(view, it.self);
    it.neighbours = neighbours_of(it.ring);
    it.digest = 0;
    for (const std::string &instance : it.ring.instances) {
        it.digest ^= digest_term(view.members.at(instance));
    }
    it.ring_known = true;
}

void set_member(gossip_turn &t, const member &news)
{
    std::optional<member_state> before;
    bool whole = true;
    if (const member *known = find_member(t.view, news.instance)) {
        before = known->state;
        whole = known->incarnation != news.incarnation;
        if (whole) {
            t.g.heard.erase(news.instance);  // a new process knows nobody
        }
        if (known->version != news.version || whole) {
            t.g.suspected_until.erase(news.instance);
        }
    }
    std::uint64_t hash = hash_text(news.instance);
    t.g.names[hash] = news.instance;
    bool asked_for = t.g.unknown.erase(hash) > 0;
    t.g.ring_known = false;
    t.view.members[news.instance] = news;
    keep_timers(t, news);
    if (before != news.state) {
        t.out.changes.push_back(state_change{news.instance, before, news.state});
        t.g.suspicions += news.state == member_state::suspect ? 1 : 0;
        t.g.deaths += news.state == member_state::dead ? 1 : 0;
    }
    // What this node asked for is news to nobody else: a node that joins learns
    // hundreds of members, and passing them all on would fill the byte budget.
    if (news.state != member_state::dead && !asked_for) {
        queue_news(t, news.instance, whole);
    }
}

void consider_member(gossip_turn &t, const member &news)
{
    if (news.instance == t.g.self) {
        refute(t, news.incarnation, news.version, news.state);
        return;
    }
    const member *known = find_member(t.view, news.instance);
    if (known == nullptr) {
        set_member(t, news);
        return;
    }
    if (!is_newer(news, *known)) {
        if (news.version == known->version && news.incarnation == known->incarnation) {
            hear_again(t, news.instance);
        }
        return;
    }
    member next = news;
    bool was_leaving = known->state == member_state::leaving;
    if (news.state == member_state::dead && !was_leaving) {
        // Guard against a rumour that kills: after a cut each side holds the
        // other for dead. The member gets the time of a suspicion to refute.
        next.state = member_state::suspect;
        if (!is_newer(next, *known)) {
            return;
        }
    }
    set_member(t, next);
}

void consider_change(gossip_turn &t, const wire::member_change &news)
{
    auto name = t.g.names.find(news.instance());
    const member *known = name == t.g.names.end() ? nullptr : find_member(t.view, name->second);
    if (known == nullptr || (news.incarnation() > known->incarnation && name->second != t.g.self)) {
        if (news.state() != member_state::dead) {
            t.g.unknown.insert(news.instance());
        }
        return;
    }
    member next = *known;
    next.incarnation = news.incarnation();
    next.version = news.version();
    next.state = news.state();
    consider_member(t, next);
}

void suspect_member(gossip_turn &t, const std::string &instance)
{
    const member *known = find_member(t.view, instance);
    if (known == nullptr || instance == t.g.self) {
        return;
    }
    t.g.heard.erase(instance);  // it may be silent because it does not know this node
    member next = *known;
    if (known->state == member_state::alive) {
        next.state = member_state::suspect;
        set_member(t, next);
    } else if (known->state == member_state::leaving) {
        next.state = member_state::dead;
        set_member(t, next);
    }
}

void expire_suspicions(gossip_turn &t)
{
    std::vector<std::string> ended;
    for (const auto &[instance, until] : t.g.suspected_until) {
        if (until <= t.now) {
            ended.push_back(instance);
        }
    }
    for (const std::string &instance : ended) {
        member next = t.view.members.at(instance);
        next.state = member_state::dead;
        set_member(t, next);
    }
    std::erase_if(t.g.dead_since, [&](const auto &it) {
        bool old = it.second + t.g.limits.dead_memory <= t.now;
        if (old) {
            t.view.members.erase(it.first);
            t.g.names.erase(hash_text(it.first));
        }
        return old;
    });
}

}  // namespace gullstall::gossip
