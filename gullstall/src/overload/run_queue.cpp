#include "gullstall/src/overload/run_queue.hpp"

#include <algorithm>
#include <iterator>

namespace gullstall {

namespace {

/// Place of all calls that are not protected.
constexpr std::uint16_t common_place = class_count;

using entry = std::multimap<std::uint16_t, waiting_run>::iterator;

bool loses_to(const waiting_run &a, const waiting_run &b)
{
    return !a.worked && !a.is_protected && (b.worked || b.is_protected || a.rank >= b.rank);
}

/// \returns the call that loses its place when one too many waits: the least
/// important fresh one, the last one when there is none
entry loser_of(run_queue &it)
{
    auto loser = std::prev(it.waiting.end());
    for (auto e = it.waiting.lower_bound(common_place); e != it.waiting.end(); ++e) {
        if (it.by_priority && loses_to(e->second, loser->second)) {
            loser = e;
        }
    }
    return loser;
}

}  // namespace

std::optional<run_ref> enqueue(run_queue &queue, const waiting_run &it)
{
    bool first = queue.by_priority && it.is_protected;
    std::uint16_t place = first ? it.rank.value / ranks_per_class : common_place;
    queue.waiting.emplace(place, it);
    if (queue.waiting.size() <= std::min(queue.bound, queue.limit)) {
        return std::nullopt;
    }
    auto loser = loser_of(queue);
    bool fresh = !loser->second.worked && !loser->second.is_protected;
    if (!fresh && queue.waiting.size() <= queue.limit) {
        return std::nullopt;
    }
    run_ref displaced = loser->second.run;
    queue.waiting.erase(loser);
    return displaced;
}

std::optional<run_ref> dequeue(run_queue &it)
{
    if (it.waiting.empty()) {
        return std::nullopt;
    }
    run_ref first = it.waiting.begin()->second.run;
    it.waiting.erase(it.waiting.begin());
    return first;
}

std::optional<run_ref> first_common(const run_queue &it)
{
    auto first = it.waiting.lower_bound(common_place);
    return first == it.waiting.end() ? std::nullopt : std::optional(first->second.run);
}

std::size_t protected_waiting(const run_queue &it)
{
    return static_cast<std::size_t>(
        std::distance(it.waiting.begin(), it.waiting.lower_bound(common_place)));
}

bool remove_run(run_queue &it, run_ref run)
{
    auto found = std::find_if(it.waiting.begin(), it.waiting.end(),
                              [run](const auto &entry) { return entry.second.run == run; });
    if (found == it.waiting.end()) {
        return false;
    }
    it.waiting.erase(found);
    return true;
}

}  // namespace gullstall
