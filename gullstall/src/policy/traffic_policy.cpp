#include "gullstall/src/policy/traffic_policy.hpp"

#include <boost/algorithm/string/case_conv.hpp>

namespace gullstall {

namespace {

bool is_prefix(std::string_view text)
{
    return !text.empty() && text.front() == '/' && text.back() == '/';
}

std::string place_of(std::string_view host, std::string_view prefix)
{
    std::string out = boost::algorithm::to_lower_copy(std::string(host));
    out += prefix;
    return out;
}

}  // namespace

result<traffic_policy> make_policy(std::uint64_t version, std::vector<traffic_route> routes,
                                   std::map<std::string, service_policy> services,
                                   const caller_limits &limits)
{
    traffic_policy out{version, std::move(routes), std::move(services), limits, {}, {}};
    for (std::size_t i = 0; i < out.routes.size(); ++i) {
        const traffic_route &route = out.routes[i];
        if (!is_prefix(route.prefix)) {
            return error{error_code::out_of_range,
                         "route '" + route.name + "': found prefix '" + route.prefix +
                             "', expected one that begins and ends with a slash"};
        }
        if (route.services.empty()) {
            return error{error_code::out_of_range, "route '" + route.name + "' has no service"};
        }
        out.by_name[route.name] = i;
        if (!out.by_place.emplace(place_of(route.host, route.prefix), i).second) {
            return error{error_code::duplicate, "route '" + route.name +
                                                    "': another route has the host and prefix " +
                                                    route.host + route.prefix};
        }
    }
    return out;
}

const traffic_route *find_route(const traffic_policy &it, std::string_view host,
                                std::string_view target)
{
    std::string_view path = target.substr(0, target.find('?'));
    std::string_view name = host.substr(0, host.find(':'));
    // From the longest prefix to the shortest: each ends at a slash of the path.
    std::string place = place_of(name, path);
    while (place.size() > name.size()) {
        std::size_t slash = place.rfind('/');
        if (slash == std::string::npos || slash < name.size()) {
            return nullptr;
        }
        place.resize(slash + 1);
        auto found = it.by_place.find(place);
        if (found != it.by_place.end()) {
            return &it.routes[found->second];
        }
        place.resize(slash);
    }
    return nullptr;
}

const traffic_route *route_named(const traffic_policy &it, std::string_view name)
{
    auto found = it.by_name.find(std::string(name));
    return found == it.by_name.end() ? nullptr : &it.routes[found->second];
}

}  // namespace gullstall
