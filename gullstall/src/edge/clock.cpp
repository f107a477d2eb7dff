#include "gullstall/src/edge/clock.hpp"

#include <time.h>

namespace gullstall::edge {

namespace {

std::int64_t read_us(clockid_t clock)
{
    constexpr std::int64_t us_per_s = 1000000;
    constexpr std::int64_t ns_per_us = 1000;
    timespec it{};
    ::clock_gettime(clock, &it);
    return it.tv_sec * us_per_s + it.tv_nsec / ns_per_us;
}

}  // namespace

time_point now()
{
    return time_point(duration(read_us(CLOCK_BOOTTIME)));
}

std::uint64_t unix_ms()
{
    constexpr std::int64_t us_per_ms = 1000;
    return static_cast<std::uint64_t>(read_us(CLOCK_REALTIME) / us_per_ms);
}

}  // namespace gullstall::edge
