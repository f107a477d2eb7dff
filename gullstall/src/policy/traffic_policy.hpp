#ifndef GULLSTALL_POLICY_TRAFFIC_POLICY_HPP
#define GULLSTALL_POLICY_TRAFFIC_POLICY_HPP

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "gullstall/src/core/result.hpp"
#include "gullstall/src/core/time.hpp"
#include "gullstall/src/customers/customer_index.hpp"

namespace gullstall {

/// Whether requests of a route may run more than once.
enum class idempotency
{
    idempotent,     ///< a request may run more than once
    non_idempotent  ///< a request runs at most once
};

/// A destination service of a route with its weight.
struct weighted_service
{
    std::string service;
    std::uint32_t weight;  ///< relative to the weights of the other services

    bool operator==(const weighted_service &) const = default;
};

/// Destinations and handling of the requests of one host and path prefix.
struct traffic_route
{
    std::string name;
    std::string host;
    std::string prefix;  ///< begins and ends with a slash
    idempotency request_idempotency = idempotency::non_idempotent;
    duration timeout{};              ///< maximum time until the caller is answered
    duration latency_objective{};    ///< target time of an answer
    std::uint32_t priority = 0;      ///< 0 is the most important
    std::uint32_t max_attempts = 1;  ///< maximum number of upstreams tried per request
    std::vector<weighted_service> services;
    bool is_public = false;  ///< requests may come without an API key

    bool operator==(const traffic_route &) const = default;
};

/// Policy of a service.
struct service_policy
{
    std::string health_path;
    std::uint32_t max_connections = 0;  ///< per upstream

    bool operator==(const service_policy &) const = default;
};

/// Limits on the size and the duration of requests from callers.
struct caller_limits
{
    std::uint32_t max_header_bytes = 16384;
    std::uint64_t max_body_bytes = 16U << 20U;
    duration header_timeout = seconds(3);
    duration idle_timeout = seconds(15);

    bool operator==(const caller_limits &) const = default;
};

/// One version of the operator's policy for all traffic.
struct traffic_policy
{
    std::uint64_t version = 0;
    std::vector<traffic_route> routes;
    std::map<std::string, service_policy> services;  ///< by name
    caller_limits limits;
    customer_index customers;  ///< without customers no request needs a key
    /// Index in routes, by host and prefix.
    std::unordered_map<std::string, std::size_t> routes_by_prefix;
    std::unordered_map<std::string, std::size_t> routes_by_name;  ///< index in routes, by name

    bool operator==(const traffic_policy &) const = default;
};

/// Creates a policy and indexes its routes for find_route.
/// \returns the policy; duplicate when two routes have the same host and prefix;
/// out_of_range when a route has no service or its prefix does not begin and end
/// with a slash
result<traffic_policy> make_policy(std::uint64_t version, std::vector<traffic_route> routes,
                                   std::map<std::string, service_policy> services,
                                   const caller_limits &limits, customer_index customers = {});

/// \returns whether requests carry API keys under this policy
bool has_customers(const traffic_policy &policy);

/// \param who customer that sends the request, nullptr if it needs no key
/// \returns the priority of a request: that of the customer, else that of the route
std::uint32_t request_priority(const traffic_route &route, const customer *who);

/// \returns the name of the class of requests of one route and priority; the route's name
/// for its own priority
std::string traffic_class(const traffic_route &route, std::uint32_t priority);

/// \returns the priorities that requests of \a route can have
std::set<std::uint32_t> priorities_of(const traffic_policy &policy, const traffic_route &route);

/// \param host as the caller sent it, with or without a port
/// \param target path, with or without a query
/// \returns the route of \a host with the longest matching path prefix,
/// nullptr when there is none
const traffic_route *find_route(const traffic_policy &policy, std::string_view host,
                                std::string_view target);

/// \returns the route named \a name, nullptr when there is none
const traffic_route *find_route_by_name(const traffic_policy &policy, std::string_view name);

}  // namespace gullstall

#endif
