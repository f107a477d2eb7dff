#include <algorithm>
#include <cmath>

#include "gullstall/src/mesh/mesh_node.hpp"

namespace gullstall::mesh {

namespace {

/// How long the averages over the nodes serve.
constexpr duration states_memory = milliseconds(20);

/// Change of demand or capacity, as a share of the capacity, that is told at once.
/// Smaller ones go with the next status.
constexpr double told_change = 0.1;

/// Part of the capacity below which changes can wait: nothing is refused there.
constexpr double calm_part = 0.7;

/// Change of what runs ask for, in calls a run, that is told.
constexpr double told_calls_change = 0.2;

constexpr double milli = 1000;

bool has_changed(const calls_per_run &before, const calls_per_run &now)
{
    return std::any_of(now.begin(), now.end(), [&](const auto &entry) {
        auto known = before.find(entry.first);
        double was = known == before.end() ? 0 : known->second;
        return std::abs(entry.second - was) > told_calls_change;
    });
}

mesh_wire::chain_news_message news_of(const std::map<std::string, calls_per_run> &calls)
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

void renew_plan(mesh_turn &t)
{
    if (t.n.plan_is_old) {
        plan_levels(t.n.plan, *t.n.policy, t.n.on);
        t.n.plan_is_old = false;
    }
}

double total_demand(const std::vector<mesh_wire::demand_part> &parts)
{
    double out = 0;
    for (const mesh_wire::demand_part &it : parts) {
        out += it.runs_per_s();
    }
    return out;
}

std::uint64_t to_count(double n)
{
    return static_cast<std::uint64_t>(n);
}

/// Takes what has changed of the own runs into what is told.
/// \returns whether there was something
bool note_own_calls(mesh_turn &t)
{
    bool changed = false;
    for (const auto &[route, seen] : t.n.chain.below) {
        std::optional<calls_per_run> learned = learned_calls(t.n.chain, route);
        if (learned && has_changed(t.n.told_calls[route], *learned)) {
            t.n.told_calls[route] = *learned;
            t.n.plan.calls[route] = *learned;
            t.n.plan_is_old = true;
            changed = true;
        }
        if (learned && has_changed(t.n.kept_calls[route], *learned)) {
            t.n.kept_calls[route] = *learned;
            t.out.emplace_back(keep_chain{route, *learned});
        }
    }
    return changed;
}

}  // namespace

entry_verdict judge_at_entry(mesh_turn &t, const std::string &route, double place)
{
    renew_plan(t);
    if (t.now - t.n.states_at >= states_memory) {
        refresh_own_view(t);
        t.n.states = states_of_services(t.n.nodes, t.now);
        t.n.states_at = t.now;
    }
    if (t.n.on.chains_need_all && lacks_service(t.n.plan, route, t.n.states)) {
        return entry_verdict{mesh_wire::reason::no_upstream, 0};
    }
    admitted_shares shares = shares_of(t.n.plan, route, t.n.states, t.n.on);
    double share = admitted_share(shares);
    if (place >= share) {
        bool has_room = place < shares.by_room;
        return entry_verdict{has_room ? mesh_wire::reason::shed : mesh_wire::reason::overload,
                             share};
    }
    return entry_verdict{std::nullopt, share};
}

void admission_tick(mesh_turn &t)
{
    if (!t.n.policy || !t.n.upstream.latest || !update_gate_demand(t.n.demand, t.now)) {
        return;
    }
    renew_plan(t);
    t.n.capacity = capacity_of(t.n.gate);
    t.n.demand_parts = demand_by_weight(t.n.demand, t.n.plan.weights[t.n.upstream.latest->service]);
    double demand = total_demand(t.n.demand_parts);
    double capacity = t.n.capacity.beside_queue;
    double least_change = told_change * capacity;
    bool has_moved = std::abs(demand - t.n.told_demand) > least_change ||
                     std::abs(capacity - t.n.told_capacity) > least_change;
    bool was_calm = t.n.told_demand < calm_part * t.n.told_capacity;
    bool is_calm = demand < calm_part * capacity;
    if (!has_moved || (was_calm && is_calm)) {
        return;
    }
    t.n.told_demand = demand;
    t.n.told_capacity = capacity;
    t.out.emplace_back(write_line{write_line::severity::info,
                                  "serve",
                                  "demand-moved",
                                  {{"demand_per_s", std::to_string(to_count(demand))},
                                   {"capacity_per_s", std::to_string(to_count(capacity))},
                                   {"running", std::to_string(t.n.gate.running)},
                                   {"waiting", std::to_string(t.n.gate.waiting.size())},
                                   {"slots", std::to_string(t.n.gate.slots)}}});
    spread_status(t);
}

void spread_chain_news(mesh_turn &t, bool to_all, std::optional<link_ref> link)
{
    bool changed = note_own_calls(t);
    if ((!changed && !to_all) || t.n.told_calls.empty()) {
        return;
    }
    for (const auto &[each, clock] : t.n.links) {
        if (changed || each == link) {
            t.out.emplace_back(send_to_link{each, mesh_frame(news_of(t.n.told_calls))});
        }
    }
}

void take_kept_chain(mesh_turn &t, const std::string &route, const calls_per_run &calls)
{
    t.n.kept_calls[route] = calls;
    if (!t.n.on.kept_chains) {
        return;
    }
    if (t.n.plan.calls.emplace(route, calls).second) {
        t.n.plan_is_old = true;
    }
}

void take_chain_news(mesh_turn &t, const mesh_wire::chain_news_message &news)
{
    for (const auto &entry : news.entries) {
        t.n.plan.calls[entry->route][entry->child] = entry->calls_milli / milli;
    }
    t.n.plan_is_old = true;
}

}  // namespace gullstall::mesh
