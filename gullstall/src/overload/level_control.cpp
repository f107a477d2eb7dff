#include "gullstall/src/overload/level_control.hpp"

namespace gullstall {

namespace {

constexpr duration window = milliseconds(100);
constexpr duration target_wait = milliseconds(20);
constexpr double down_share = 0.05;
constexpr double up_share = 0.01;

/// \returns the level at which about \a target of the window's arrivals pass
admission_level level_for(const level_control &it, double target)
{
    double sum = 0;
    for (std::uint16_t i = 0; i < priority_count; ++i) {
        sum += it.arrivals[i];
        if (sum > target) {
            return admission_level{i};
        }
    }
    return admit_all;
}

void start_window(level_control &it, time_point now)
{
    it.window_end = now + window;
    it.wait_sum = duration{};
    it.waits = 0;
    it.admitted = 0;
    it.arrivals.fill(0);
}

}  // namespace

void note_arrival(level_control &it, priority of_request, bool was_admitted)
{
    ++it.arrivals[of_request.value];
    it.admitted += was_admitted ? 1 : 0;
}

void note_wait(level_control &it, duration wait)
{
    it.wait_sum += wait;
    ++it.waits;
}

void update_level(level_control &it, time_point now)
{
    if (now < it.window_end) {
        return;
    }
    bool overloaded = it.waits > 0 && it.wait_sum / it.waits > target_wait;
    double admitted = it.admitted;
    if (overloaded) {
        it.level = level_for(it, admitted * (1 - down_share));
    } else if (it.level < admit_all) {
        it.level = level_for(it, admitted * (1 + up_share) + 1);
    }
    start_window(it, now);
}

}  // namespace gullstall
