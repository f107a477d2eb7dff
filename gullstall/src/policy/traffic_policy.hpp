#ifndef GULLSTALL_POLICY_TRAFFIC_POLICY_HPP
#define GULLSTALL_POLICY_TRAFFIC_POLICY_HPP

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "gullstall/src/core/result.hpp"
#include "gullstall/src/core/time.hpp"

namespace gullstall {

/// What may be repeated on a route.
enum class repeatability
{
    idempotent,     ///< a request may run more than once
    non_idempotent  ///< a request runs at most once
};

/// One of the services that a route sends to, with its share.
struct weighted_service
{
    std::string service;
    std::uint32_t weight;  ///< relative to the weights of the other services

    bool operator==(const weighted_service &) const = default;
};

/// Where requests of one host and path prefix go and how they are treated.
struct traffic_route
{
    std::string name;
    std::string host;
    std::string prefix;  ///< begins and ends with a slash
    repeatability repeats = repeatability::non_idempotent;
    duration timeout{};              ///< longest time that a caller is kept waiting
    duration latency_objective{};    ///< an answer within it is of full use
    std::uint32_t priority = 0;      ///< 0 is the most important
    std::uint32_t max_attempts = 1;  ///< upstreams that one request may be handed to
    std::vector<weighted_service> services;

    bool operator==(const traffic_route &) const = default;
};

/// What the policy says of a service.
struct service_policy
{
    std::string health_path;
    std::uint32_t max_connections = 0;  ///< that one upstream takes

    bool operator==(const service_policy &) const = default;
};

/// Bounds on what a caller may send and how long it may take.
struct caller_limits
{
    std::uint32_t max_header_bytes = 16384;
    std::uint64_t max_body_bytes = 16U << 20U;
    duration header_timeout = seconds(3);
    duration idle_timeout = seconds(15);

    bool operator==(const caller_limits &) const = default;
};

/// The operator's policy for all traffic, of one version.
struct traffic_policy
{
    std::uint64_t version = 0;
    std::vector<traffic_route> routes;
    std::map<std::string, service_policy> services;  ///< by name
    caller_limits limits;
    std::unordered_map<std::string, std::size_t> by_place;  ///< host and prefix to index in routes
    std::unordered_map<std::string, std::size_t> by_name;   ///< index in routes

    bool operator==(const traffic_policy &) const = default;
};

/// Makes a policy; routes are indexed for find_route.
/// \returns the policy, or duplicate for two routes of one host and prefix,
/// out_of_range for a route without service or with a prefix that does not
/// begin and end with a slash
result<traffic_policy> make_policy(std::uint64_t version, std::vector<traffic_route> routes,
                                   std::map<std::string, service_policy> services,
                                   const caller_limits &limits);

/// \param host as the caller sent it, with or without a port
/// \param target path, with or without a query
/// \returns the route of \a host with the longest prefix that begins the path,
/// nullptr when there is none
const traffic_route *find_route(const traffic_policy &it, std::string_view host,
                                std::string_view target);

/// \returns the route called \a name, nullptr when there is none
const traffic_route *route_named(const traffic_policy &it, std::string_view name);

}  // namespace gullstall

#endif
