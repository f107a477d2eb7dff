#include "gullstall/src/route/router.hpp"

#include <algorithm>

namespace gullstall {

namespace {

constexpr double latency_weight = 0.1;
constexpr std::uint32_t failures_to_eject = 3;
constexpr duration ejection = seconds(5);
constexpr duration leaving_memory = seconds(30);

double estimated_wait(const router &it, const std::string &instance)
{
    auto record = it.upstreams.find(instance);
    if (record == it.upstreams.end()) {
        return 0;
    }
    return (record->second.in_flight + 1) * (record->second.latency_us + 1);
}

/// Longer wait that the own zone's nearness is worth.
constexpr duration zone_advantage = milliseconds(2);

/// Difference in wait, beyond that, at which every second call goes to another
/// zone. All callers see the same waits: more would move the queue and not
/// level it.
constexpr double full_spill_us = 20000;
constexpr double most_spilled = 0.5;

duration queue_wait(const router &it, const std::string &instance)
{
    auto record = it.upstreams.find(instance);
    return record == it.upstreams.end() ? duration{} : record->second.queue_wait;
}

bool is_leaving(const router &it, const std::string &instance, time_point now)
{
    auto record = it.upstreams.find(instance);
    return record != it.upstreams.end() && now < record->second.leaving_until;
}

bool is_ejected(const router &it, const std::string &instance, time_point now)
{
    auto record = it.upstreams.find(instance);
    return record != it.upstreams.end() && now < record->second.ejected_until;
}

/// Takes out ejected upstreams, unless they are more than half: then the signal
/// is what is wrong (a caller cut off, a bad request), and following it would
/// leave a healthy service without upstreams.
void drop_ejected(const router &it, std::vector<const member *> &candidates, time_point now)
{
    auto ejected = [&](const member *m) { return is_ejected(it, m->instance, now); };
    auto n = std::count_if(candidates.begin(), candidates.end(), ejected);
    if (static_cast<std::size_t>(n) * 2 <= candidates.size()) {
        candidates.erase(std::remove_if(candidates.begin(), candidates.end(), ejected),
                         candidates.end());
    }
}

std::optional<std::string> better_of_two(const router &it,
                                         const std::vector<const member *> &candidates,
                                         random_source &random)
{
    if (candidates.empty()) {
        return std::nullopt;
    }
    const member *a = candidates[draw_below(random, candidates.size())];
    const member *b = candidates[draw_below(random, candidates.size())];
    return estimated_wait(it, a->instance) <= estimated_wait(it, b->instance) ? a->instance
                                                                              : b->instance;
}

bool spills_over(const router &it, const std::string &nearby, const std::string &elsewhere,
                 random_source &random)
{
    duration more = queue_wait(it, nearby) - queue_wait(it, elsewhere) - zone_advantage;
    double share = most_spilled * static_cast<double>(more.count()) / full_spill_us;
    return draw_fraction(random) < std::min(share, most_spilled);
}

}  // namespace

std::optional<std::string> choose_upstream(const router &it, const member_table &members,
                                           const route_request &request, random_source &random,
                                           time_point now)
{
    std::vector<const member *> all;
    for (const member *candidate : upstreams_of(members, request.service)) {
        bool tried = std::find(request.tried.begin(), request.tried.end(), candidate->instance) !=
                     request.tried.end();
        if (!tried && !is_leaving(it, candidate->instance, now)) {
            all.push_back(candidate);
        }
    }
    drop_ejected(it, all, now);
    std::vector<const member *> near;
    std::vector<const member *> far;
    for (const member *candidate : all) {
        (candidate->zone == request.own_zone ? near : far).push_back(candidate);
    }
    auto nearby = better_of_two(it, near, random);
    auto elsewhere = better_of_two(it, far, random);
    if (!nearby || !elsewhere) {
        return nearby ? nearby : elsewhere;
    }
    return spills_over(it, *nearby, *elsewhere, random) ? elsewhere : nearby;
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
    auto us = static_cast<double>(took.count());
    record.latency_us =
        record.latency_us == 0 ? us : record.latency_us + latency_weight * (us - record.latency_us);
}

void note_queue_wait(router &it, const std::string &instance, duration wait)
{
    it.upstreams[instance].queue_wait = wait;
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
