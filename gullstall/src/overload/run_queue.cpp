#include "gullstall/src/overload/run_queue.hpp"

#include <algorithm>
#include <iterator>

namespace gullstall {

namespace {

/// Key of all unprotected calls.
constexpr std::uint16_t unprotected_key = class_count;

using queue_entry = std::multimap<std::uint16_t, waiting_run>::iterator;

bool removed_before(const waiting_run &a, const waiting_run &b)
{
    return !a.has_prior_work && !a.is_protected &&
           (b.has_prior_work || b.is_protected || a.request_priority >= b.request_priority);
}

/// \returns the call to remove from a queue that is too long: the least important
/// one without prior work, or the last one when there is none
queue_entry find_removable(run_queue &queue)
{
    auto removable = std::prev(queue.waiting.end());
    for (auto e = queue.waiting.lower_bound(unprotected_key); e != queue.waiting.end(); ++e) {
        if (queue.by_priority && removed_before(e->second, removable->second)) {
            removable = e;
        }
    }
    return removable;
}

}  // namespace

std::optional<run_ref> enqueue(run_queue &queue, const waiting_run &added)
{
    bool first = queue.by_priority && added.is_protected;
    std::uint16_t key = first ? added.request_priority.value / ranks_per_class : unprotected_key;
    queue.waiting.emplace(key, added);
    if (queue.waiting.size() <= std::min(queue.soft_limit, queue.hard_limit)) {
        return std::nullopt;
    }
    auto removable = find_removable(queue);
    bool no_prior_work = !removable->second.has_prior_work && !removable->second.is_protected;
    if (!no_prior_work && queue.waiting.size() <= queue.hard_limit) {
        return std::nullopt;
    }
    run_ref removed = removable->second.run;
    queue.waiting.erase(removable);
    return removed;
}

std::optional<run_ref> dequeue(run_queue &queue)
{
    if (queue.waiting.empty()) {
        return std::nullopt;
    }
    run_ref first = queue.waiting.begin()->second.run;
    queue.waiting.erase(queue.waiting.begin());
    return first;
}

std::optional<run_ref> first_unprotected(const run_queue &queue)
{
    auto first = queue.waiting.lower_bound(unprotected_key);
    return first == queue.waiting.end() ? std::nullopt : std::optional(first->second.run);
}

std::size_t protected_waiting(const run_queue &queue)
{
    return static_cast<std::size_t>(
        std::distance(queue.waiting.begin(), queue.waiting.lower_bound(unprotected_key)));
}

bool remove_run(run_queue &queue, run_ref run)
{
    auto found = std::find_if(queue.waiting.begin(), queue.waiting.end(),
                              [run](const auto &entry) { return entry.second.run == run; });
    if (found == queue.waiting.end()) {
        return false;
    }
    queue.waiting.erase(found);
    return true;
}

}  // namespace gullstall
