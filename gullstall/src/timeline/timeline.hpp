#ifndef GULLSTALL_TIMELINE_TIMELINE_HPP
#define GULLSTALL_TIMELINE_TIMELINE_HPP

#include <cstdint>
#include <deque>
#include <string>

#include "gullstall/src/core/time.hpp"

namespace gullstall {

/// Kind of a time line event.
enum class event_kind
{
    node_started,
    bundle_applied,
    bundle_refused,
    member_changed,
    call_taken,
    call_sent,
    call_resent,
    call_refused,
    call_answered,
    run_started,
    run_finished,
    run_cancelled,
    worker_lost,
    level_moved,
    claim_written,
    suspect_marked,
    stop_began,
    stop_finished
};

/// \returns the name of \a kind as it is printed
const char *name_of(event_kind kind);

/// One typed event of one node.
struct timeline_event
{
    std::uint64_t clock;  ///< hybrid logical clock, microseconds
    event_kind kind;
    std::string request_id;
    std::string subject;  ///< instance, service or bundle that the event is about
    std::string detail;

    bool operator==(const timeline_event &) const = default;
};

/// Bounded memory of a node's latest events, ordered by its hybrid logical
/// clock. The clock puts a cause before its effect over all nodes, because
/// every frame carries the sender's clock and moves the receiver's past it.
struct timeline
{
    std::uint64_t clock = 0;
    std::deque<timeline_event> events;
    std::uint64_t dropped = 0;
};

/// Moves the clock for a local step at \a now.
/// \returns the clock's new reading
std::uint64_t tick_clock(timeline &it, time_point now);

/// Moves the clock past \a heard, the clock of a frame that came in.
void merge_clock(timeline &it, std::uint64_t heard, time_point now);

/// Keeps an event; the oldest is dropped and counted when the memory is full.
void note_event(timeline &it, time_point now, event_kind kind, std::string request_id,
                std::string subject, std::string detail);

/// \returns the events as JSON lines, \a instance and \a zone named in each
std::string print_timeline(const timeline &it, const std::string &instance,
                           const std::string &zone);

}  // namespace gullstall

#endif
