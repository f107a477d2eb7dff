#include "gullstall/src/overload/touch_table.hpp"

#include <algorithm>

namespace gullstall {

namespace {

/// Time constant of the level average.
constexpr double averaging_us = 100000;

/// Minimum weight of a reply, for replies in quick succession.
constexpr double min_weight = 0.02;

/// A level not reported for this long starts to rise, so that requests reach the
/// service again: first those of the next ranks, whose replies report its level.
/// Admitting all refused ranks at once would cause a second overload.
constexpr duration level_hold_time = milliseconds(200);
constexpr double rise_per_us = 0.0005;

/// Minimum fraction of the calls of a type that reach a service for the entry node
/// to refuse calls on its behalf. Below one half, most of the refused calls would
/// not have reached the service.
constexpr double min_reach_share = 0.5;
constexpr double smoothing_factor = 0.05;

/// Ranks by which a protected call must exceed the average level to be refused by
/// the entry node; closer to the level the service itself decides.
constexpr double protected_margin = 16;

double estimated_level(const reported_level &reported, time_point now)
{
    duration unreported = now - reported.at - level_hold_time;
    return reported.average +
           rise_per_us * static_cast<double>(std::max(duration{}, unreported).count());
}

bool would_refuse(const reported_level &reported, const entry_request &request, time_point now)
{
    if (request.request_priority.value <= estimated_level(reported, now)) {
        return false;
    }
    // The average lags. A protected call is refused only if it exceeds the average
    // by a margin and the latest reported level refuses it too.
    bool beyond_margin =
        request.request_priority.value > estimated_level(reported, now) + protected_margin;
    return !request.is_protected ||
           (beyond_margin && !admits(reported.latest, request.request_priority));
}

}  // namespace

void record_reported_level(dependency_table &table, const std::string &service,
                           admission_level level, time_point now)
{
    auto [entry, is_new] = table.levels.try_emplace(service);
    reported_level &reported = entry->second;
    auto elapsed = static_cast<double>((now - reported.at).count());
    double weight = is_new ? 1 : std::clamp(elapsed / averaging_us, min_weight, 1.0);
    double estimated = is_new ? 0 : estimated_level(reported, now);
    reported.average = estimated + weight * (level.highest - estimated);
    reported.latest = level;
    reported.at = now;
}

void record_reached(dependency_table &table, const std::string &type, const std::string &service)
{
    auto [entry, is_new] = table.reach_shares[type].try_emplace(service, 1.0);
    entry->second += smoothing_factor * (1 - entry->second);
}

void record_not_reached(dependency_table &table, const std::string &type,
                        const std::string &service)
{
    double &share = table.reach_shares[type][service];
    share -= smoothing_factor * share;
}

std::optional<std::string> find_refusing_service(const dependency_table &table,
                                                 const entry_request &request, time_point now)
{
    auto services = table.reach_shares.find(request.type);
    if (services == table.reach_shares.end()) {
        return std::nullopt;
    }
    for (const auto &[service, share] : services->second) {
        auto reported = table.levels.find(service);
        if (share < min_reach_share || reported == table.levels.end()) {
            continue;
        }
        if (would_refuse(reported->second, request, now)) {
            return service;
        }
    }
    return std::nullopt;
}

double classes_beyond(const dependency_table &table, const std::string &service,
                      priority of_request, time_point now)
{
    auto reported = table.levels.find(service);
    if (reported == table.levels.end()) {
        return 0;
    }
    double ranks = of_request.value - estimated_level(reported->second, now);
    return std::max(0.0, ranks / ranks_per_class);
}

}  // namespace gullstall
