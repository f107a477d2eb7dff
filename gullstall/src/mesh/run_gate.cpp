#include "gullstall/src/mesh/run_gate.hpp"

#include <algorithm>
#include <cmath>

namespace gullstall::mesh {

namespace {

/// Fraction of its slots above which an upstream counts as almost full.
constexpr double usable_fraction = 0.95;

/// Fraction of its time that a call may wait for a slot. The rest is for its
/// run and for the nested calls. Refusing a nested call fails the whole request and
/// wastes the work already done for it, so nested calls may wait longer.
constexpr double max_wait_fraction = 0.4;
constexpr double max_nested_wait_fraction = 0.8;

/// Maximum queue length, in calls per slot, behind which a caller's request may wait: it
/// then waits about this many run times. Nested calls are limited by their deadline alone:
/// with a length limit, a queue of a tenth of a second failed requests that had seconds
/// left.
constexpr std::size_t max_waiting_per_slot = 4;

/// Weight of one run in the moving average of run times.
constexpr double run_weight = 0.05;

/// Weight of one call in the moving average of the shed share. It covers about the last
/// fifty calls, a tenth of a second of a busy upstream.
constexpr double shed_weight = 0.02;

/// Weight of one run in the moving average of the error share.
constexpr double error_weight = 0.05;

/// Half-life of the error share, so that an upstream that gets hardly any calls is tried again.
constexpr duration error_half_life = seconds(2);

/// Orders the queue by priority class, then by the time at which the latency objective
/// expires (earliest deadline first), so that a request that needs one short run does not
/// wait behind the many calls of requests that have a second left. Calls that are already
/// late go behind those of their class that can still be in time.
queue_position queue_key_of(const slot_request &it, std::uint64_t arrival)
{
    return queue_position{2U * it.priority + (it.late ? 1 : 0), it.due, arrival};
}

duration slot_wait(const run_gate &it, std::size_t ahead)
{
    if (it.slots == 0) {
        return duration{};
    }
    double free = it.slots > it.running ? it.slots - it.running : 0;
    double ends_needed = std::max(0.0, static_cast<double>(ahead) + 1 - free);
    return duration(static_cast<std::int64_t>(ends_needed * it.mean_run_us / it.slots));
}

bool is_too_long(duration wait, const slot_request &request)
{
    double fraction = request.inner ? max_nested_wait_fraction : max_wait_fraction;
    return to_seconds(request.waited + wait) >
           fraction * to_seconds(request.waited + request.time_left);
}

void take_slot(run_gate &it)
{
    ++it.running;
    take_token(it.rate);
}

}  // namespace

std::uint32_t usable_slots(std::uint32_t slots)
{
    auto usable = static_cast<std::uint32_t>(slots * usable_fraction);
    return std::max(usable, std::min(slots, 1U));
}

duration expected_wait(const run_gate &it, std::size_t ahead)
{
    return std::max(slot_wait(it, ahead), token_wait(it.rate, ahead));
}

std::optional<gate_verdict> refusal_in_queue(const run_gate &it, const slot_request &request,
                                             std::size_t ahead)
{
    duration rate_wait = token_wait(it.rate, ahead);
    bool may_not_wait = !request.waits_for_rate && rate_wait > duration{};
    if (may_not_wait || is_too_long(rate_wait, request)) {
        return gate_verdict::rate_limited;
    }
    bool exceeds_length =
        request.limited_by_queue_length && ahead >= it.slots * max_waiting_per_slot;
    if (exceeds_length || is_too_long(slot_wait(it, ahead), request)) {
        return gate_verdict::refused;
    }
    return std::nullopt;
}

gate_verdict request_slot(run_gate &it, const slot_request &request)
{
    if (it.running < it.slots && it.waiting.empty() && has_token(it.rate)) {
        take_slot(it);
        return gate_verdict::granted;
    }
    queue_position position = queue_key_of(request, it.arrivals++);
    auto ahead = static_cast<std::size_t>(
        std::distance(it.waiting.begin(), it.waiting.lower_bound(position)));
    if (std::optional<gate_verdict> refusal = refusal_in_queue(it, request, ahead)) {
        return *refusal;
    }
    it.waiting.emplace(position, request.run);
    return gate_verdict::queued;
}

bool remove_from_queue(run_gate &it, run_ref run)
{
    auto found = std::find_if(it.waiting.begin(), it.waiting.end(),
                              [&](const auto &entry) { return entry.second == run; });
    if (found == it.waiting.end()) {
        return false;
    }
    it.waiting.erase(found);
    return true;
}

void return_slot(run_gate &it)
{
    it.running -= it.running > 0 ? 1 : 0;
    return_token(it.rate);
}

void release_slot(run_gate &it, std::optional<duration> held)
{
    it.running -= it.running > 0 ? 1 : 0;
    if (held) {
        auto us = static_cast<double>(held->count());
        it.mean_run_us =
            it.mean_run_us == 0 ? us : it.mean_run_us + run_weight * (us - it.mean_run_us);
    }
}

void record_shed(run_gate &it, bool was_shed)
{
    it.shed_share += shed_weight * ((was_shed ? 1 : 0) - it.shed_share);
}

void record_run_error(run_gate &it, bool is_error, time_point now)
{
    double before = recent_error_share(it, now);
    it.error_share = before + error_weight * ((is_error ? 1 : 0) - before);
    it.error_share_at = now;
}

double recent_error_share(const run_gate &it, time_point now)
{
    return it.error_share *
           std::exp2(-to_seconds(now - it.error_share_at) / to_seconds(error_half_life));
}

std::optional<run_ref> dequeue_run(run_gate &it)
{
    if (it.running >= it.slots || it.waiting.empty() || !has_token(it.rate)) {
        return std::nullopt;
    }
    run_ref next = it.waiting.begin()->second;
    it.waiting.erase(it.waiting.begin());
    take_slot(it);
    return next;
}

std::optional<time_point> next_token_at(const run_gate &it)
{
    if (it.waiting.empty() || it.running >= it.slots || has_token(it.rate)) {
        return std::nullopt;
    }
    return it.rate.refilled_at + token_wait(it.rate, 0);
}

}  // namespace gullstall::mesh
