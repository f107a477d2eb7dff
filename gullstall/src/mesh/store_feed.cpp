#include "gullstall/src/mesh/store_feed.hpp"

#include <algorithm>

namespace gullstall::mesh {

namespace {

/// Covers the retransmission of a lost segment.
constexpr duration min_answer_margin = milliseconds(500);

constexpr int margin_per_delay = 3;

/// Shortest wait, as a part of the interval: a feed that ends a moment before its phase is not
/// followed by one that ends at it.
constexpr int shortest_wait_divisor = 8;

}  // namespace

duration feed_wait(const feed_timing &it, std::uint64_t store_ms)
{
    if (store_ms == 0 || it.interval <= duration{}) {
        return it.interval;
    }
    duration end(static_cast<std::int64_t>(static_cast<double>(it.interval.count()) * it.phase));
    duration at = milliseconds(store_ms) % it.interval;
    duration wait = (end - at + it.interval) % it.interval;
    return wait < it.interval / shortest_wait_divisor ? wait + it.interval : wait;
}

duration answer_margin(duration delay, duration longest)
{
    return std::min(longest, std::max(min_answer_margin, margin_per_delay * delay));
}

}  // namespace gullstall::mesh
