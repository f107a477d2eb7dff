#ifndef GULLSTALL_CORE_EXPIRY_HPP
#define GULLSTALL_CORE_EXPIRY_HPP

#include <algorithm>
#include <map>

#include "gullstall/src/core/time.hpp"

namespace gullstall {

/// References ordered by expiry time, soonest first.
template <class Ref>
using expiry_queue = std::multimap<time_point, Ref>;

/// Removes the entry of \a id, which expires at \a when, from the queue.
template <class Ref>
void erase_expiry(expiry_queue<Ref> &it, time_point when, Ref id)
{
    auto [begin, end] = it.equal_range(when);
    auto found = std::find_if(begin, end, [id](const auto &entry) { return entry.second == id; });
    if (found != end) {
        it.erase(found);
    }
}

}  // namespace gullstall

#endif
