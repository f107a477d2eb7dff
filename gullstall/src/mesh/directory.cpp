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

/// Age of a status after which the node is probed without calls in flight: the nodes that
/// passed its statuses on are gone, or none of them hears it.
constexpr duration stale_status_age = milliseconds(1500);

/// The same for a node of the own zone. Its statuses come from itself twice a second, and it may
/// be the one that watches the store for the zone.
constexpr duration stale_status_age_in_zone = milliseconds(700);

bool is_older(const mesh_wire::node_status_message &status,
              const mesh_wire::node_status_message &known)
{
    return status.incarnation < known.incarnation ||
           (status.incarnation == known.incarnation && status.sequence <= known.sequence);
}

std::unique_ptr<mesh_wire::upstream_notice_message> copy_of(
    const std::unique_ptr<mesh_wire::upstream_notice_message> &it)
{
    return it ? std::make_unique<mesh_wire::upstream_notice_message>(*it) : nullptr;
}

void copy_load(const mesh_wire::node_status_message &from, mesh_wire::node_status_message &to)
{
    to.slots = from.slots;
    to.running = from.running;
    to.waiting = from.waiting;
    to.run_time_us = from.run_time_us;
    to.wait_us = from.wait_us;
    to.shed_milli = from.shed_milli;
    to.error_milli = from.error_milli;
    to.notice = copy_of(from.notice);
    to.limit_wait_us = from.limit_wait_us;
}

void remember_notice(node_view &known,
                     const std::unique_ptr<mesh_wire::upstream_notice_message> &it)
{
    if (it) {
        merge_notice(known.notice, *it);
    }
}

bool has_announced_leave(const node_view &it)
{
    return it.notice && it.notice->leaving &&
           is_notice_of(*it.notice, it.status.upstream, it.status.started_ms);
}

}  // namespace

bool is_silent(const node_view &it, time_point now)
{
    return it.probed_at && now - *it.probed_at >= probe_timeout;
}

bool is_usable(const node_view &it, const std::string &service, time_point now)
{
    return it.linked && !is_silent(it, now) && !it.status.stopping &&
           it.status.service == service && it.status.state == mesh_wire::upstream_state::ready &&
           it.status.slots > 0 && !has_announced_leave(it);
}

bool is_limited(const mesh_wire::node_status_message &it)
{
    return it.notice && it.notice->limited;
}

bool has_limit_room(const node_view &it, time_point now)
{
    return !is_limited(it.status) || now >= it.limit_free_at;
}

void forget_limit(directory &it, const std::string &node)
{
    auto found = it.nodes.find(node);
    if (found != it.nodes.end() && found->second.notice) {
        found->second.notice->limited = false;
    }
}

double recent_failure_rate(const node_view &it, time_point now)
{
    auto passed = static_cast<double>((now - it.last_failure_at).count());
    return it.failure_rate * std::exp2(-passed / failure_half_life_us);
}

bool update_address(directory &it, const node_address &address)
{
    node_view &known = it.nodes[address.node];
    bool is_older = address.incarnation < known.address.incarnation;
    if (is_older || known.address == address) {
        return false;
    }
    if (address.incarnation > known.address.incarnation) {
        known.status = mesh_wire::node_status_message{};
        known.load_sequence = 0;
        known.sent_since_status = 0;
    }
    known.address = address;
    return true;
}

bool update_status(directory &it, const mesh_wire::node_status_message &status, time_point now)
{
    auto found = it.nodes.find(status.node);
    if (found == it.nodes.end()) {
        return false;
    }
    node_view &known = found->second;
    known.probed_at.reset();
    remember_notice(known, status.notice);
    if (is_older(status, known.status)) {
        return false;
    }
    known.status = status;
    known.status_at = now;
    known.limit_free_at = now + duration(status.limit_wait_us);
    known.load_sequence = status.sequence;
    known.sent_since_status = 0;
    known.pass_on_at.reset();
    return true;
}

bool update_relayed_status(directory &it, const mesh_wire::node_status_message &status,
                           time_point heard_at)
{
    auto found = it.nodes.find(status.node);
    if (found == it.nodes.end()) {
        return false;
    }
    node_view &known = found->second;
    remember_notice(known, status.notice);
    if (status.incarnation < known.address.incarnation || is_older(status, known.status)) {
        return false;
    }
    mesh_wire::node_status_message before = std::move(known.status);
    known.status = status;
    known.status_at = std::max(known.status_at, heard_at);
    bool is_same_process = before.incarnation == status.incarnation;
    if (is_same_process && status.sequence < known.load_sequence) {
        copy_load(before, known.status);  // a reply has told a later one
    } else {
        known.load_sequence = status.sequence;
        known.limit_free_at = heard_at + duration(status.limit_wait_us);
        // Calls sent after the node was heard are not in the status.
        known.sent_since_status = std::min(known.sent_since_status, known.in_flight);
    }
    return true;
}

void update_load(directory &it, const std::string &node, const mesh_wire::node_load_message &load,
                 time_point now)
{
    auto found = it.nodes.find(node);
    if (found == it.nodes.end()) {
        return;
    }
    node_view &known = found->second;
    known.probed_at.reset();
    remember_notice(known, load.notice);
    if (load.sequence <= known.load_sequence) {
        return;
    }
    known.load_sequence = load.sequence;
    known.status.slots = load.slots;
    known.status.running = load.running;
    known.status.waiting = load.waiting;
    known.status.run_time_us = load.run_time_us;
    known.status.wait_us = load.wait_us;
    known.status.shed_milli = load.shed_milli;
    known.status.error_milli = load.error_milli;
    known.status.notice = copy_of(load.notice);
    known.status.limit_wait_us = load.limit_wait_us;
    known.limit_free_at = now + duration(load.limit_wait_us);
    known.status_at = now;
    known.sent_since_status = 0;
}

void update_link(directory &it, const std::string &node, bool linked)
{
    auto found = it.nodes.find(node);
    if (found == it.nodes.end()) {
        return;
    }
    found->second.linked = linked;
    found->second.probed_at.reset();
    found->second.in_flight = linked ? found->second.in_flight : 0;
}

void record_sent_call(directory &it, const std::string &node)
{
    node_view &known = it.nodes[node];
    ++known.sent_since_status;
    ++known.in_flight;
}

void record_call_result(directory &it, const std::string &node, call_end end, time_point now)
{
    node_view &known = it.nodes[node];
    known.in_flight -= known.in_flight > 0 ? 1 : 0;
    if (end == call_end::failed) {
        known.failure_rate =
            recent_failure_rate(known, now) * (1 - failure_smoothing) + failure_smoothing;
        known.last_failure_at = now;
        return;
    }
    if (end == call_end::succeeded) {
        known.failure_rate *= 1 - failure_smoothing;
    }
}

std::vector<std::string> select_nodes_to_probe(directory &it, const std::string &own,
                                               time_point now)
{
    std::vector<std::string> out;
    std::string own_zone = it.nodes.at(own).address.zone;
    for (auto &[name, view] : it.nodes) {
        duration age = now - view.status_at;
        bool is_near = view.address.zone == own_zone;
        duration max_age = is_near ? stale_status_age_in_zone : stale_status_age;
        bool is_quiet = (view.in_flight > 0 && age >= probe_delay) || age >= max_age;
        if (name != own && view.linked && is_quiet && !view.probed_at) {
            view.probed_at = now;
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
        if (silent != view.reported_silent) {
            view.reported_silent = silent;
            out.push_back(silence_change{name, silent, view.in_flight});
        }
    }
    return out;
}

}  // namespace gullstall::mesh
