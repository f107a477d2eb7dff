#include "gullstall/src/overload/touch_table.hpp"

namespace gullstall {

namespace {

/// A level that was not heard again for this long no longer refuses: requests
/// then probe the service anew.
constexpr duration level_memory = milliseconds(500);

/// A service that calls of a type have not reached for this long is forgotten.
constexpr duration touch_memory = seconds(60);

}  // namespace

void learn_touch(touch_table &it, const std::string &type, const std::string &service,
                 admission_level level, time_point now)
{
    it.touched[type][service] = now;
    it.levels[service] = touch_table::heard_level{level, now};
}

std::optional<std::string> refusing_service(const touch_table &it, const std::string &type,
                                            priority of_request, time_point now)
{
    auto services = it.touched.find(type);
    if (services == it.touched.end()) {
        return std::nullopt;
    }
    for (const auto &[service, last] : services->second) {
        auto heard = it.levels.find(service);
        if (now - last > touch_memory || heard == it.levels.end() ||
            now - heard->second.at > level_memory) {
            continue;
        }
        if (!admits(heard->second.level, of_request)) {
            return service;
        }
    }
    return std::nullopt;
}

}  // namespace gullstall
