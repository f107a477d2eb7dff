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
    double latency_us = 0;     ///< moving average of answers, 0: none yet
    duration queue_wait{};     ///< for a slot, as the last reply told it
    double refused_share = 0;  ///< moving share of calls that it refused, at refused_at
    time_point refused_at{};
    std::uint32_t failures_in_row = 0;
    time_point ejected_until{};
    time_point leaving_until{};
    std::uint64_t incarnation = 0;  ///< of the member that the record speaks of
    time_point since{};             ///< when this node first saw it
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
    bool keep_near = false;          ///< other zones only for a wait for slots: a call that must
                                     ///< not run twice is lost when the way there is cut
};

/// Chooses an upstream: of two at random in the own zone the one with the
/// shorter estimated time; of two in other zones the better one, when its
/// estimate is clearly shorter, or the more likely the longer the wait for a
/// slot in the own zone is beyond that in the other. A new upstream gets its share of calls slowly;
/// one that fails in a row is passed over for a while, unless half of the
/// service would be.
/// \returns the instance, none when no upstream is left
std::optional<std::string> choose_upstream(router &it, const member_table &members,
                                           const route_request &request, random_source &random,
                                           time_point now);

/// Notes that a call was sent to \a instance.
void note_sent(router &it, const std::string &instance);

/// Notes an answer of \a instance after \a took.
void note_answered(router &it, const std::string &instance, duration took);

/// Notes how long a call waits for a slot at \a instance.
void note_queue_wait(router &it, const std::string &instance, duration wait);

/// Notes that \a instance refused a call; how fast it did says nothing about
/// how fast it would run one.
void note_refused(router &it, const std::string &instance, time_point now);

/// Notes that a call to \a instance ended without saying anything of it: its
/// caller left.
void note_ended(router &it, const std::string &instance);

/// Notes that \a instance gave no answer.
void note_failed(router &it, const std::string &instance, time_point now);

/// Notes that \a instance said it takes no new work.
void note_leaving(router &it, const std::string &instance, time_point now);

/// Notes that \a instance takes work again.
void note_returned(router &it, const std::string &instance);

}  // namespace gullstall

#endif
