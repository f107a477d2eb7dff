#include "gullstall/src/route/router.hpp"

#include <algorithm>
#include <cmath>

namespace gullstall {

namespace {

/// Weight of the latest answer in the moving average of answers' times.
constexpr double latency_weight = 0.1;

/// Weight of the latest call in the moving share of refused calls.
constexpr double refusal_weight = 0.1;

/// What a refused call counts for, in times of an answered one.
constexpr double refusal_cost = 10;

/// Time in which the news of refusals loses half its weight.
constexpr duration refusal_half_life = milliseconds(500);

constexpr std::uint32_t failures_to_eject = 3;
constexpr duration ejection = seconds(5);
constexpr duration leaving_memory = seconds(30);

/// The share of a service's upstreams that may be ejected at a time. Beyond it
/// failures are more likely this node's own or the network's.
constexpr double max_ejected_share = 0.5;

/// A new upstream is cold: its share of calls grows over this time.
constexpr duration slow_start = seconds(10);
constexpr double least_start_share = 0.1;

/// The own zone is left when another one is estimated to answer sooner by this
/// factor and this much.
constexpr double spill_factor = 1.5;
constexpr double spill_margin_us = 2000;

/// Longer wait for a slot that the own zone's nearness is worth.
constexpr duration zone_advantage = milliseconds(2);

/// Difference in wait, beyond that, at which every second call goes to another
/// zone. All callers see the same waits: more would move the queue and not
/// level it.
constexpr double full_spill_us = 20000;
constexpr double most_spilled = 0.5;

/// Answers' time of an upstream that has not answered yet, microseconds.
constexpr double unknown_latency_us = 1000;

bool is_ejected(const upstream_record &it, time_point now)
{
    return now < it.ejected_until;
}

/// \returns the share of calls that the upstream is given while it is new
double start_share(const upstream_record &it, time_point now)
{
    auto age = static_cast<double>((now - it.since).count());
    double share = age / static_cast<double>(slow_start.count());
    return std::clamp(share, least_start_share, 1.0);
}

/// \returns the share of calls that the upstream refuses, as far as the news is
/// fresh. It fades: an upstream that is passed over gives no news of itself, and
/// a zone's only one would otherwise be left for others that may be cut off.
double refusals_of(const upstream_record &it, time_point now)
{
    auto age = static_cast<double>((now - it.refused_at).count());
    return it.refused_share * std::exp2(-age / static_cast<double>(refusal_half_life.count()));
}

/// \returns how long an answer takes, microseconds, made longer by refusals and
/// a cold start
double answer_time(const upstream_record &it, double usual_us, time_point now)
{
    double latency = it.latency_us == 0 ? usual_us : it.latency_us;
    double refusals = 1.0 + refusals_of(it, now) * refusal_cost;
    return latency * refusals / start_share(it, now);
}

struct candidate
{
    const member *upstream;
    const upstream_record *record;
};

/// \returns the usual time of an answer among \a candidates
double usual_latency(const std::vector<candidate> &candidates)
{
    double sum = 0;
    double n = 0;
    for (const candidate &it : candidates) {
        sum += it.record->latency_us;
        n += it.record->latency_us > 0 ? 1 : 0;
    }
    return n == 0 ? unknown_latency_us : sum / n;
}

struct choice
{
    const candidate *chosen;
    double time_us;  ///< in which an answer is expected
};

/// Of two at random the one with less work in flight from here. What this node
/// has in flight is the only news of an upstream that is never old.
choice better_of_two(const std::vector<candidate> &candidates, double usual_us,
                     random_source &random, time_point now)
{
    std::size_t n = candidates.size();
    std::size_t i = draw_below(random, n);
    std::size_t k = n == 1 ? i : (i + 1 + draw_below(random, n - 1)) % n;
    const candidate &a = candidates[i];
    const candidate &b = candidates[k];
    double time_a = answer_time(*a.record, usual_us, now);
    double time_b = answer_time(*b.record, usual_us, now);
    double work_a = time_a * (a.record->in_flight + 1);
    double work_b = time_b * (b.record->in_flight + 1);
    return work_a <= work_b ? choice{&a, time_a} : choice{&b, time_b};
}

/// \returns how much longer an answer takes for the calls in flight from here
double load_factor(const candidate &it)
{
    double slots = std::max<std::uint32_t>(it.upstream->slots, 1);
    return 1.0 + it.record->in_flight / slots;
}

bool spills_over(const choice &near, const choice &far, bool keep_near, random_source &random)
{
    double near_us = near.time_us * load_factor(*near.chosen);
    double far_us = far.time_us * load_factor(*far.chosen);
    if (!keep_near && far_us * spill_factor + spill_margin_us < near_us) {
        return true;
    }
    duration more =
        near.chosen->record->queue_wait - far.chosen->record->queue_wait - zone_advantage;
    double share = most_spilled * static_cast<double>(more.count()) / full_spill_us;
    return draw_fraction(random) < std::min(share, most_spilled);
}

/// \returns the record of a member; a member that is new, or came back as a new
/// incarnation, starts slowly and without the failures of the one before
upstream_record &record_of(router &it, const member &upstream, time_point now)
{
    upstream_record &record = it.upstreams[upstream.instance];
    if (record.incarnation != upstream.incarnation) {
        std::uint32_t in_flight = record.in_flight;
        record = upstream_record{};
        record.in_flight = in_flight;
        record.incarnation = upstream.incarnation;
        record.since = now;
    }
    return record;
}

/// Takes ejected candidates out, but never more than a share of all.
void drop_ejected(std::vector<candidate> &candidates, time_point now)
{
    auto ejected = std::count_if(candidates.begin(), candidates.end(),
                                 [&](const candidate &it) { return is_ejected(*it.record, now); });
    auto allowed = max_ejected_share * static_cast<double>(candidates.size());
    if (static_cast<double>(ejected) <= allowed) {
        std::erase_if(candidates, [&](const candidate &it) { return is_ejected(*it.record, now); });
    }
}

/// \returns the candidates inside \a zone, or those outside
std::vector<candidate> in_zone(const std::vector<candidate> &candidates, const std::string &zone,
                               bool inside)
{
    std::vector<candidate> out;
    std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(out),
                 [&](const candidate &it) { return (it.upstream->zone == zone) == inside; });
    return out;
}

std::vector<candidate> find_candidates(router &it, const member_table &members,
                                       const route_request &request, time_point now)
{
    std::vector<candidate> out;
    for (const member *upstream : upstreams_of(members, request.service)) {
        const upstream_record &record = record_of(it, *upstream, now);
        bool tried = std::find(request.tried.begin(), request.tried.end(), upstream->instance) !=
                     request.tried.end();
        if (!tried && now >= record.leaving_until) {
            out.push_back(candidate{upstream, &record});
        }
    }
    return out;
}

}  // namespace

std::optional<std::string> choose_upstream(router &it, const member_table &members,
                                           const route_request &request, random_source &random,
                                           time_point now)
{
    std::vector<candidate> all = find_candidates(it, members, request, now);
    if (all.empty()) {
        return std::nullopt;
    }
    double usual_us = usual_latency(all);
    std::vector<candidate> kept = all;
    drop_ejected(kept, now);
    std::vector<candidate> near = in_zone(kept, request.own_zone, true);
    std::vector<candidate> far = in_zone(kept, request.own_zone, false);
    if (near.empty() && request.keep_near) {
        // All of the own zone's upstreams failed of late. One of them still
        // serves a zone that is cut off, where the others only seem to be there.
        near = in_zone(all, request.own_zone, true);
    }
    if (near.empty()) {
        return better_of_two(far, usual_us, random, now).chosen->upstream->instance;
    }
    choice best = better_of_two(near, usual_us, random, now);
    if (!far.empty()) {
        choice other = better_of_two(far, usual_us, random, now);
        if (spills_over(best, other, request.keep_near, random)) {
            best = other;
        }
    }
    return best.chosen->upstream->instance;
}

void note_sent(router &it, const std::string &instance)
{
    ++it.upstreams[instance].in_flight;
}

void note_answered(router &it, const std::string &instance, duration took)
{
    upstream_record &record = it.upstreams[instance];
    record.in_flight -= record.in_flight > 0 ? 1 : 0;
    record.failures_in_row = 0;
    record.refused_share -= refusal_weight * record.refused_share;
    auto us = static_cast<double>(took.count());
    record.latency_us =
        record.latency_us == 0 ? us : record.latency_us + latency_weight * (us - record.latency_us);
}

void note_queue_wait(router &it, const std::string &instance, duration wait)
{
    it.upstreams[instance].queue_wait = wait;
}

void note_refused(router &it, const std::string &instance, time_point now)
{
    upstream_record &record = it.upstreams[instance];
    record.in_flight -= record.in_flight > 0 ? 1 : 0;
    record.failures_in_row = 0;
    record.refused_share = refusals_of(record, now);
    record.refused_share += refusal_weight * (1 - record.refused_share);
    record.refused_at = now;
}

void note_ended(router &it, const std::string &instance)
{
    upstream_record &record = it.upstreams[instance];
    record.in_flight -= record.in_flight > 0 ? 1 : 0;
}

void note_failed(router &it, const std::string &instance, time_point now)
{
    upstream_record &record = it.upstreams[instance];
    record.in_flight -= record.in_flight > 0 ? 1 : 0;
    ++record.failures_in_row;
    if (record.failures_in_row >= failures_to_eject) {
        record.ejected_until = now + ejection;
    }
}

void note_leaving(router &it, const std::string &instance, time_point now)
{
    it.upstreams[instance].leaving_until = now + leaving_memory;
}

void note_returned(router &it, const std::string &instance)
{
    auto record = it.upstreams.find(instance);
    if (record != it.upstreams.end()) {
        record->second.leaving_until = time_point{};
    }
}

}  // namespace gullstall
