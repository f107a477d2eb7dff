#include "gullstall/src/mesh/directory.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace gullstall::mesh {

namespace {

/// Smoothing factor of the failure rate: an average over about the last 20 calls.
constexpr double failure_smoothing = 0.05;

/// Half-life of the failure rate, so that a node without calls is tried again.
constexpr double failure_half_life_us = 2000000;

/// Time without a status after which a node with calls in flight is probed. Longer than
/// most runs, so that no probes are sent under load.
constexpr duration probe_delay = milliseconds(150);

/// Time after which an unanswered probe excludes the node from new calls. Together with
/// the probe delay this detects a network cut or a frozen node within half a second. The
/// connection itself is closed much later, since closing it loses the replies to calls in
/// flight. A node on a saturated core answers a probe within 100 ms.
constexpr duration probe_timeout = milliseconds(250);

bool is_silent(const node_view &it, time_point now)
{
    return it.asked_at && now - *it.asked_at >= probe_timeout;
}

}  // namespace

bool is_usable(const node_view &it, const std::string &service, time_point now)
{
    return it.linked && !is_silent(it, now) && !it.status.stopping &&
           it.status.service == service && it.status.state == mesh_wire::upstream_state::ready &&
           it.status.slots > 0;
}

double recent_failures(const node_view &it, time_point now)
{
    auto passed = static_cast<double>((now - it.failed_at).count());
    return it.failures * std::exp2(-passed / failure_half_life_us);
}

bool note_address(directory &it, const node_address &address)
{
    node_view &known = it.nodes[address.node];
    bool is_older = address.incarnation < known.address.incarnation;
    if (is_older || known.address == address) {
        return false;
    }
    if (address.incarnation > known.address.incarnation) {
        known.status = mesh_wire::node_status_message{};
        known.sent_since = 0;
    }
    known.address = address;
    return true;
}

bool note_status(directory &it, const mesh_wire::node_status_message &status, time_point now)
{
    auto found = it.nodes.find(status.node);
    if (found == it.nodes.end()) {
        return false;
    }
    node_view &known = found->second;
    known.asked_at.reset();
    bool is_older = status.incarnation < known.status.incarnation ||
                    (status.incarnation == known.status.incarnation &&
                     status.sequence <= known.status.sequence);
    if (is_older) {
        return false;
    }
    known.status = status;
    known.status_at = now;
    known.sent_since = 0;
    return true;
}

void note_load(directory &it, const std::string &node, const mesh_wire::node_load_message &load,
               time_point now)
{
    auto found = it.nodes.find(node);
    if (found == it.nodes.end()) {
        return;
    }
    node_view &known = found->second;
    known.asked_at.reset();
    if (load.sequence <= known.status.sequence) {
        return;
    }
    known.status.sequence = load.sequence;
    known.status.slots = load.slots;
    known.status.running = load.running;
    known.status.waiting = load.waiting;
    known.status.run_time_us = load.run_time_us;
    known.status.wait_us = load.wait_us;
    known.status.shed_milli = load.shed_milli;
    known.status_at = now;
    known.sent_since = 0;
}

void note_link(directory &it, const std::string &node, bool linked)
{
    auto found = it.nodes.find(node);
    if (found == it.nodes.end()) {
        return;
    }
    found->second.linked = linked;
    found->second.asked_at.reset();
    found->second.in_flight = linked ? found->second.in_flight : 0;
}

void note_sent(directory &it, const std::string &node)
{
    node_view &known = it.nodes[node];
    ++known.sent_since;
    ++known.in_flight;
}

void note_call_end(directory &it, const std::string &node, call_end end, time_point now)
{
    node_view &known = it.nodes[node];
    known.in_flight -= known.in_flight > 0 ? 1 : 0;
    if (end == call_end::failed) {
        known.failures = recent_failures(known, now) * (1 - failure_smoothing) + failure_smoothing;
        known.failed_at = now;
        return;
    }
    if (end == call_end::good) {
        known.failures *= 1 - failure_smoothing;
    }
}

std::vector<std::string> nodes_to_ask(directory &it, const std::string &own, time_point now)
{
    std::vector<std::string> out;
    for (auto &[name, view] : it.nodes) {
        bool is_quiet = view.in_flight > 0 && now - view.status_at >= probe_delay;
        if (name != own && view.linked && is_quiet && !view.asked_at) {
            view.asked_at = now;
            out.push_back(name);
        }
    }
    return out;
}

std::vector<silence_change> silence_changes(directory &it, time_point now)
{
    std::vector<silence_change> out;
    for (auto &[name, view] : it.nodes) {
        bool silent = is_silent(view, now);
        if (silent != view.told_silent) {
            view.told_silent = silent;
            out.push_back(silence_change{name, silent, view.in_flight});
        }
    }
    return out;
}

}  // namespace gullstall::mesh
