#include "gullstall/src/mesh/directory.hpp"

#include <algorithm>

namespace gullstall::mesh {

namespace {

/// Weight of one more call in the moving share of failures: about the last
/// twenty calls count.
constexpr double failure_weight = 0.05;

/// A share of failures is forgotten by half in this time, so that a node that
/// gets no calls is tried again.
constexpr double failure_half_life_us = 2000000;

/// By how many times a node whose every call fails looks dearer. A node with
/// half of its calls failing is so left for one that is three times slower.
constexpr double failure_cost = 6;

/// Run time that is assumed of an upstream that has not run anything.
constexpr double assumed_run_us = 30000;

/// By how many times an upstream in another zone must look cheaper. A request
/// between zones costs two crossings of about 1 ms, and money; a full upstream
/// costs the whole wait for a slot.
constexpr double other_zone_cost = 1.6;

bool is_usable(const node_view &it, const placement_request &wanted)
{
    return it.linked && !it.status.stopping && it.status.service == wanted.service &&
           it.status.state == mesh_wire::upstream_state::ready && it.status.slots > 0 &&
           std::find(wanted.tried.begin(), wanted.tried.end(), it.address.node) ==
               wanted.tried.end();
}

double recent_failures(const node_view &it, time_point now)
{
    auto passed = static_cast<double>((now - it.failed_at).count());
    return it.failures * std::exp2(-passed / failure_half_life_us);
}

/// \returns the time until an answer of one more call, microseconds
double expected_us(const node_view &it, time_point now)
{
    double run_us = it.status.run_time_us > 0 ? it.status.run_time_us : assumed_run_us;
    double ahead = it.status.running + it.status.waiting + it.sent_since + 1.0;
    // Below full the run time counts; the part in use still matters a little,
    // so that equal upstreams share the calls. Beyond full it is the queue.
    double used = ahead / it.status.slots;
    double wait = std::max(0.0, used - 1) * run_us;
    return (run_us * (1 + used / 2) + wait) * (1 + failure_cost * recent_failures(it, now));
}

struct candidate
{
    const node_view *node = nullptr;
    double cost = 0;
};

/// \returns the cheaper of two drawn at random: the best of all would draw the
/// calls of every node at once until its next status
candidate better_of_two(const std::vector<candidate> &all, random_source &random)
{
    if (all.empty()) {
        return candidate{};
    }
    std::size_t first = draw_below(random, all.size());
    std::size_t second = draw_below(random, all.size());
    if (first == second) {
        second = (second + 1) % all.size();
    }
    return all[first].cost <= all[second].cost ? all[first] : all[second];
}

}  // namespace

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

void note_link(directory &it, const std::string &node, bool linked)
{
    auto found = it.nodes.find(node);
    if (found == it.nodes.end()) {
        return;
    }
    found->second.linked = linked;
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
        known.failures = recent_failures(known, now) * (1 - failure_weight) + failure_weight;
        known.failed_at = now;
        return;
    }
    if (end == call_end::good) {
        known.failures *= 1 - failure_weight;
    }
}

std::string choose_node(const directory &it, const placement_request &wanted, random_source &random,
                        time_point now)
{
    std::vector<candidate> near;
    std::vector<candidate> far;
    for (const auto &[name, view] : it.nodes) {
        if (!is_usable(view, wanted)) {
            continue;
        }
        bool is_near = view.address.zone == wanted.zone;
        (is_near ? near : far).push_back(candidate{&view, expected_us(view, now)});
    }
    candidate best = better_of_two(near, random);
    candidate other = better_of_two(far, random);
    if (best.node == nullptr ||
        (other.node != nullptr && other.cost * other_zone_cost < best.cost)) {
        best = other;
    }
    return best.node == nullptr ? std::string() : best.node->address.node;
}

double service_load(const directory &it, const std::string &service)
{
    double used = 0;
    double slots = 0;
    for (const auto &[name, view] : it.nodes) {
        if (is_usable(view, placement_request{service, "", {}})) {
            used += view.status.running + view.status.waiting;
            slots += view.status.slots;
        }
    }
    return slots > 0 ? used / slots : 0;
}

}  // namespace gullstall::mesh
