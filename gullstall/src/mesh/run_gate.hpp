#ifndef GULLSTALL_MESH_RUN_GATE_HPP
#define GULLSTALL_MESH_RUN_GATE_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <utility>

#include "gullstall/core.hpp"
#include "gullstall/src/overload/rate_limiter.hpp"

namespace gullstall::mesh {

/// A request for a slot of the upstream on behalf of a call.
struct slot_request
{
    run_ref run{};
    std::uint16_t priority = 0;           ///< 0 is the most important
    bool inner = false;                   ///< made by a run of another upstream
    duration time_left{};                 ///< time until the call's deadline
    time_point due{};                     ///< when the caller's latency objective expires
    bool late = false;                    ///< the latency objective has already expired
    bool limited_by_queue_length = true;  ///< may be refused because of the queue length alone
    bool waits_for_rate = false;          ///< may wait until the rate limit allows it
    duration waited{};                    ///< time in the queue so far

    bool operator==(const slot_request &) const = default;
};

/// Position in the queue of a gate; the lowest is started first.
struct queue_position
{
    std::uint32_t rank = 0;
    time_point due{};
    std::uint64_t arrival = 0;

    auto operator<=>(const queue_position &) const = default;
};

/// Limits the concurrency of an upstream: it never has more runs than slots, and gets no more
/// calls per second than it has asked for. Further calls wait in the queue of the gate, where
/// they can still be reordered and cancelled. In an upstream's own queue neither is possible,
/// and some upstreams never answer calls that they cannot queue.
struct run_gate
{
    rate_limiter rate;
    std::uint32_t slots = 0;
    std::uint32_t running = 0;
    double mean_run_us = 0;  ///< moving average of the time that a run holds a slot, 0: unknown
    std::map<queue_position, run_ref> waiting;
    std::uint64_t arrivals = 0;
    double shed_share = 0;  ///< moving average of the share of calls that the upstream sheds
    /// Moving average of the share of runs that the upstream itself fails, decaying with time.
    double error_share = 0;
    time_point error_share_at{};
};

/// Result of a request for a slot.
enum class gate_verdict
{
    granted,      ///< a slot was allocated
    queued,       ///< the call is queued
    refused,      ///< refused without being run: the expected wait for a slot is too long
    rate_limited  ///< refused without being run because of the rate limit
};

/// \returns the maximum number of concurrent runs on an upstream that announces
/// \a slots. An upstream that is almost full slows down all of its runs, which costs
/// more throughput than the last slots provide.
std::uint32_t usable_slots(std::uint32_t slots);

/// Requests a slot. The tokens of the rate limit are to be refilled before.
gate_verdict request_slot(run_gate &it, const slot_request &request);

/// Removes a waiting call from the queue.
/// \returns whether the call was in the queue
bool remove_from_queue(run_gate &it, run_ref run);

/// Releases a slot whose call was not sent.
void return_slot(run_gate &it);

/// \returns the verdict on a call that is in the queue, if it had to be refused now
/// \param ahead calls before it
std::optional<gate_verdict> refusal_in_queue(const run_gate &it, const slot_request &request,
                                             std::size_t ahead);

/// Releases a slot.
/// \param held how long the run held the slot; none if the time says nothing about the
/// speed of the upstream
void release_slot(run_gate &it, std::optional<duration> held);

/// Records whether the upstream shed a call that was sent to it.
void record_shed(run_gate &it, bool was_shed);

/// Records whether a run that ended at \a now was failed by the upstream itself.
void record_run_error(run_gate &it, bool is_error, time_point now);

/// \returns the recent share of runs that the upstream itself fails, decaying with time
double recent_error_share(const run_gate &it, time_point now);

/// Allocates a slot for the first call of the queue.
/// \returns the call to start; none if no slot is free, the rate limit allows no call or the
/// queue is empty
std::optional<run_ref> dequeue_run(run_gate &it);

/// \returns the expected wait of a call that has \a ahead calls before it
duration expected_wait(const run_gate &it, std::size_t ahead);

/// \returns when the rate limit allows the first call of the queue; none if it waits for
/// nothing else or there is none
std::optional<time_point> next_token_at(const run_gate &it);

}  // namespace gullstall::mesh

#endif
