#include "gullstall/src/mesh/call_graph.hpp"

#include <algorithm>
#include <cmath>

namespace gullstall::mesh {

namespace {

/// Rounds in which a sum over a cycle is approached, at most.
constexpr int max_rounds = 32;

/// Change of a sum, relative to the largest own value, below which it counts as reached.
constexpr double tolerance = 0.01;

constexpr std::size_t not_visited = static_cast<std::size_t>(-1);

/// State of Tarjan's algorithm, without recursion: chains may be long.
struct component_search
{
    struct frame
    {
        std::size_t route;
        std::size_t next_call = 0;
    };

    std::vector<std::size_t> order;   ///< of the visits, by route
    std::vector<std::size_t> lowest;  ///< order of the first route that is reached
    std::vector<bool> is_open;
    std::vector<std::size_t> open;  ///< visited routes whose component is not complete
    std::vector<frame> path;
    std::size_t visits = 0;
};

void visit(component_search &search, std::size_t route)
{
    search.order[route] = search.lowest[route] = search.visits++;
    search.open.push_back(route);
    search.is_open[route] = true;
    search.path.push_back(component_search::frame{route});
}

void close_component(component_search &search, std::size_t first, call_graph &out)
{
    std::vector<std::size_t> members;
    do {
        members.push_back(search.open.back());
        search.is_open[search.open.back()] = false;
        search.open.pop_back();
    } while (members.back() != first);
    out.components.push_back(std::move(members));
}

void find_components_from(component_search &search, std::size_t route, call_graph &out)
{
    visit(search, route);
    while (!search.path.empty()) {
        component_search::frame &top = search.path.back();
        std::size_t at = top.route;
        if (top.next_call < out.calls[at].size()) {
            std::size_t called = out.calls[at][top.next_call++].route;
            if (search.order[called] == not_visited) {
                visit(search, called);
            } else if (search.is_open[called]) {
                search.lowest[at] = std::min(search.lowest[at], search.order[called]);
            }
            continue;
        }
        if (search.lowest[at] == search.order[at]) {
            close_component(search, at, out);
        }
        search.path.pop_back();
        if (!search.path.empty()) {
            std::size_t caller = search.path.back().route;
            search.lowest[caller] = std::min(search.lowest[caller], search.lowest[at]);
        }
    }
}

void find_components(call_graph &out)
{
    std::size_t n = out.routes.size();
    component_search search;
    search.order.assign(n, not_visited);
    search.lowest.assign(n, not_visited);
    search.is_open.assign(n, false);
    for (std::size_t route = 0; route < n; ++route) {
        if (search.order[route] == not_visited) {
            find_components_from(search, route, out);
        }
    }
}

bool calls_itself(const call_graph &it, std::size_t route)
{
    return std::any_of(it.calls[route].begin(), it.calls[route].end(),
                       [&](const call_graph::call &call) { return call.route == route; });
}

/// \returns the largest value of each column
std::vector<double> largest_values(const route_values &it)
{
    std::vector<double> out(it.empty() ? 0 : it.front().size());
    for (const std::vector<double> &row : it) {
        for (std::size_t i = 0; i < row.size(); ++i) {
            out[i] = std::max(out[i], row[i]);
        }
    }
    return out;
}

void add_row(std::vector<double> &to, const std::vector<double> &row, double factor)
{
    for (std::size_t i = 0; i < to.size(); ++i) {
        to[i] += factor * row[i];
    }
}

/// Sums and what bounds them, by column.
struct sum_state
{
    route_values sums;
    std::vector<double> largest;  ///< own values
    std::vector<double> row;      ///< in work
};

/// Sets the sums of a route to its own values and the sums of its calls as they are known.
/// \returns the largest change relative to the largest own value
double update_sums(const call_graph &it, const std::vector<double> &own, std::size_t route,
                   sum_state &state)
{
    std::vector<double> &row = state.row;
    row = own;
    for (const call_graph::call &call : it.calls[route]) {
        add_row(row, state.sums[call.route], call.per_run);
    }
    double change = 0;
    for (std::size_t i = 0; i < row.size(); ++i) {
        row[i] = std::min(row[i], max_runs_per_run * state.largest[i]);
        double moved = std::abs(row[i] - state.sums[route][i]);
        change = moved > 0 ? std::max(change, moved / state.largest[i]) : change;
    }
    state.sums[route].swap(row);
    return change;
}

}  // namespace

call_graph make_call_graph(const traffic_policy &policy, const known_chains &calls)
{
    call_graph out;
    std::size_t n = policy.routes.size();
    out.calls.resize(n);
    for (std::size_t i = 0; i < n; ++i) {
        out.routes.push_back(&policy.routes[i]);
        auto known = calls.find(policy.routes[i].name);
        if (known == calls.end()) {
            continue;
        }
        for (const auto &[child, per_run] : known->second) {
            auto called = policy.routes_by_name.find(child);
            if (called != policy.routes_by_name.end() && per_run > 0) {
                out.calls[i].push_back(call_graph::call{called->second, per_run});
            }
        }
    }
    find_components(out);
    return out;
}

route_values sum_over_calls(const call_graph &it, route_values own)
{
    sum_state state{own, largest_values(own), {}};
    for (const std::vector<std::size_t> &members : it.components) {
        bool is_cycle = members.size() > 1 || calls_itself(it, members.front());
        double change = 1;
        for (int round = 0; round < (is_cycle ? max_rounds : 1) && change > tolerance; ++round) {
            change = 0;
            for (std::size_t route : members) {
                change = std::max(change, update_sums(it, own[route], route, state));
            }
        }
    }
    return std::move(state.sums);
}

}  // namespace gullstall::mesh
