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

/// Observations of an upstream by this node. They take precedence over the health
/// and load endpoints of the upstream, which lag or report wrong values.
struct upstream_record
{
    std::uint32_t in_flight = 0;
    double latency_us = 0;    ///< moving average over answers, 0 before the first one
    duration queue_wait{};    ///< wait for a slot, as reported by the last reply
    double refusal_rate = 0;  ///< moving average of the fraction of refused calls, at last_refusal
    time_point last_refusal{};
    std::uint32_t consecutive_failures = 0;
    time_point ejected_until{};
    time_point draining_until{};
    std::uint64_t incarnation = 0;  ///< of the member that the record describes
    time_point first_seen{};        ///< time at which this node first saw the incarnation
};

/// Load balancer that chooses upstreams by the observations of this node.
struct router
{
    std::map<std::string, upstream_record> upstreams;  ///< by instance
};

/// Constraints on the upstream of a call.
struct route_request
{
    std::string service;
    std::string own_instance;
    std::string own_zone;
    std::vector<std::string> tried;  ///< instances that a retry excludes
    /// Uses other zones only for shorter slot waits. For calls that must not run
    /// twice: one that is sent to a zone which is then cut off cannot be retried.
    bool prefer_own_zone = false;
};

/// Chooses an upstream by the power of two choices: of two random upstreams of the
/// own zone the one with less estimated work. It is compared with the better of two
/// random upstreams of other zones, which is chosen when its estimated time is
/// clearly shorter, or else with a probability that grows with the difference of
/// the waits for a slot. New upstreams receive calls by slow start. Upstreams with
/// consecutive failures are ejected for some time, unless more than half of the
/// service would be ejected.
/// \returns the instance, none when no upstream is left
std::optional<std::string> choose_upstream(router &routes, const member_table &members,
                                           const route_request &request, random_source &random,
                                           time_point now);

/// Records that a call was sent to \a instance.
void record_sent(router &routes, const std::string &instance);

/// Records that \a instance answered a call after \a took.
void record_answer(router &routes, const std::string &instance, duration took);

/// Records the time that calls wait for a slot at \a instance.
void record_queue_wait(router &routes, const std::string &instance, duration wait);

/// Records that \a instance refused a call. The time until the refusal is ignored:
/// it does not tell how fast the instance runs calls.
void record_refusal(router &routes, const std::string &instance, time_point now);

/// Records that a call to \a instance ended without information about the instance,
/// because its caller disconnected.
void record_abandoned(router &routes, const std::string &instance);

/// Records that \a instance did not answer a call.
void record_failure(router &routes, const std::string &instance, time_point now);

/// Records that \a instance reported that it accepts no new calls.
void record_draining(router &routes, const std::string &instance, time_point now);

/// Records that \a instance accepts calls again.
void clear_draining(router &routes, const std::string &instance);

}  // namespace gullstall

#endif
