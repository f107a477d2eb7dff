#include "gullstall/src/mesh/placing.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

#include "gullstall/src/mesh/service_costs.hpp"

namespace gullstall::mesh {

namespace {

/// Relative cost added at a failure rate of 1. A node with half of its calls failing costs
/// four times as much, so that a node three times slower is preferred.
constexpr double failure_cost = 6;

/// Run time assumed if no upstream of the service has reported one.
constexpr double assumed_run_us = 30000;

/// Utilization from which an upstream counts as busy: a further call may wait for a slot.
/// Below it calls stay within the zone: each crossing costs about 1 ms and traffic fees,
/// which outweighs a somewhat slower upstream.
constexpr double spill_utilization = 0.95;

/// Failure rate from which calls may leave the zone.
constexpr double spill_failure_rate = 0.2;

/// Factor by which an upstream in another zone must then be cheaper.
constexpr double other_zone_factor = 2;

/// Exponent of the inverse cost used as sampling weight: twice the cost gets an eighth of
/// the calls. Always choosing the cheapest would attract the calls of all nodes until its
/// next status, and an upstream that was slow once would never be tried again.
constexpr double cost_exponent = 3;

/// Zone crossings that a call must save to leave its zone.
constexpr double min_saved_crossings = 0.5;

bool is_candidate(const node_view &it, const placement_request &wanted, time_point now)
{
    bool is_tried = std::find(wanted.excluded_nodes.begin(), wanted.excluded_nodes.end(),
                              it.address.node) != wanted.excluded_nodes.end();
    return !is_tried && is_usable(it, wanted.service, now);
}

/// \returns the utilization including one more call; above 1 calls queue
double utilization(const node_view &it)
{
    return (it.status.running + it.status.waiting + it.sent_since_status + 1.0) / it.status.slots;
}

/// \returns the share of further calls to the node that is expected to fail
double expected_failures(const node_view &it, time_point now)
{
    constexpr double milli = 1000;
    return std::max(recent_failure_rate(it, now), it.status.error_milli / milli);
}

/// \returns the expected response time of one more call in microseconds, weighted by the
/// failure rate
/// \param fallback_run_us run time assumed if none is known
double expected_us(const node_view &it, const std::string &route, double fallback_run_us,
                   time_point now, const mesh_features &on)
{
    double told_us = told_run_us(it.status, route);
    double mean_us = told_us > 0 ? told_us : it.status.run_time_us;
    double run_us = mean_us > 0 ? mean_us : fallback_run_us;
    // Below saturation the run time dominates; utilization adds a little, so that equal
    // upstreams share the calls. Above it the queue dominates.
    double used = utilization(it);
    double wait = std::max(0.0, used - 1) * run_us;
    double failing = on.failure_cost ? failure_cost * expected_failures(it, now) : 0;
    return (run_us * (1 + used / 2) + wait) * (1 + failing);
}

struct candidate
{
    const node_view *node = nullptr;
    double cost = 0;
};

/// Samples one of \a all with the inverse cost to the given power as weight.
candidate sample_by(const std::vector<candidate> &all, double power, random_source &random)
{
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

/// Samples one of \a all; cheaper ones are more likely.
candidate sample(const std::vector<candidate> &all, random_source &random, const mesh_features &on)
{
    return sample_by(all, on.cost_draw ? cost_exponent : 0, random);
}

/// \returns the zone crossings of a call sent to \a node and of the calls that its run
/// makes. Another zone carries a surcharge, so that the local one wins ties.
double crossings_at(const node_view &node, const zone_plan &plan, const placement_request &wanted)
{
    constexpr double other_zone = 1 + min_saved_crossings;
    bool is_own = node.address.zone == wanted.zone;
    return (is_own ? 0 : other_zone) +
           cross_zone_calls_below(plan, wanted.route, node.address.zone);
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

/// \returns whether calls may go to another zone instead of \a near
bool may_leave_zone(const candidate &near, time_point now)
{
    return near.node == nullptr || utilization(*near.node) >= spill_utilization ||
           expected_failures(*near.node, now) >= spill_failure_rate;
}

/// \returns the run time assumed of an upstream that has reported none: the shortest of
/// its service, so that a new upstream is tried soon
double fallback_run_time_us(const std::vector<const node_view *> &all)
{
    double out = 0;
    for (const node_view *it : all) {
        double run_us = it->status.run_time_us;
        out = run_us > 0 && (out == 0 || run_us < out) ? run_us : out;
    }
    return out > 0 ? out : assumed_run_us;
}

/// \returns the name of a node with a limited upstream, empty if no usable one is known
std::string choose_node_to_wait_at(const directory &it, const placement_request &wanted,
                                   random_source &random, time_point now)
{
    constexpr double min_per_s = 1e-3;  // an upstream with a limit of zero has a weight, too
    std::vector<candidate> all;
    for (const auto &[name, view] : it.nodes) {
        if (is_limited(view.status) && is_candidate(view, wanted, now)) {
            double per_s = limit_per_s(*view.status.notice);
            all.push_back(candidate{&view, 1 / std::max(min_per_s, per_s)});
        }
    }
    const node_view *node = sample_by(all, 1, random).node;
    return node == nullptr ? std::string() : node->address.node;
}

}  // namespace

std::string choose_node(const directory &it, const zone_plan &plan, const placement_request &wanted,
                        random_source &random, time_point now, const mesh_features &on)
{
    std::vector<const node_view *> usable;
    for (const auto &[name, view] : it.nodes) {
        bool has_room = !on.limit_placing || has_limit_room(view, now);
        if (has_room && is_candidate(view, wanted, now)) {
            usable.push_back(&view);
        }
    }
    double fallback_run_us = fallback_run_time_us(usable);
    double fewest = fewest_crossings(usable, plan, wanted);
    std::vector<candidate> near;
    std::vector<candidate> far;
    for (const node_view *view : usable) {
        bool is_near =
            !on.own_zone_first || crossings_at(*view, plan, wanted) < fewest + min_saved_crossings;
        (is_near ? near : far)
            .push_back(candidate{view, expected_us(*view, wanted.route, fallback_run_us, now, on)});
    }
    candidate best = sample(near, random, on);
    if (may_leave_zone(best, now)) {
        candidate other = sample(far, random, on);
        bool is_better = best.node == nullptr || other.cost * other_zone_factor < best.cost;
        best = other.node != nullptr && is_better ? other : best;
    }
    return best.node == nullptr ? std::string() : best.node->address.node;
}

placement choose_placement(const directory &it, const zone_plan &plan,
                           const placement_request &wanted, random_source &random, time_point now,
                           const mesh_features &on)
{
    std::string node = choose_node(it, plan, wanted, random, now, on);
    return node.empty() ? placement{choose_node_to_wait_at(it, wanted, random, now), true}
                        : placement{node, false};
}

duration shortest_limit_wait(const directory &it, const std::string &service, time_point now)
{
    std::optional<duration> out;
    for (const auto &[name, view] : it.nodes) {
        if (is_usable(view, service, now)) {
            duration wait = std::max(duration{}, view.limit_free_at - now);
            out = std::min(wait, out.value_or(wait));
        }
    }
    return out.value_or(duration{});
}

}  // namespace gullstall::mesh
