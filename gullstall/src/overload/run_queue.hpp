#ifndef GULLSTALL_OVERLOAD_RUN_QUEUE_HPP
#define GULLSTALL_OVERLOAD_RUN_QUEUE_HPP

#include <compare>
#include <cstdint>
#include <map>
#include <optional>

#include "gullstall/src/core/ids.hpp"
#include "gullstall/src/core/time.hpp"
#include "gullstall/src/overload/priority.hpp"

namespace gullstall {

/// Where a call waits: protected calls by class, then calls that have cost slots
/// at services above, then the others by class. A lower value goes first, equal
/// ones in order of arrival: by rank, the least of what is admitted would wait
/// until it is of no use.
struct queue_place
{
    std::uint16_t value;

    auto operator<=>(const queue_place &) const = default;
};

/// First place of calls that are not protected and have cost slots above.
constexpr queue_place worked_place{class_count};

/// First place of calls that are not protected and have cost nothing yet.
constexpr queue_place fresh_place{2 * class_count};

/// \returns the place of a call
constexpr queue_place make_place(std::uint8_t class_priority, bool is_protected, bool worked)
{
    std::uint16_t first = 0;
    if (!is_protected) {
        first = (worked ? worked_place : fresh_place).value;
    }
    return queue_place{static_cast<std::uint16_t>(first + class_priority)};
}

/// Admitted calls that wait for a slot of the worker, most important first.
struct run_queue
{
    std::multimap<queue_place, run_ref> waiting;
    std::size_t limit = 0;  ///< of all calls
    std::size_t bound = 0;  ///< beyond it the last call loses its place if it is fresh
};

/// Queues \a run.
/// \returns the least important run when the queue was full: it has lost its
/// place and is to be refused; it may be \a run itself
std::optional<run_ref> enqueue(run_queue &it, queue_place place, run_ref run);

/// \returns the most important run, taken out of the queue
std::optional<run_ref> dequeue(run_queue &it);

/// \returns how many runs wait at places before \a end; it takes as many steps
std::size_t waiting_before(const run_queue &it, queue_place end);

/// Takes \a run out of the queue.
/// \returns whether it was there
bool remove_run(run_queue &it, queue_place place, run_ref run);

}  // namespace gullstall

#endif
