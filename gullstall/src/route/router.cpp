#include "gullstall/src/route/router.hpp"

#include <algorithm>
#include <cmath>

namespace gullstall {

namespace {

/// Weight of the latest answer in the moving average of the latency.
constexpr double latency_smoothing = 0.1;

/// Weight of the latest call in the moving average of the refusal rate.
constexpr double refusal_smoothing = 0.1;

/// Cost of a refused call, in latencies of an answered one.
constexpr double refusal_cost = 10;

/// Half-life of the observed refusal rate.
constexpr duration refusal_half_life = milliseconds(500);

constexpr std::uint32_t failures_to_eject = 3;
constexpr duration ejection_time = seconds(5);
constexpr duration draining_timeout = seconds(30);

/// Maximum fraction of the upstreams of a service that may be ejected at a time. If
/// more of them fail, the cause is more likely this node or the network.
constexpr double max_ejected_share = 0.5;

/// Time over which the share of calls of a new, cold upstream grows to its full size.
constexpr duration slow_start = seconds(10);
constexpr double min_slow_start_share = 0.1;

/// Another zone is used when its estimated time is shorter than that of the own zone
/// by both this factor and this margin.
constexpr double spill_factor = 1.5;
constexpr double spill_margin_us = 2000;

/// Difference in slot waits up to which the own zone is always preferred.
constexpr duration zone_advantage = milliseconds(2);

/// Difference in slot waits, beyond zone_advantage, at which max_spill_share of the
/// calls go to another zone. All callers see the same waits: with a larger share the
/// queue would move between the zones instead of being balanced.
constexpr double full_spill_us = 20000;
constexpr double max_spill_share = 0.5;

/// Assumed latency of an upstream that has not answered yet, microseconds.
constexpr double default_latency_us = 1000;

bool is_ejected(const upstream_record &record, time_point now)
{
    return now < record.ejected_until;
}

/// \returns the fraction of its full share of calls that the upstream receives during
/// slow start
double slow_start_share(const upstream_record &record, time_point now)
{
    auto age = static_cast<double>((now - record.first_seen).count());
    double share = age / static_cast<double>(slow_start.count());
    return std::clamp(share, min_slow_start_share, 1.0);
}

/// \returns the refusal rate of the upstream, decayed by its age. An upstream that
/// receives no calls reports no new rate. Without the decay, the only upstream of a
/// zone would stay avoided in favour of zones that may be cut off.
double current_refusal_rate(const upstream_record &record, time_point now)
{
    auto age = static_cast<double>((now - record.last_refusal).count());
    return record.refusal_rate * std::exp2(-age / static_cast<double>(refusal_half_life.count()));
}

/// \returns the expected latency, microseconds, increased by refusals and slow start
double expected_latency(const upstream_record &record, double mean_us, time_point now)
{
    double latency = record.latency_us == 0 ? mean_us : record.latency_us;
    double refusal_factor = 1.0 + current_refusal_rate(record, now) * refusal_cost;
    return latency * refusal_factor / slow_start_share(record, now);
}

struct candidate
{
    const member *upstream;
    const upstream_record *record;
};

/// \returns the mean latency of \a candidates
double mean_latency(const std::vector<candidate> &candidates)
{
    double sum = 0;
    double n = 0;
    for (const candidate &entry : candidates) {
        sum += entry.record->latency_us;
        n += entry.record->latency_us > 0 ? 1 : 0;
    }
    return n == 0 ? default_latency_us : sum / n;
}

struct choice
{
    const candidate *chosen;
    double latency_us;  ///< expected latency
};

/// Returns the better of two random candidates: the one with less estimated work in
/// flight from this node. The number of calls in flight is the only information about
/// an upstream that is always current.
choice choose_of_two(const std::vector<candidate> &candidates, double mean_us,
                     random_source &random, time_point now)
{
    std::size_t n = candidates.size();
    std::size_t i = draw_below(random, n);
    std::size_t k = n == 1 ? i : (i + 1 + draw_below(random, n - 1)) % n;
    const candidate &a = candidates[i];
    const candidate &b = candidates[k];
    double time_a = expected_latency(*a.record, mean_us, now);
    double time_b = expected_latency(*b.record, mean_us, now);
    double work_a = time_a * (a.record->in_flight + 1);
    double work_b = time_b * (b.record->in_flight + 1);
    return work_a <= work_b ? choice{&a, time_a} : choice{&b, time_b};
}

/// \returns the factor by which the calls in flight from this node increase latency
double load_factor(const candidate &entry)
{
    double slots = std::max<std::uint32_t>(entry.upstream->slots, 1);
    return 1.0 + entry.record->in_flight / slots;
}

bool spills_over(const choice &local, const choice &remote, bool prefer_own_zone,
                 random_source &random)
{
    double local_us = local.latency_us * load_factor(*local.chosen);
    double remote_us = remote.latency_us * load_factor(*remote.chosen);
    if (!prefer_own_zone && remote_us * spill_factor + spill_margin_us < local_us) {
        return true;
    }
    duration extra_wait =
        local.chosen->record->queue_wait - remote.chosen->record->queue_wait - zone_advantage;
    double share = max_spill_share * static_cast<double>(extra_wait.count()) / full_spill_us;
    return draw_fraction(random) < std::min(share, max_spill_share);
}

/// \returns the record of a member. The record is reset, apart from the calls in
/// flight, when the member is new or has a new incarnation: slow start begins and
/// failures of the previous incarnation are dropped.
upstream_record &record_of(router &routes, const member &upstream, time_point now)
{
    upstream_record &record = routes.upstreams[upstream.instance];
    if (record.incarnation != upstream.incarnation) {
        std::uint32_t in_flight = record.in_flight;
        record = upstream_record{};
        record.in_flight = in_flight;
        record.incarnation = upstream.incarnation;
        record.first_seen = now;
    }
    return record;
}

/// Removes ejected candidates, unless they exceed max_ejected_share.
void remove_ejected(std::vector<candidate> &candidates, time_point now)
{
    auto ejected = std::count_if(candidates.begin(), candidates.end(), [&](const candidate &entry) {
        return is_ejected(*entry.record, now);
    });
    auto max_ejected = max_ejected_share * static_cast<double>(candidates.size());
    if (static_cast<double>(ejected) <= max_ejected) {
        std::erase_if(candidates,
                      [&](const candidate &entry) { return is_ejected(*entry.record, now); });
    }
}

/// \returns the candidates inside \a zone, or those outside of it
std::vector<candidate> filter_by_zone(const std::vector<candidate> &candidates,
                                      const std::string &zone, bool inside)
{
    std::vector<candidate> out;
    std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(out),
                 [&](const candidate &entry) { return (entry.upstream->zone == zone) == inside; });
    return out;
}

std::vector<candidate> find_candidates(router &routes, const member_table &members,
                                       const route_request &request, time_point now)
{
    std::vector<candidate> out;
    for (const member *upstream : upstreams_of(members, request.service)) {
        const upstream_record &record = record_of(routes, *upstream, now);
        bool tried = std::find(request.tried.begin(), request.tried.end(), upstream->instance) !=
                     request.tried.end();
        if (!tried && now >= record.draining_until) {
            out.push_back(candidate{upstream, &record});
        }
    }
    return out;
}

}  // namespace

std::optional<std::string> choose_upstream(router &routes, const member_table &members,
                                           const route_request &request, random_source &random,
                                           time_point now)
{
    std::vector<candidate> all = find_candidates(routes, members, request, now);
    if (all.empty()) {
        return std::nullopt;
    }
    double mean_us = mean_latency(all);
    std::vector<candidate> available = all;
    remove_ejected(available, now);
    std::vector<candidate> local = filter_by_zone(available, request.own_zone, true);
    std::vector<candidate> remote = filter_by_zone(available, request.own_zone, false);
    if (local.empty() && request.prefer_own_zone) {
        // All upstreams of the own zone are ejected. If the zone is cut off, they are
        // still the only ones reachable; those of other zones only appear to be alive.
        local = filter_by_zone(all, request.own_zone, true);
    }
    if (local.empty()) {
        return choose_of_two(remote, mean_us, random, now).chosen->upstream->instance;
    }
    choice best = choose_of_two(local, mean_us, random, now);
    if (!remote.empty()) {
        choice alternative = choose_of_two(remote, mean_us, random, now);
        if (spills_over(best, alternative, request.prefer_own_zone, random)) {
            best = alternative;
        }
    }
    return best.chosen->upstream->instance;
}

void record_sent(router &routes, const std::string &instance)
{
    ++routes.upstreams[instance].in_flight;
}

void record_answer(router &routes, const std::string &instance, duration took)
{
    upstream_record &record = routes.upstreams[instance];
    record.in_flight -= record.in_flight > 0 ? 1 : 0;
    record.consecutive_failures = 0;
    record.refusal_rate -= refusal_smoothing * record.refusal_rate;
    auto us = static_cast<double>(took.count());
    record.latency_us = record.latency_us == 0
                            ? us
                            : record.latency_us + latency_smoothing * (us - record.latency_us);
}

void record_queue_wait(router &routes, const std::string &instance, duration wait)
{
    routes.upstreams[instance].queue_wait = wait;
}

void record_refusal(router &routes, const std::string &instance, time_point now)
{
    upstream_record &record = routes.upstreams[instance];
    record.in_flight -= record.in_flight > 0 ? 1 : 0;
    record.consecutive_failures = 0;
    record.refusal_rate = current_refusal_rate(record, now);
    record.refusal_rate += refusal_smoothing * (1 - record.refusal_rate);
    record.last_refusal = now;
}

void record_abandoned(router &routes, const std::string &instance)
{
    upstream_record &record = routes.upstreams[instance];
    record.in_flight -= record.in_flight > 0 ? 1 : 0;
}

void record_failure(router &routes, const std::string &instance, time_point now)
{
    upstream_record &record = routes.upstreams[instance];
    record.in_flight -= record.in_flight > 0 ? 1 : 0;
    ++record.consecutive_failures;
    if (record.consecutive_failures >= failures_to_eject) {
        record.ejected_until = now + ejection_time;
    }
}

void record_draining(router &routes, const std::string &instance, time_point now)
{
    routes.upstreams[instance].draining_until = now + draining_timeout;
}

void clear_draining(router &routes, const std::string &instance)
{
    auto record = routes.upstreams.find(instance);
    if (record != routes.upstreams.end()) {
        record->second.draining_until = time_point{};
    }
}

}  // namespace gullstall
