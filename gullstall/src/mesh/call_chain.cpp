#include "gullstall/src/mesh/call_chain.hpp"

#include <algorithm>
#include <cctype>
#include <utility>
#include <vector>

namespace gullstall::mesh {

namespace {

/// Minimum number of runs for an estimate.
constexpr double min_runs = 20;

/// Number of runs from which older ones are discounted, so that changed calls of a new
/// upstream version are learned within a few hundred runs.
constexpr double max_runs = 400;

/// Calls that are counted for a route, before the rarest ones are left out.
constexpr std::size_t max_observed_calls = 4 * max_calls_per_route;

/// Adds to the entry of \a name, which is added if there are fewer than \a limit.
void add_bounded(std::map<std::string, double> &it, const std::string &name, double n,
                 std::size_t limit)
{
    auto found = it.find(name);
    if (found != it.end()) {
        found->second += n;
    } else if (it.size() < limit) {
        it.emplace(name, n);
    }
}

}  // namespace

void keep_most_frequent(calls_per_run &it)
{
    if (it.size() <= max_calls_per_route) {
        return;
    }
    std::vector<std::pair<double, std::string>> ranked;
    for (const auto &[route, n] : it) {
        ranked.emplace_back(n, route);
    }
    std::sort(ranked.rbegin(), ranked.rend());
    for (std::size_t i = max_calls_per_route; i < ranked.size(); ++i) {
        it.erase(ranked[i].second);
    }
}

calls_per_run *find_or_add_chain(known_chains &it, const std::string &route)
{
    auto found = it.find(route);
    if (found == it.end() && it.size() < max_known_chains) {
        found = it.emplace(route, calls_per_run{}).first;
    }
    return found == it.end() ? nullptr : &found->second;
}

void record_run_start(call_chain &it, run_ref run, const std::string &request_id,
                      const std::string &route)
{
    it.open_runs[request_id] = call_chain::open_run{run, route, {}};
}

void record_run_end(call_chain &it, run_ref run, const std::string &request_id, bool ended_well)
{
    auto found = it.open_runs.find(request_id);
    if (found == it.open_runs.end() || found->second.run != run) {
        return;
    }
    call_chain::open_run ended = std::move(found->second);
    it.open_runs.erase(found);
    if (!ended_well) {
        return;
    }
    bool is_known = it.observed_by_route.count(ended.route) > 0;
    if (!is_known && it.observed_by_route.size() >= max_known_chains) {
        return;
    }
    call_chain::observed &seen = it.observed_by_route[ended.route];
    seen.runs += 1;
    for (const auto &[route, calls] : ended.calls) {
        add_bounded(seen.calls, route, calls, max_observed_calls);
    }
    if (seen.runs > max_runs) {
        seen.runs /= 2;
        for (auto &[name, calls] : seen.calls) {
            calls /= 2;
        }
    }
}

std::optional<run_ref> find_parent(const call_chain &it, const std::string &request_id)
{
    // The id of a call is the id of its run, a separator and a suffix.
    auto is_separator = [](unsigned char c) { return std::isalnum(c) == 0; };
    auto last = std::find_if(request_id.rbegin(), request_id.rend(), is_separator);
    if (last == request_id.rend()) {
        return std::nullopt;
    }
    auto length = static_cast<std::size_t>(std::distance(last, request_id.rend())) - 1;
    auto found = it.open_runs.find(request_id.substr(0, length));
    return found == it.open_runs.end() ? std::nullopt : std::optional(found->second.run);
}

void record_call(call_chain &it, const std::string &parent_id, const std::string &route)
{
    auto found = it.open_runs.find(parent_id);
    if (found != it.open_runs.end()) {
        add_bounded(found->second.calls, route, 1, max_observed_calls);
    }
}

std::optional<calls_per_run> learned_calls(const call_chain &it, const std::string &route)
{
    auto found = it.observed_by_route.find(route);
    if (found == it.observed_by_route.end() || found->second.runs < min_runs) {
        return std::nullopt;
    }
    calls_per_run out;
    for (const auto &[name, calls] : found->second.calls) {
        out[name] = calls / found->second.runs;
    }
    keep_most_frequent(out);
    return out;
}

}  // namespace gullstall::mesh
