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

bool is_usable(const router &it, const std::string &instance, time_point now)
{
    auto record = it.upstreams.find(instance);
    return record == it.upstreams.end() ||
           (now >= record->second.ejected_until && now >= record->second.leaving_until);
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

}  // namespace

std::optional<std::string> choose_upstream(const router &it, const member_table &members,
                                           const route_request &request, random_source &random,
                                           time_point now)
{
    std::vector<const member *> near;
    std::vector<const member *> all;
    for (const member *candidate : upstreams_of(members, request.service)) {
        bool tried = std::find(request.tried.begin(), request.tried.end(), candidate->instance) !=
                     request.tried.end();
        if (tried || !is_usable(it, candidate->instance, now)) {
            continue;
        }
        all.push_back(candidate);
        if (candidate->zone == request.own_zone) {
            near.push_back(candidate);
        }
    }
    return better_of_two(it, near.empty() ? all : near, random);
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
