#include "gullstall/src/mesh/stop_order.hpp"

#include <algorithm>
#include <utility>

namespace gullstall::mesh {

namespace {

/// How long the gate stays open after the order to stop. Callers send for about
/// as long, until they see that the node is not ready; closed at once, the
/// upstream would stand idle for as long as the stop takes.
constexpr duration gate_notice = milliseconds(2000);

/// How long callers' requests are taken after the order to stop. The platform
/// asks once a second whether the node is ready and takes it out after two
/// misses; until then callers send over the connections that they have.
constexpr duration entry_notice = milliseconds(2300);

/// Part of the time for a stop that both notices take at most: the rest is for
/// what is in flight.
constexpr int notice_part = 2;

/// Part of the time for a stop, and least number of runs, that fit between the latest
/// close of the gate and the end of the process.
constexpr int last_runs_part = 4;
constexpr int last_runs = 4;

/// Time before the kill by which callers must have their answers.
constexpr duration last_answers = milliseconds(500);

/// A node that was heard this long ago may be about to come back from a restart.
constexpr duration return_time = seconds(5);

/// The order in which nodes that are to stop close their gates. By hash, so that
/// neighbours in name, which often share a zone, do not go together.
std::pair<std::uint64_t, std::string> place_in_order(const std::string &node)
{
    return {hash_text(node), node};
}

bool goes_before(const node_view &it, const std::string &own)
{
    return it.status.stop_asked && place_in_order(it.address.node) < place_in_order(own);
}

}  // namespace

stop_times plan_stop(time_point now, duration stop_time, duration run_time)
{
    duration most = stop_time / notice_part;
    duration for_last_runs = std::max(stop_time / last_runs_part, last_runs * run_time);
    stop_times out;
    out.gate_from = now + std::min(gate_notice, most);
    out.gate_by = std::max(out.gate_from, now + stop_time - for_last_runs);
    out.entry = now + std::min(entry_notice, most);
    out.held_entry = now + most;
    out.answered = now + stop_time - last_answers;
    return out;
}

std::size_t count_staying(const directory &it, const std::string &own, const std::string &service,
                          time_point now)
{
    return static_cast<std::size_t>(
        std::count_if(it.nodes.begin(), it.nodes.end(), [&](const auto &entry) {
            return entry.first != own && is_usable(entry.second, service, now) &&
                   !goes_before(entry.second, own);
        }));
}

std::size_t least_staying(const directory &it, const std::string &own, const std::string &service,
                          time_point now)
{
    std::size_t usable = 0;
    std::size_t others = 0;
    for (const auto &[name, view] : it.nodes) {
        bool is_recent = view.status.service == service && now - view.status_at <= return_time;
        usable += is_usable(view, service, now) ? 1 : 0;
        others += name != own && is_recent ? 1 : 0;
    }
    return others == 0 ? 0 : std::max<std::size_t>(1, (usable + 1) / 2);
}

}  // namespace gullstall::mesh
