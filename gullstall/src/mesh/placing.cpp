#include "gullstall/src/mesh/placing.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace gullstall::mesh {

namespace {

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

/// Crossings between zones that must be saved for a call to leave its zone.
constexpr double least_saving = 0.5;

bool is_candidate(const node_view &it, const placement_request &wanted, time_point now)
{
    bool is_tried =
        std::find(wanted.tried.begin(), wanted.tried.end(), it.address.node) != wanted.tried.end();
    return !is_tried && is_usable(it, wanted.service, now);
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

std::string choose_node(const directory &it, const zone_plan &plan, const placement_request &wanted,
                        random_source &random, time_point now, const mesh_switches &on)
{
    std::vector<const node_view *> usable;
    for (const auto &[name, view] : it.nodes) {
        if (is_candidate(view, wanted, now)) {
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

}  // namespace gullstall::mesh
