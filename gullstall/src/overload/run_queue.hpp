#ifndef GULLSTALL_OVERLOAD_RUN_QUEUE_HPP
#define GULLSTALL_OVERLOAD_RUN_QUEUE_HPP

#include <cstdint>
#include <map>
#include <optional>

#include "gullstall/src/core/ids.hpp"
#include "gullstall/src/core/time.hpp"
#include "gullstall/src/overload/priority.hpp"

namespace gullstall {

/// A call waiting for a slot.
struct waiting_run
{
    run_ref run;
    priority request_priority;
    bool is_protected;
    bool has_prior_work;  ///< slots at calling services were already used for it

    bool operator==(const waiting_run &) const = default;
};

/// Admitted calls waiting for a slot of the worker. Protected calls are ordered
/// by class and precede all others, which are served in order of arrival.
/// Importance of the others is handled by the admission level: if they were queued
/// by priority, the least important of them would wait until their deadlines had
/// passed, while holding slots at the calling services.
struct run_queue
{
    std::multimap<std::uint16_t, waiting_run> waiting;  ///< by class; unprotected calls come last
    std::size_t hard_limit = 0;                         ///< maximum number of calls
    std::size_t soft_limit =
        0;  ///< above it the least important call with no prior work is removed
    bool by_priority = true;
};

/// Adds \a added to the queue.
/// \returns the run that was removed because the queue was full and is to be
/// refused; it may be the run just added
std::optional<run_ref> enqueue(run_queue &queue, const waiting_run &added);

/// Removes and returns the first run.
std::optional<run_ref> dequeue(run_queue &queue);

/// \returns the longest waiting unprotected call
std::optional<run_ref> first_unprotected(const run_queue &queue);

/// \returns the number of waiting protected calls, in linear time
std::size_t protected_waiting(const run_queue &queue);

/// Removes \a run from the queue.
/// \returns whether it was in the queue
bool remove_run(run_queue &queue, run_ref run);

}  // namespace gullstall

#endif
