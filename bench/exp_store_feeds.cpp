/// How soon a zone's watchers notice that their connections to the store have gone silent, and
/// what that costs, for several ways to notice it.

#include <algorithm>
#include <cstdio>
#include <vector>

#include "gullstall/mesh.hpp"

using namespace gullstall;

namespace {

constexpr int zones = 3;
constexpr int watchers_per_zone = 2;
constexpr double loss = 0.03;  ///< of each packet, on lossy links
constexpr duration retransmission_delay = milliseconds(200);
constexpr int samples = 200000;

/// A way to notice a silent connection.
struct way
{
    const char *name;
    duration feed_interval{};
    duration feed_margin{};
    bool in_turn = false;
    duration probe_idle_time{};
    int lost_probes = 0;  ///< one second apart
};

/// \returns when a feed that began at 0 after a change, or one of its successors, is due at or
/// after \a silent_at
duration feed_due(const way &it, double phase, duration silent_at)
{
    duration at{};
    while (true) {
        duration wait = it.feed_interval;
        if (it.in_turn) {
            auto store_ms = static_cast<std::uint64_t>(to_ms(it.feed_interval + at));
            wait = mesh::feed_wait(mesh::feed_timing{it.feed_interval, phase}, store_ms);
        }
        at += wait;
        if (at >= silent_at) {
            return at;
        }
    }
}

/// \returns when the kernel's probes end the connection
duration probes_lost(const way &it, double phase, duration silent_at)
{
    duration began{};
    for (duration due = feed_due(it, phase, {}); due < silent_at;) {
        began = due;
        due = feed_due(it, phase, due + milliseconds(1));
    }
    duration probe = began + it.probe_idle_time;
    while (probe <= silent_at) {
        probe += it.probe_idle_time;
    }
    return probe + it.lost_probes * seconds(1);
}

/// \returns the time from the silence to the first notice in the slowest zone
duration notice_time(const way &it, duration silent_at)
{
    duration slowest{};
    for (int zone = 0; zone < zones; ++zone) {
        duration first = duration::max();
        for (int rank = 0; rank < watchers_per_zone; ++rank) {
            double phase = static_cast<double>(rank * zones + zone) / (zones * watchers_per_zone);
            duration by_feed = feed_due(it, phase, silent_at) + it.feed_margin;
            first = std::min({first, by_feed, probes_lost(it, phase, silent_at)});
        }
        slowest = std::max(slowest, first - silent_at);
    }
    return slowest;
}

/// \returns the time that packets lost in a row delay an answer
duration draw_delay(random_source &random)
{
    duration out{};
    for (int i = 0; i < 2; ++i) {  // the request and the answer
        for (duration pause = retransmission_delay; draw_fraction(random) < loss; pause *= 2) {
            out += pause;
        }
    }
    return out;
}

/// \returns how often a connection that works over a lossy link is given up, a watcher and hour
double false_notices(const way &it)
{
    random_source random(2026);
    int late = 0;
    int unanswered = 0;
    for (int i = 0; i < samples; ++i) {
        late += draw_delay(random) > it.feed_margin ? 1 : 0;
        int lost = 0;
        while (lost < it.lost_probes &&
               (draw_fraction(random) < loss || draw_fraction(random) < loss)) {
            ++lost;
        }
        unanswered += lost == it.lost_probes ? 1 : 0;
    }
    double hour = to_seconds(seconds(3600));
    double feeds = hour / to_seconds(it.feed_interval);
    double probes =
        it.feed_interval > it.probe_idle_time ? hour / to_seconds(it.probe_idle_time) : 0;
    return (feeds * late + probes * unanswered) / samples;
}

}  // namespace

int main()
{
    const std::vector<way> ways{
        {"feeds of 10 s, probes after 2 s", seconds(10), milliseconds(1500), false, seconds(2), 2},
        {"feeds of 10 s, probes after 1 s, one lost", seconds(10), milliseconds(1500), false,
         seconds(1), 1},
        {"feeds of 2 s, in step", seconds(2), milliseconds(500), false, seconds(2), 2},
        {"feeds of 4 s, in turn", seconds(4), milliseconds(500), true, seconds(2), 2},
        {"feeds of 3 s, in turn", seconds(3), milliseconds(500), true, seconds(2), 2},
        {"feeds of 2 s, in turn", seconds(2), milliseconds(500), true, seconds(2), 2},
        {"feeds of 1 s, in turn", seconds(1), milliseconds(500), true, seconds(2), 2},
    };
    std::printf("%-44s %9s %9s %9s %14s\n", "", "worst ms", "mean ms", "calls/s", "false/hour");
    for (const way &it : ways) {
        duration worst{};
        duration sum{};
        int n = 0;
        for (duration at{}; at < seconds(10); at += milliseconds(10)) {
            duration notice = notice_time(it, at);
            worst = std::max(worst, notice);
            sum += notice;
            ++n;
        }
        std::printf("%-44s %9lld %9lld %9.2f %14.2f\n", it.name,
                    static_cast<long long>(to_ms(worst)), static_cast<long long>(to_ms(sum / n)),
                    zones * watchers_per_zone / to_seconds(it.feed_interval), false_notices(it));
    }
}
