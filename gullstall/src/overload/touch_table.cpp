#include "gullstall/src/overload/touch_table.hpp"

#include <algorithm>

namespace gullstall {

namespace {

/// Time over which levels are averaged.
constexpr double averaging_us = 100000;

/// Least weight of a reply, also when replies come close together.
constexpr double least_weight = 0.02;

/// A level that was not heard for this long begins to rise, so that the
/// service is asked anew: by the next ranks first, whose replies tell its level,
/// and not by all that was held back. It shows as a second overload otherwise.
constexpr duration level_memory = milliseconds(200);
constexpr double rise_per_us = 0.0005;

/// Share of a type's calls that reach a service from which on the entry refuses
/// on its behalf. Below it, more than half of the refused would have passed.
constexpr double touch_share = 0.5;
constexpr double touch_weight = 0.05;

double believed_level(const heard_level &it, time_point now)
{
    duration silent = now - it.at - level_memory;
    return it.average + rise_per_us * static_cast<double>(std::max(duration{}, silent).count());
}

bool would_refuse(const heard_level &it, const entry_request &request, time_point now)
{
    if (request.rank.value <= believed_level(it, now)) {
        return false;
    }
    // An average lags: a protected call is refused only if the last news would too.
    return !request.is_protected || !admits(it.latest, request.rank);
}

}  // namespace

void learn_level(touch_table &it, const std::string &service, admission_level level, time_point now)
{
    auto [entry, is_new] = it.levels.try_emplace(service);
    heard_level &heard = entry->second;
    auto passed = static_cast<double>((now - heard.at).count());
    double weight = is_new ? 1 : std::clamp(passed / averaging_us, least_weight, 1.0);
    double believed = is_new ? 0 : believed_level(heard, now);
    heard.average = believed + weight * (level.highest - believed);
    heard.latest = level;
    heard.at = now;
}

void learn_touch(touch_table &it, const std::string &type, const std::string &service)
{
    auto [entry, is_new] = it.touched[type].try_emplace(service, 1.0);
    entry->second += touch_weight * (1 - entry->second);
}

void learn_no_touch(touch_table &it, const std::string &type, const std::string &service)
{
    double &share = it.touched[type][service];
    share -= touch_weight * share;
}

std::optional<std::string> refusing_service(const touch_table &it, const entry_request &request,
                                            time_point now)
{
    auto services = it.touched.find(request.type);
    if (services == it.touched.end()) {
        return std::nullopt;
    }
    for (const auto &[service, share] : services->second) {
        auto heard = it.levels.find(service);
        if (share < touch_share || heard == it.levels.end()) {
            continue;
        }
        if (would_refuse(heard->second, request, now)) {
            return service;
        }
    }
    return std::nullopt;
}

}  // namespace gullstall
