#ifndef GULLSTALL_CORE_TIME_HPP
#define GULLSTALL_CORE_TIME_HPP

#include <chrono>
#include <cstdint>

namespace gullstall {

/// Clock of the runtime. It has no now(): the time is handed to every decision,
/// so that tests pause and advance it.
struct node_clock
{
    using rep = std::int64_t;
    using period = std::micro;
    using duration = std::chrono::microseconds;
    using time_point = std::chrono::time_point<node_clock, duration>;
    static constexpr bool is_steady = true;
};

/// Span of time, microseconds.
using duration = node_clock::duration;

/// Moment on the runtime's clock, microseconds since the process's origin.
using time_point = node_clock::time_point;

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// \returns \a d in whole milliseconds, rounded towards zero
constexpr std::int64_t to_ms(duration d)
{
    return duration_cast<milliseconds>(d).count();
}

/// \returns \a n seconds, rounded towards zero
constexpr duration from_seconds(double n)
{
    return duration_cast<duration>(std::chrono::duration<double>(n));
}

/// \returns \a n milliseconds, rounded towards zero
constexpr duration from_milliseconds(double n)
{
    return duration_cast<duration>(std::chrono::duration<double, std::milli>(n));
}

/// \returns \a d in seconds
constexpr double to_seconds(duration d)
{
    return std::chrono::duration<double>(d).count();
}

}  // namespace gullstall

#endif
