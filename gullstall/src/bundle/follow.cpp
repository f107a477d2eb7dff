#include "gullstall/src/bundle/follow.hpp"

#include <algorithm>

namespace gullstall {

duration head_poll_period(std::size_t zone_members)
{
    duration shared = seconds(zone_members) / head_reads_per_zone;
    return std::max(min_poll_period, shared);
}

time_point next_head_poll(const bundle_follow &it, std::size_t zone_members, random_source &random,
                          time_point now)
{
    duration period = head_poll_period(zone_members);
    auto n = static_cast<std::uint64_t>(period.count());
    duration part = it.next_poll == time_point{} ? duration{} : period / 2;
    return now + part + duration(static_cast<duration::rep>(draw_below(random, n)));
}

void hear_version(bundle_follow &it, std::uint64_t in_force, std::uint64_t version,
                  const bundle_source &from)
{
    if (version <= in_force || version < it.target) {
        return;
    }
    it.target = version;
    it.heard_from = from;
}

std::optional<bundle_fetch_order> begin_fetch(bundle_follow &it, std::uint64_t in_force,
                                              time_point now)
{
    if (it.target <= in_force || it.fetch || now < it.retry_at) {
        return std::nullopt;
    }
    bool ask_peer = !it.heard_from.instance.empty() && it.failures % 2 == 0;
    it.fetch = bundle_fetch_order{in_force + 1, ask_peer ? it.heard_from : bundle_source{},
                                  now + (ask_peer ? peer_fetch_timeout : platform_fetch_timeout)};
    return it.fetch;
}

void fetch_succeeded(bundle_follow &it)
{
    it.fetch.reset();
    it.failures = 0;
    it.retry_at = time_point{};
}

void fetch_failed(bundle_follow &it, time_point now)
{
    if (!it.fetch) {
        return;
    }
    // After a peer the platform is asked at once; after the platform a pause.
    bool was_peer = !it.fetch->from.instance.empty();
    it.fetch.reset();
    ++it.failures;
    it.retry_at = was_peer ? now : now + fetch_retry_pause;
    if (it.failures >= max_fetch_failures) {
        // A version that nobody can hand over: a frame with a wrong number, or a
        // peer that has gone. Whoever does have it names it again.
        it.target = 0;
        it.failures = 0;
    }
}

void expire_fetch(bundle_follow &it, time_point now)
{
    if (it.fetch && now >= it.fetch->deadline) {
        fetch_failed(it, now);
    }
}

void offer_candidate(bundle_follow &it, first_candidate candidate)
{
    if (!it.best || candidate.version > it.best->version) {
        it.best = std::move(candidate);
    }
}

bool may_begin(const bundle_follow &it, bool knows_members, time_point now)
{
    if (!it.best || !it.began_at) {
        return false;
    }
    duration waited = now - *it.began_at;
    if (!knows_members && waited < member_wait) {
        return false;
    }
    bool peers_heard = it.peers_answered.size() >= it.peers_asked || waited >= peer_wait;
    switch (it.table) {
        case table_view::unknown:
            return peers_heard && waited >= table_wait;
        case table_view::unreachable:
        case table_view::empty:
            return peers_heard;
        case table_view::head:
            return peers_heard && (it.best->version >= it.head_version || waited >= head_wait);
    }
    return false;
}

}  // namespace gullstall
