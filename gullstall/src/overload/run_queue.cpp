#include "gullstall/src/overload/run_queue.hpp"

#include <algorithm>
#include <iterator>

namespace gullstall {

std::optional<run_ref> enqueue(run_queue &it, queue_place place, run_ref run)
{
    it.waiting.emplace(place, run);
    auto last = std::prev(it.waiting.end());
    std::size_t most = last->first >= fresh_place ? std::min(it.bound, it.limit) : it.limit;
    if (it.waiting.size() <= most) {
        return std::nullopt;
    }
    run_ref displaced = last->second;
    it.waiting.erase(last);
    return displaced;
}

std::optional<run_ref> dequeue(run_queue &it)
{
    if (it.waiting.empty()) {
        return std::nullopt;
    }
    run_ref first = it.waiting.begin()->second;
    it.waiting.erase(it.waiting.begin());
    return first;
}

std::size_t waiting_before(const run_queue &it, queue_place end)
{
    return static_cast<std::size_t>(std::distance(it.waiting.begin(), it.waiting.lower_bound(end)));
}

bool remove_run(run_queue &it, queue_place place, run_ref run)
{
    auto [begin, end] = it.waiting.equal_range(place);
    for (auto entry = begin; entry != end; ++entry) {
        if (entry->second == run) {
            it.waiting.erase(entry);
            return true;
        }
    }
    return false;
}

}  // namespace gullstall
