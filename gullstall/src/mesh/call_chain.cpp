#include "gullstall/src/mesh/call_chain.hpp"

#include <algorithm>
#include <cctype>

namespace gullstall::mesh {

namespace {

/// Minimum number of runs for an estimate.
constexpr double min_runs = 20;

/// Number of runs from which older ones are discounted, so that changed calls of a new
/// upstream version are learned within a few hundred runs.
constexpr double max_runs = 400;

}  // namespace

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
    call_chain::observed &seen = it.observed_by_route[ended.route];
    seen.runs += 1;
    for (const auto &[route, calls] : ended.calls) {
        seen.calls[route] += calls;
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
        found->second.calls[route] += 1;
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
    return out;
}

}  // namespace gullstall::mesh
