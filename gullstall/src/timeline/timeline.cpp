#include "gullstall/src/timeline/timeline.hpp"

#include <algorithm>
#include <array>
#include <boost/json.hpp>

namespace gullstall {

namespace {

constexpr std::size_t max_events = 20000;

constexpr std::array<const char *, 18> kind_names{
    "node_started",   "bundle_applied", "bundle_refused", "member_changed", "call_taken",
    "call_sent",      "call_resent",    "call_refused",   "call_answered",  "run_started",
    "run_finished",   "run_cancelled",  "worker_lost",    "level_moved",    "claim_written",
    "suspect_marked", "stop_began",     "stop_finished"};

}  // namespace

const char *name_of(event_kind kind)
{
    return kind_names.at(static_cast<std::size_t>(kind));
}

std::uint64_t tick_clock(timeline &it, time_point now)
{
    auto physical = static_cast<std::uint64_t>(now.time_since_epoch().count());
    it.clock = std::max(it.clock + 1, physical);
    return it.clock;
}

void merge_clock(timeline &it, std::uint64_t heard, time_point now)
{
    it.clock = std::max(it.clock, heard);
    tick_clock(it, now);
}

void note_event(timeline &it, time_point now, event_kind kind, std::string request_id,
                std::string subject, std::string detail)
{
    if (it.events.size() == max_events) {
        it.events.pop_front();
        ++it.dropped;
    }
    it.events.push_back(timeline_event{tick_clock(it, now), kind, std::move(request_id),
                                       std::move(subject), std::move(detail)});
}

std::string print_timeline(const timeline &it, const std::string &instance, const std::string &zone)
{
    std::string out;
    for (const timeline_event &event : it.events) {
        boost::json::object line{{"clock", event.clock},
                                 {"instance", instance},
                                 {"zone", zone},
                                 {"kind", name_of(event.kind)},
                                 {"request", event.request_id},
                                 {"subject", event.subject},
                                 {"detail", event.detail}};
        out += boost::json::serialize(line) + "\n";
    }
    return out;
}

}  // namespace gullstall
