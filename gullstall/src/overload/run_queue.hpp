#ifndef GULLSTALL_OVERLOAD_RUN_QUEUE_HPP
#define GULLSTALL_OVERLOAD_RUN_QUEUE_HPP

#include <cstdint>
#include <map>
#include <optional>

#include "gullstall/src/core/ids.hpp"
#include "gullstall/src/core/time.hpp"
#include "gullstall/src/overload/priority.hpp"

namespace gullstall {

/// A call that waits for a slot.
struct waiting_run
{
    run_ref run;
    priority rank;
    bool is_protected;
    bool worked;  ///< slots at services above were spent on it

    bool operator==(const waiting_run &) const = default;
};

/// Admitted calls that wait for a slot of the worker. Protected calls go before
/// all others, by class; the others in order of arrival. Which of these are
/// taken at all is the level's matter: ordered by importance, the least of what
/// is admitted would wait until it is of no use, with slots above held for it.
struct run_queue
{
    std::multimap<std::uint16_t, waiting_run> waiting;  ///< by place
    std::size_t limit = 0;                              ///< of all calls
    std::size_t bound = 0;  ///< beyond it the least important fresh call loses its place
    bool by_priority = true;
};

/// Queues \a it.
/// \returns the run that has lost its place and is to be refused, when the
/// queue was full; it may be the run itself
std::optional<run_ref> enqueue(run_queue &queue, const waiting_run &it);

/// \returns the most important run, taken out of the queue
std::optional<run_ref> dequeue(run_queue &it);

/// \returns the call that waits longest among those that are not protected
std::optional<run_ref> first_common(const run_queue &it);

/// \returns how many protected calls wait; it takes as many steps
std::size_t protected_waiting(const run_queue &it);

/// Takes \a run out of the queue.
/// \returns whether it was there
bool remove_run(run_queue &it, run_ref run);

}  // namespace gullstall

#endif
