#include "gullstall/src/mesh/run_gate.hpp"

#include <algorithm>

namespace gullstall::mesh {

namespace {

/// Part of its slots beyond which an upstream counts as very nearly full.
constexpr double usable_part = 0.95;

/// Part of the time left that a call may wait for a slot. The rest is for its
/// run and for the calls that the run makes. Turning a call of a run away loses
/// the whole request and the work spent on it, so these wait longer.
constexpr double wait_part = 0.4;
constexpr double inner_wait_part = 0.8;

/// Longest queue, in slots, behind which a caller's request may wait: as long as this
/// many runs. Calls of runs are bound by their time alone: turned away for a queue of a
/// tenth of a second, a call ends a request that had seconds left.
constexpr std::size_t waiting_per_slot = 4;

/// Weight of one run in the moving average of run times.
constexpr double run_weight = 0.05;

/// Weight of one call in the moving share of those turned away: about the last
/// fifty count, a tenth of a second of a busy upstream.
constexpr double shed_weight = 0.02;

/// By class, and in a class by the moment at which the caller's answer gets late:
/// a request that needs one short run of a busy service is not held behind the many
/// calls of requests that have a second left. What is late already waits behind
/// what can still be in time.
gate_place queue_place(const gate_request &it, std::uint64_t arrival)
{
    return gate_place{2U * it.priority + (it.late ? 1 : 0), it.due, arrival};
}

}  // namespace

std::uint32_t usable_slots(std::uint32_t slots)
{
    auto usable = static_cast<std::uint32_t>(slots * usable_part);
    return std::max(usable, std::min(slots, 1U));
}

duration expected_wait(const run_gate &it, std::size_t ahead)
{
    if (it.slots == 0) {
        return duration{};
    }
    double free = it.slots > it.running ? it.slots - it.running : 0;
    double beyond = std::max(0.0, static_cast<double>(ahead) + 1 - free);
    return duration(static_cast<std::int64_t>(beyond * it.run_us / it.slots));
}

gate_verdict enter_gate(run_gate &it, const gate_request &request)
{
    if (it.running < it.slots && it.waiting.empty()) {
        ++it.running;
        return gate_verdict::start;
    }
    gate_place key = queue_place(request, it.arrivals++);
    auto ahead =
        static_cast<std::size_t>(std::distance(it.waiting.begin(), it.waiting.lower_bound(key)));
    duration wait = expected_wait(it, ahead);
    double part = request.inner ? inner_wait_part : wait_part;
    bool is_late =
        static_cast<double>(wait.count()) > part * static_cast<double>(request.left.count());
    bool is_long = request.bound_by_length && ahead >= it.slots * waiting_per_slot;
    if (is_late || is_long) {
        return gate_verdict::full;
    }
    it.waiting.emplace(key, request.run);
    return gate_verdict::wait;
}

bool leave_queue(run_gate &it, run_ref run)
{
    auto found = std::find_if(it.waiting.begin(), it.waiting.end(),
                              [&](const auto &entry) { return entry.second == run; });
    if (found == it.waiting.end()) {
        return false;
    }
    it.waiting.erase(found);
    return true;
}

void give_back_slot(run_gate &it, std::optional<duration> held)
{
    it.running -= it.running > 0 ? 1 : 0;
    if (held) {
        auto us = static_cast<double>(held->count());
        it.run_us = it.run_us == 0 ? us : it.run_us + run_weight * (us - it.run_us);
    }
}

void note_shed(run_gate &it, bool was_shed)
{
    it.shed += shed_weight * ((was_shed ? 1 : 0) - it.shed);
}

std::optional<run_ref> next_run(run_gate &it)
{
    if (it.running >= it.slots || it.waiting.empty()) {
        return std::nullopt;
    }
    run_ref next = it.waiting.begin()->second;
    it.waiting.erase(it.waiting.begin());
    ++it.running;
    return next;
}

}  // namespace gullstall::mesh
