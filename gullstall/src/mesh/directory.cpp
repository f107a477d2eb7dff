#include "gullstall/src/mesh/directory.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

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

/// Share of its slots from which on an upstream counts as busy: a call that comes
/// then may wait for a slot. Below it calls stay within the zone, since each
/// crossing costs about 1 ms and money, and a slower upstream costs less.
constexpr double busy_share = 0.95;

/// Share of failures from which on calls may leave the zone too.
constexpr double failing_share = 0.2;

/// By how many times an upstream of another zone must then look cheaper.
constexpr double other_zone_cost = 2;

/// Power of the cost by which calls are drawn: an upstream that looks twice as
/// dear gets an eighth. The best alone would draw the calls of all nodes until
/// its next status, and one that was slow once would never be tried again.
constexpr double cost_power = 3;

/// Time without a sign after which a node with calls from here is asked for one:
/// more than the time of most runs, so that under load nothing is asked.
constexpr duration quiet_time = milliseconds(150);

/// Time in which a node that was asked must answer to be given more calls. A cut
/// or a frozen node shows so within half a second; the connection itself is given
/// up much later, since the answers to what is in flight are lost with it. A node
/// at work on a full core answers within 100 ms.
constexpr duration answer_time = milliseconds(250);

/// Crossings between zones that must be saved for a call to leave its zone.
constexpr double least_saving = 0.5;

bool is_silent(const node_view &it, time_point now)
{
    return it.asked_at && now - *it.asked_at >= answer_time;
}

bool is_usable(const node_view &it, const placement_request &wanted, time_point now)
{
    return it.linked && !is_silent(it, now) && !it.status.stopping &&
           it.status.service == wanted.service &&
           it.status.state == mesh_wire::upstream_state::ready && it.status.slots > 0 &&
           std::find(wanted.tried.begin(), wanted.tried.end(), it.address.node) ==
               wanted.tried.end();
}

double recent_failures(const node_view &it, time_point now)
{
    auto passed = static_cast<double>((now - it.failed_at).count());
    return it.failures * std::exp2(-passed / failure_half_life_us);
}

/// \returns the share of its slots that one more call would find in use or
/// waited for
double used_share(const node_view &it)
{
    return (it.status.running + it.status.waiting + it.sent_since + 1.0) / it.status.slots;
}

/// \returns the time until an answer of one more call, microseconds
/// \param usual_us run time that is assumed where none is known
double expected_us(const node_view &it, double usual_us, time_point now, const mesh_switches &on)
{
    double run_us = it.status.run_time_us > 0 ? it.status.run_time_us : usual_us;
    // Below full the run time counts; the part in use still matters a little,
    // so that equal upstreams share the calls. Beyond full it is the queue.
    double used = used_share(it);
    double wait = std::max(0.0, used - 1) * run_us;
    double failing = on.failure_cost ? failure_cost * recent_failures(it, now) : 0;
    return (run_us * (1 + used / 2) + wait) * (1 + failing);
}

struct candidate
{
    const node_view *node = nullptr;
    double cost = 0;
};

/// Draws one of \a all, the cheaper the likelier.
candidate draw(const std::vector<candidate> &all, random_source &random, const mesh_switches &on)
{
    double power = on.cost_draw ? cost_power : 0;
    double total = 0;
    for (const candidate &it : all) {
        total += std::pow(it.cost, -power);
    }
    double at = draw_fraction(random) * total;
    for (const candidate &it : all) {
        at -= std::pow(it.cost, -power);
        if (at <= 0) {
            return it;
        }
    }
    return all.empty() ? candidate{} : all.back();
}

/// Sums over the upstreams of a service.
struct service_sums
{
    double taking = 0;  ///< slots, less the share that turns calls away
    double shed = 0;    ///< share turned away, weighed by these slots
    double capacity = 0;
    double full = 0;       ///< capacity when nothing waits
    bool is_known = true;  ///< all upstreams have told their capacity
    weighted_demand demand;
};

void add_node(service_sums &it, const mesh_wire::node_status_message &status)
{
    constexpr double milli = 1000;
    double shed = std::min(1.0, status.shed_milli / milli);
    double takes = status.slots * (1 - shed);
    it.taking += takes;
    it.shed += takes * shed;
    it.capacity += status.capacity_per_s;
    it.full += status.full_per_s;
    it.is_known = it.is_known && status.capacity_per_s > 0;
    for (const mesh_wire::demand_part &part : status.demand) {
        it.demand[part.weight_milli() / milli] += part.runs_per_s();
    }
}

/// \returns the share of the demand of the most urgent class that fits when nothing
/// else is let in
double urgent_share(const service_sums &it)
{
    double urgent = 0;
    for (const auto &[weight, per_s] : it.demand) {
        urgent += weight >= 1 ? per_s : 0;
    }
    return urgent > it.full ? it.full / urgent : 1;
}

/// \returns how often a call crosses between zones when it goes to \a node, and
/// the calls of its run after it. A little is added for each other zone, so that
/// the own one is taken where it is as good.
double crossings_at(const node_view &node, const zone_plan &plan, const placement_request &wanted)
{
    constexpr double other_zone = 1 + least_saving;
    bool is_own = node.address.zone == wanted.zone;
    return (is_own ? 0 : other_zone) + crossings_below(plan, wanted.route, node.address.zone);
}

double fewest_crossings(const std::vector<const node_view *> &all, const zone_plan &plan,
                        const placement_request &wanted)
{
    double out = std::numeric_limits<double>::max();
    for (const node_view *it : all) {
        out = std::min(out, crossings_at(*it, plan, wanted));
    }
    return out;
}

/// \returns whether calls may go to another zone in place of \a near
bool may_leave_zone(const candidate &near, time_point now)
{
    return near.node == nullptr || used_share(*near.node) >= busy_share ||
           recent_failures(*near.node, now) >= failing_share;
}

/// \returns the run time of an upstream that has not told one: the shortest of
/// its service, so that a new one is tried soon
double usual_run_us(const std::vector<const node_view *> &all)
{
    double out = 0;
    for (const node_view *it : all) {
        double run_us = it->status.run_time_us;
        out = run_us > 0 && (out == 0 || run_us < out) ? run_us : out;
    }
    return out > 0 ? out : assumed_run_us;
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
        known.failures = recent_failures(known, now) * (1 - failure_weight) + failure_weight;
        known.failed_at = now;
        return;
    }
    if (end == call_end::good) {
        known.failures *= 1 - failure_weight;
    }
}

std::string choose_node(const directory &it, const zone_plan &plan, const placement_request &wanted,
                        random_source &random, time_point now, const mesh_switches &on)
{
    std::vector<const node_view *> usable;
    for (const auto &[name, view] : it.nodes) {
        if (is_usable(view, wanted, now)) {
            usable.push_back(&view);
        }
    }
    double usual_us = usual_run_us(usable);
    double fewest = fewest_crossings(usable, plan, wanted);
    std::vector<candidate> near;
    std::vector<candidate> far;
    for (const node_view *view : usable) {
        bool is_near =
            !on.own_zone_first || crossings_at(*view, plan, wanted) < fewest + least_saving;
        (is_near ? near : far).push_back(candidate{view, expected_us(*view, usual_us, now, on)});
    }
    candidate best = draw(near, random, on);
    if (may_leave_zone(best, now)) {
        candidate other = draw(far, random, on);
        bool is_better = best.node == nullptr || other.cost * other_zone_cost < best.cost;
        best = other.node != nullptr && is_better ? other : best;
    }
    return best.node == nullptr ? std::string() : best.node->address.node;
}

std::vector<std::string> nodes_to_ask(directory &it, const std::string &own, time_point now)
{
    std::vector<std::string> out;
    for (auto &[name, view] : it.nodes) {
        bool is_quiet = view.in_flight > 0 && now - view.status_at >= quiet_time;
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

service_zones zones_of_services(const directory &it, time_point now)
{
    service_zones out;
    for (const auto &[name, view] : it.nodes) {
        if (is_usable(view, placement_request{view.status.service, "", {}, ""}, now)) {
            out[view.status.service].insert(view.address.zone);
        }
    }
    return out;
}

std::map<std::string, service_state> states_of_services(const directory &it, time_point now)
{
    std::map<std::string, service_sums> sums;
    for (const auto &[name, view] : it.nodes) {
        if (is_usable(view, placement_request{view.status.service, "", {}, ""}, now)) {
            add_node(sums[view.status.service], view.status);
        }
    }
    std::map<std::string, service_state> out;
    for (const auto &[service, sum] : sums) {
        service_state &state = out[service];
        state.level = sum.is_known ? level_for(sum.demand, sum.capacity) : open_level;
        state.urgent_share = urgent_share(sum);
        state.shed = sum.taking > 0 ? sum.shed / sum.taking : 1;
    }
    return out;
}

double service_load(const directory &it, const std::string &service, time_point now)
{
    double used = 0;
    double slots = 0;
    for (const auto &[name, view] : it.nodes) {
        if (is_usable(view, placement_request{service, "", {}, ""}, now)) {
            used += view.status.running + view.status.waiting;
            slots += view.status.slots;
        }
    }
    return slots > 0 ? used / slots : 0;
}

}  // namespace gullstall::mesh
