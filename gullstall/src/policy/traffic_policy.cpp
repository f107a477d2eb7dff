#include "gullstall/src/policy/traffic_policy.hpp"

#include <boost/algorithm/string/case_conv.hpp>

namespace gullstall {

namespace {

bool is_prefix(std::string_view text)
{
    return !text.empty() && text.front() == '/' && text.back() == '/';
}

std::string prefix_key(std::string_view host, std::string_view prefix)
{
    std::string out = boost::algorithm::to_lower_copy(std::string(host));
    out += prefix;
    return out;
}

}  // namespace

result<traffic_policy> make_policy(std::uint64_t version, std::vector<traffic_route> routes,
                                   std::map<std::string, service_policy> services,
                                   const caller_limits &limits, customer_index customers)
{
    traffic_policy out{
        version, std::move(routes), std::move(services), limits, std::move(customers), {}, {}};
    for (std::size_t i = 0; i < out.routes.size(); ++i) {
        const traffic_route &route = out.routes[i];
        if (!is_prefix(route.prefix)) {
            return error{error_code::out_of_range, "route '" + route.name + "': prefix '" +
                                                       route.prefix +
                                                       "' must begin and end with a slash"};
        }
        if (route.services.empty()) {
            return error{error_code::out_of_range, "route '" + route.name + "' has no service"};
        }
        out.routes_by_name[route.name] = i;
        if (!out.routes_by_prefix.emplace(prefix_key(route.host, route.prefix), i).second) {
            return error{error_code::duplicate, "route '" + route.name +
                                                    "': another route has the host and prefix " +
                                                    route.host + route.prefix};
        }
    }
    return out;
}

bool has_customers(const traffic_policy &policy)
{
    return !policy.customers.by_name.empty();
}

std::uint32_t request_priority(const traffic_route &route, const customer *who)
{
    return who == nullptr ? route.priority : who->priority.value_or(route.priority);
}

std::string traffic_class(const traffic_route &route, std::uint32_t priority)
{
    return priority == route.priority ? route.name : route.name + "@" + std::to_string(priority);
}

std::set<std::uint32_t> priorities_of(const traffic_policy &policy, const traffic_route &route)
{
    std::set<std::uint32_t> out;
    for (const auto &[name, who] : policy.customers.by_name) {
        out.insert(request_priority(route, &who));
    }
    if (out.empty() || route.is_public) {
        out.insert(route.priority);
    }
    return out;
}

const traffic_route *find_route(const traffic_policy &policy, std::string_view host,
                                std::string_view target)
{
    std::string_view path = target.substr(0, target.find('?'));
    std::string_view name = host.substr(0, host.find(':'));
    // Tries the prefixes of the path that end at a slash, longest first.
    std::string key = prefix_key(name, path);
    while (key.size() > name.size()) {
        std::size_t slash = key.rfind('/');
        if (slash == std::string::npos || slash < name.size()) {
            return nullptr;
        }
        key.resize(slash + 1);
        auto found = policy.routes_by_prefix.find(key);
        if (found != policy.routes_by_prefix.end()) {
            return &policy.routes[found->second];
        }
        key.resize(slash);
    }
    return nullptr;
}

const traffic_route *find_route_by_name(const traffic_policy &policy, std::string_view name)
{
    auto found = policy.routes_by_name.find(std::string(name));
    return found == policy.routes_by_name.end() ? nullptr : &policy.routes[found->second];
}

}  // namespace gullstall
