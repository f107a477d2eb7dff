#ifndef GULLSTALL_ROUTE_ROUTER_HPP
#define GULLSTALL_ROUTE_ROUTER_HPP

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gullstall/src/core/random.hpp"
#include "gullstall/src/core/time.hpp"
#include "gullstall/src/membership/member_table.hpp"

namespace gullstall {

/// What this node has itself seen of an upstream. It goes before the
/// upstream's health and load endpoints, which lag or mislead.
struct upstream_record
{
    std::uint32_t in_flight = 0;
    double latency_us = 0;  ///< moving average of answers
    std::uint32_t failures_in_row = 0;
    time_point ejected_until{};
    time_point leaving_until{};
};

/// Chooses among upstreams by own observations.
struct router
{
    std::map<std::string, upstream_record> upstreams;  // by instance
};

/// Where a call may go.
struct route_request
{
    std::string service;
    std::string own_instance;
    std::string own_zone;
    std::vector<std::string> tried;  ///< instances that a re-send passes over
};

/// Chooses an upstream: two at random, the one with the shorter estimated wait;
/// the own zone first.
/// \returns the instance, none when no upstream is left
std::optional<std::string> choose_upstream(const router &it, const member_table &members,
                                           const route_request &request, random_source &random,
                                           time_point now);

/// Notes that a call was sent to \a instance.
void note_sent(router &it, const std::string &instance);

/// Notes an answer of \a instance after \a took.
void note_answered(router &it, const std::string &instance, duration took);

/// Notes that \a instance gave no answer.
void note_failed(router &it, const std::string &instance, time_point now);

/// Notes that \a instance said it takes no new work.
void note_leaving(router &it, const std::string &instance, time_point now);

/// Notes that \a instance takes work again.
void note_returned(router &it, const std::string &instance);

}  // namespace gullstall

#endif
