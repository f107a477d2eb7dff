#include "gullstall/src/mesh/stop_order.hpp"

#include <algorithm>
#include <utility>

namespace gullstall::mesh {

namespace {

/// Time that the gate stays open after the stop signal. Callers keep sending for about as
/// long, until they see that the node is not ready; if the gate closed at once, the upstream
/// would idle for the rest of the shutdown.
constexpr duration gate_close_delay = milliseconds(2000);

/// Time that callers' requests are accepted after the stop signal. The platform probes the
/// readiness once a second and removes a node after two failed probes; until then callers
/// send over their open connections.
constexpr duration entry_close_delay = milliseconds(2300);

/// Divisor of the stop time that bounds both delays; the rest is left for requests in
/// flight.
constexpr int delay_divisor = 2;

/// Time reserved between the latest close of the gate and the end of the process: this part
/// of the stop time, or this number of mean run times if that is longer.
constexpr int final_runs_divisor = 4;
constexpr int final_runs = 4;

/// Margin before SIGKILL by which callers must have their responses.
constexpr duration response_margin = milliseconds(500);

/// A node heard from within this time may be restarting.
constexpr duration restart_window = seconds(5);

/// \returns the sort key of the stop order. It is hashed so that nodes with adjacent names,
/// which often share a zone, do not stop together.
std::pair<std::uint64_t, std::string> stop_order_key(const std::string &node)
{
    return {hash_text(node), node};
}

bool stops_before(const node_view &it, const std::string &own)
{
    return it.status.stop_asked && stop_order_key(it.address.node) < stop_order_key(own);
}

}  // namespace

stop_schedule plan_stop(time_point now, duration stop_time, duration run_time)
{
    duration max_delay = stop_time / delay_divisor;
    duration final_runs_time = std::max(stop_time / final_runs_divisor, final_runs * run_time);
    stop_schedule out;
    out.gate_close_earliest = now + std::min(gate_close_delay, max_delay);
    out.gate_close_latest = std::max(out.gate_close_earliest, now + stop_time - final_runs_time);
    out.entry_close = now + std::min(entry_close_delay, max_delay);
    out.held_entry_close = now + max_delay;
    out.answer_deadline = now + stop_time - response_margin;
    return out;
}

std::size_t count_remaining(const directory &it, const std::string &own, const std::string &service,
                            time_point now)
{
    return static_cast<std::size_t>(
        std::count_if(it.nodes.begin(), it.nodes.end(), [&](const auto &entry) {
            return entry.first != own && is_usable(entry.second, service, now) &&
                   !stops_before(entry.second, own);
        }));
}

std::size_t required_remaining(const directory &it, const std::string &own,
                               const std::string &service, time_point now)
{
    std::size_t usable = 0;
    std::size_t others = 0;
    for (const auto &[name, view] : it.nodes) {
        bool is_recent = view.status.service == service && now - view.status_at <= restart_window;
        usable += is_usable(view, service, now) ? 1 : 0;
        others += name != own && is_recent ? 1 : 0;
    }
    return others == 0 ? 0 : std::max<std::size_t>(1, (usable + 1) / 2);
}

}  // namespace gullstall::mesh
