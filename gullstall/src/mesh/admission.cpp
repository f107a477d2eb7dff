#include <algorithm>
#include <cmath>
#include <set>

#include "gullstall/src/mesh/mesh_node.hpp"
#include "gullstall/src/mesh/status_relay.hpp"
#include "gullstall/src/mesh/zone_duty.hpp"

namespace gullstall::mesh {

namespace {

/// How long the computed service states are reused before they are recomputed.
constexpr duration service_states_ttl = milliseconds(20);

/// Change of demand or capacity, as a fraction of the capacity, that is sent to the
/// other nodes at once. Smaller changes go out with the next periodic status.
constexpr double min_reported_change = 0.1;

/// Fraction of the capacity below which demand changes are not urgent: no request is
/// refused at that load.
constexpr double uncongested_fraction = 0.7;

/// Change of the learned calls per run that is sent to the other nodes.
constexpr double min_reported_calls_change = 0.2;

constexpr double milli = 1000;
constexpr double us_per_ms = 1000;

bool has_changed(const calls_per_run &before, const calls_per_run &now)
{
    return std::any_of(now.begin(), now.end(), [&](const auto &entry) {
        auto found = before.find(entry.first);
        double was = found == before.end() ? 0 : found->second;
        return std::abs(entry.second - was) > min_reported_calls_change;
    });
}

mesh_wire::chain_news_message to_chain_news(const known_chains &calls)
{
    mesh_wire::chain_news_message out;
    for (const auto &[route, children] : calls) {
        for (const auto &[child, n] : children) {
            auto entry = std::make_unique<mesh_wire::route_calls_message>();
            entry->route = route;
            entry->child = child;
            entry->calls_milli = static_cast<std::uint32_t>(n * milli);
            out.entries.push_back(std::move(entry));
        }
    }
    return out;
}

/// \returns the values as name=value
std::string print_values(const std::map<std::string, double> &it)
{
    std::string out;
    for (const auto &[name, value] : it) {
        out += (out.empty() ? "" : " ") + name + "=" + std::to_string(value);
    }
    return out;
}

double total_demand(const std::vector<mesh_wire::demand_part> &parts)
{
    double out = 0;
    for (const mesh_wire::demand_part &it : parts) {
        out += it.runs_per_s();
    }
    return out;
}

void log_weights_by_cost(mesh_turn &t)
{
    for (const std::string &service : t.n.plan.counted_by_cost) {
        t.out.emplace_back(write_line{write_line::severity::info,
                                      "entry",
                                      "weights-by-cost",
                                      {{"service", service},
                                       {"run_cost_us", print_values(t.n.plan.costs[service])},
                                       {"weights", print_values(t.n.plan.weights[service])}}});
    }
}

/// Notes the costs that the upstreams tell.
void adopt_costs(mesh_turn &t)
{
    if (update_costs(t.n.plan, t.n.states)) {
        t.n.plan_outdated = true;
        t.n.costs_changed = true;
    }
}

/// \returns the cost of a run that the local upstream has not run yet: that of its service,
/// else the mean of the local runs
double usual_held_us(const mesh_node &n, const std::string &route)
{
    auto costs = n.plan.costs.find(n.upstream.latest->service);
    if (costs == n.plan.costs.end() || costs->second.count(route) == 0) {
        return n.gate.mean_run_us;
    }
    return costs->second.at(route);
}

/// \returns the number of waiting calls of requests that are admitted first at the local service
std::size_t count_urgent_waiting(const mesh_node &n)
{
    auto weights = n.plan.weights.find(n.upstream.latest->service);
    if (weights == n.plan.weights.end() || !n.features.urgent_drain) {
        return 0;
    }
    auto is_urgent = [&](const auto &entry) {
        auto weight = weights->second.find(n.runs.at(entry.second).call.root);
        return weight != weights->second.end() && weight->second >= 1;
    };
    return static_cast<std::size_t>(
        std::count_if(n.gate.waiting.begin(), n.gate.waiting.end(), is_urgent));
}

std::uint64_t to_count(double n)
{
    return static_cast<std::uint64_t>(n);
}

/// Copies calls per run learned from local runs into the values that are sent to the
/// other nodes and to the store, where they have changed.
/// \returns whether the values for the other nodes have changed
bool update_reported_calls(mesh_turn &t)
{
    bool changed = false;
    for (const auto &[route, samples] : t.n.chain.observed_by_route) {
        std::optional<calls_per_run> learned = learned_calls(t.n.chain, route);
        if (learned && has_changed(t.n.announced_calls[route], *learned)) {
            t.n.announced_calls[route] = *learned;
            t.n.plan.calls[route] = *learned;
            t.n.plan_outdated = true;
            changed = true;
        }
        if (learned && has_changed(t.n.stored_calls[route], *learned)) {
            t.n.stored_calls[route] = *learned;
            t.out.emplace_back(store_chain{route, *learned});
        }
    }
    return changed;
}

}  // namespace

admission_decision admit_request(mesh_turn &t, const std::string &route, const std::string &root,
                                 double place)
{
    if (t.now - t.n.states_at >= service_states_ttl) {
        update_own_status(t);
        t.n.states = compute_service_states(t.n.nodes, t.now);
        t.n.states_at = t.now;
        adopt_costs(t);
    }
    if (t.n.features.chains_need_all && needs_unavailable_service(t.n.plan, route, t.n.states)) {
        return admission_decision{mesh_wire::reason::no_upstream, 0};
    }
    admitted_shares shares = admitted_shares_for(t.n.plan, route, root, t.n.states, t.n.features);
    double share = admitted_share(shares);
    if (place >= share) {
        bool has_capacity = place < shares.by_capacity;
        return admission_decision{
            has_capacity ? mesh_wire::reason::shed : mesh_wire::reason::overload, share};
    }
    return admission_decision{std::nullopt, share};
}

void refresh_plan(mesh_turn &t)
{
    double spread = t.n.settings.limits.cost_spread;
    if (!t.n.policy || (!t.n.plan_outdated && t.n.plan.cost_spread == spread)) {
        return;
    }
    t.n.plan.cost_spread = spread;
    update_admission_plan(t.n.plan, *t.n.policy, t.n.features);
    t.n.plan_outdated = false;
    t.n.zones_outdated = true;
    if (t.n.costs_changed) {
        t.n.costs_changed = false;
        log_weights_by_cost(t);
    }
}

bool counts_by_cost(const mesh_node &n)
{
    return n.upstream.latest && n.plan.counted_by_cost.count(n.upstream.latest->service) > 0;
}

double load_of_run(const mesh_node &n, const std::string &route)
{
    if (!counts_by_cost(n)) {
        return 1;
    }
    double held_us = mean_held_us(n.costs, route);
    if (held_us == 0) {
        held_us = usual_held_us(n, route);
    }
    return held_us / us_per_ms;
}

gate_capacity own_capacity(const mesh_node &n)
{
    gate_capacity out = capacity_of(n.gate, count_urgent_waiting(n));
    if (!counts_by_cost(n)) {
        return out;
    }
    double ms_per_run = n.gate.mean_run_us / us_per_ms;
    return gate_capacity{out.available_per_s * ms_per_run, out.urgent_per_s * ms_per_run};
}

void admission_tick(mesh_turn &t)
{
    if (!t.n.policy || !t.n.upstream.latest || !update_gate_demand(t.n.demand, t.now)) {
        return;
    }
    t.n.capacity = own_capacity(t.n);
    t.n.demand_parts = demand_by_weight(t.n.demand, t.n.plan.weights[t.n.upstream.latest->service]);
    double demand = total_demand(t.n.demand_parts);
    double capacity = t.n.capacity.available_per_s;
    double min_change = min_reported_change * capacity;
    bool has_moved = std::abs(demand - t.n.announced_demand) > min_change ||
                     std::abs(capacity - t.n.announced_capacity) > min_change;
    bool was_uncongested = t.n.announced_demand < uncongested_fraction * t.n.announced_capacity;
    bool is_uncongested = demand < uncongested_fraction * capacity;
    if (!has_moved || (was_uncongested && is_uncongested)) {
        return;
    }
    t.n.announced_demand = demand;
    t.n.announced_capacity = capacity;
    t.out.emplace_back(write_line{write_line::severity::info,
                                  "serve",
                                  "demand-moved",
                                  {{"demand_per_s", std::to_string(to_count(demand))},
                                   {"capacity_per_s", std::to_string(to_count(capacity))},
                                   {"running", std::to_string(t.n.gate.running)},
                                   {"waiting", std::to_string(t.n.gate.waiting.size())},
                                   {"slots", std::to_string(t.n.gate.slots)}}});
    send_status_nearby(t);
}

void broadcast_chain_news(mesh_turn &t)
{
    if (!update_reported_calls(t)) {
        return;
    }
    std::vector<link_ref> links;
    for (const auto &[each, peer] : t.n.links) {
        links.push_back(each);
    }
    if (!links.empty()) {
        t.out.emplace_back(
            send_to_links{std::move(links), mesh_frame(to_chain_news(t.n.announced_calls))});
    }
}

void greet_with_chains(mesh_turn &t, link_ref link)
{
    const auto &self = t.n.settings.node;
    bool is_near = !t.n.features.relayed_statuses || t.n.links.at(link).zone == self.zone;
    const known_chains &calls = is_near ? t.n.announced_calls : t.n.plan.calls;
    if (!calls.empty() && (is_near || is_relay(t.n, t.now))) {
        t.out.emplace_back(send_to_link{link, mesh_frame(to_chain_news(calls))});
    }
}

void restore_chain(mesh_turn &t, const std::string &route, const calls_per_run &calls)
{
    calls_per_run kept = calls;
    keep_most_frequent(kept);
    if (calls_per_run *stored = find_or_add_chain(t.n.stored_calls, route)) {
        *stored = kept;
    }
    if (!t.n.features.kept_chains || t.n.plan.calls.count(route) > 0) {
        return;
    }
    if (calls_per_run *known = find_or_add_chain(t.n.plan.calls, route)) {
        *known = std::move(kept);
        t.n.plan_outdated = true;
    }
}

void handle_chain_news(mesh_turn &t, const mesh_wire::chain_news_message &news)
{
    std::set<std::string> changed;
    for (const auto &entry : news.entries) {
        if (calls_per_run *known = find_or_add_chain(t.n.plan.calls, entry->route)) {
            (*known)[entry->child] = entry->calls_milli / milli;
            changed.insert(entry->route);
        }
    }
    for (const std::string &route : changed) {
        keep_most_frequent(t.n.plan.calls.at(route));
    }
    t.n.plan_outdated = true;
}

}  // namespace gullstall::mesh
