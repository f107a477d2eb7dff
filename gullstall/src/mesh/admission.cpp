#include <algorithm>
#include <cmath>

#include "gullstall/src/mesh/mesh_node.hpp"

namespace gullstall::mesh {

namespace {

/// How long the averages over the nodes serve.
constexpr duration states_memory = milliseconds(20);

/// Change of the own level, as a share, that is told at once. Smaller ones go
/// with the next status.
constexpr double told_change = 0.05;

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
    }
    return changed;
}

}  // namespace

std::optional<mesh_wire::reason> refusal_at_entry(mesh_turn &t, const std::string &route,
                                                  double place)
{
    if (t.n.plan_is_old) {
        plan_levels(t.n.plan, *t.n.policy);
        t.n.plan_is_old = false;
    }
    if (t.now - t.n.states_at >= states_memory) {
        refresh_own_view(t);
        t.n.states = states_of_services(t.n.nodes, t.now);
        t.n.states_at = t.now;
    }
    if (t.n.guards.chains_need_all && lacks_service(t.n.plan, route, t.n.states)) {
        return mesh_wire::reason::no_upstream;
    }
    if (place >= admitted_share(t.n.plan, route, t.n.states)) {
        return mesh_wire::reason::overload;
    }
    return std::nullopt;
}

void admission_tick(mesh_turn &t)
{
    duration oldest{};
    if (!t.n.gate.waiting.empty()) {
        oldest = t.now - t.n.runs.at(t.n.gate.waiting.begin()->second).arrived_at;
    }
    double used = t.n.gate.slots > 0 ? static_cast<double>(t.n.gate.running) / t.n.gate.slots : 0;
    if (!update_gate_level(t.n.level, oldest, used, t.now)) {
        return;
    }
    if (std::abs(t.n.level.level - t.n.told_level) > told_change * t.n.told_level) {
        t.n.told_level = t.n.level.level;
        t.out.emplace_back(write_line{write_line::severity::info,
                                      "serve",
                                      "level-moved",
                                      {{"gate_level", std::to_string(t.n.level.level)},
                                       {"oldest_wait_ms", std::to_string(to_ms(oldest))},
                                       {"running", std::to_string(t.n.gate.running)},
                                       {"waiting", std::to_string(t.n.gate.waiting.size())},
                                       {"slots", std::to_string(t.n.gate.slots)}}});
        spread_status(t);
    }
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

void take_chain_news(mesh_turn &t, const mesh_wire::chain_news_message &news)
{
    for (const auto &entry : news.entries) {
        t.n.plan.calls[entry->route][entry->child] = entry->calls_milli / milli;
    }
    t.n.plan_is_old = true;
}

}  // namespace gullstall::mesh
