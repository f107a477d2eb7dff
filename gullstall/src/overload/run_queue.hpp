#ifndef GULLSTALL_OVERLOAD_RUN_QUEUE_HPP
#define GULLSTALL_OVERLOAD_RUN_QUEUE_HPP

#include <map>
#include <optional>

#include "gullstall/src/core/ids.hpp"
#include "gullstall/src/core/time.hpp"
#include "gullstall/src/overload/priority.hpp"

namespace gullstall {

/// Admitted calls that wait for a slot of the worker, most important first.
struct run_queue
{
    std::multimap<priority, run_ref> waiting;
    std::size_t limit = 0;
};

/// Queues \a run.
/// \returns the least important run when the queue was full: it has lost its
/// place and is to be refused; it may be \a run itself
std::optional<run_ref> enqueue(run_queue &it, priority of_run, run_ref run);

/// \returns the most important run, taken out of the queue
std::optional<run_ref> dequeue(run_queue &it);

/// \returns how many runs wait at places before \a end; it takes as many steps
std::size_t waiting_before(const run_queue &it, priority end);

/// Takes \a run out of the queue.
/// \returns whether it was there
bool remove_run(run_queue &it, priority of_run, run_ref run);

}  // namespace gullstall

#endif
