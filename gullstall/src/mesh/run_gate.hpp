#ifndef GULLSTALL_MESH_RUN_GATE_HPP
#define GULLSTALL_MESH_RUN_GATE_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <utility>

#include "gullstall/core.hpp"

namespace gullstall::mesh {

/// A call that asks for a slot of the upstream.
struct gate_request
{
    run_ref run{};
    std::uint16_t priority = 0;   ///< 0 is the most important
    bool inner = false;           ///< made by a run of another upstream
    duration left{};              ///< time until its deadline
    time_point due{};             ///< the caller's answer is late from then on
    bool late = false;            ///< it is late already
    bool bound_by_length = true;  ///< it may be refused for what is ahead of it alone

    bool operator==(const gate_request &) const = default;
};

/// Place in the queue of a gate; the lowest goes first.
struct gate_place
{
    std::uint32_t rank = 0;
    time_point due{};
    std::uint64_t arrival = 0;

    auto operator<=>(const gate_place &) const = default;
};

/// The one way to an upstream: it never has more runs than it has slots, and
/// what waits is kept here, where it can still be put in order and taken back.
/// In an upstream's own queue a call can neither be overtaken nor taken back,
/// and some upstreams never answer what they can't queue.
struct run_gate
{
    std::uint32_t slots = 0;
    std::uint32_t running = 0;
    double run_us = 0;  ///< moving average of the time a run holds a slot, 0: not known
    std::map<gate_place, run_ref> waiting;
    std::uint64_t arrivals = 0;
    double shed = 0;  ///< moving share of calls that the upstream turned away
};

/// Verdict on a call that asks for a slot.
enum class gate_verdict
{
    start,  ///< it has a slot now
    wait,   ///< it waits for one
    full    ///< it would wait too long: refused, it has not run
};

/// \returns how many calls may run at the same time on an upstream that
/// announces \a slots. An upstream that is very nearly full slows down all that
/// it runs, which costs more than the last slots give.
std::uint32_t usable_slots(std::uint32_t slots);

/// Asks for a slot.
gate_verdict enter_gate(run_gate &it, const gate_request &request);

/// Takes a call that waits out of the queue.
/// \returns whether it waited
bool leave_queue(run_gate &it, run_ref run);

/// Gives a slot back.
/// \param held how long the run held it, none when that says nothing of the
/// upstream's speed
void give_back_slot(run_gate &it, std::optional<duration> held);

/// Notes whether the upstream turned a call away that it was handed.
void note_shed(run_gate &it, bool was_shed);

/// \returns the next call to start, none when no slot is free or none waits;
/// the slot is then in use
std::optional<run_ref> next_run(run_gate &it);

/// \returns the time that a call would wait for a slot behind \a ahead others
duration expected_wait(const run_gate &it, std::size_t ahead);

}  // namespace gullstall::mesh

#endif
