#include "gullstall/src/mesh/call_chain.hpp"

#include <algorithm>
#include <cctype>

namespace gullstall::mesh {

namespace {

/// How far the expiry of a call may lie from that of its run. Both are told in
/// whole milliseconds; a call that waited for this process looks later.
constexpr duration earlier_match = milliseconds(2);
constexpr duration later_match = milliseconds(8);

/// Share of a route's requests that must match a run for all that match to
/// count as calls of runs. A caller's request matches by chance only: with 100
/// runs open over a second, in about 1 of 2 cases; calls of runs nearly always.
constexpr double inner_share = 0.75;
constexpr double share_weight = 0.1;

/// Runs of a route after which what they ask for is believed.
constexpr double enough_runs = 20;

/// Runs that count; older ones fade, so that a new version of an upstream with
/// other calls is learned within some hundred runs.
constexpr double most_runs = 400;

}  // namespace

void note_run(call_chain &it, run_ref run, const std::string &request_id, const std::string &route,
              time_point expires)
{
    it.open.emplace(expires, run);
    it.open_ids[request_id] = run;
    call_chain::observed &seen = it.below[route];
    seen.runs += 1;
    if (seen.runs > most_runs) {
        seen.runs /= 2;
        for (auto &[name, calls] : seen.calls) {
            calls /= 2;
        }
    }
}

void note_run_end(call_chain &it, run_ref run, const std::string &request_id, time_point expires)
{
    auto known = it.open_ids.find(request_id);
    if (known != it.open_ids.end() && known->second == run) {
        it.open_ids.erase(known);
    }
    auto [begin, end] = it.open.equal_range(expires);
    auto found = std::find_if(begin, end, [run](const auto &entry) { return entry.second == run; });
    if (found != end) {
        it.open.erase(found);
    }
}

namespace {

/// \returns the run whose id is the part of \a request_id before its last
/// separator
std::optional<run_ref> parent_by_id(const call_chain &it, const std::string &request_id)
{
    auto is_separator = [](unsigned char c) { return std::isalnum(c) == 0; };
    auto last = std::find_if(request_id.rbegin(), request_id.rend(), is_separator);
    if (last == request_id.rend()) {
        return std::nullopt;
    }
    auto length = static_cast<std::size_t>(std::distance(last, request_id.rend())) - 1;
    auto found = it.open_ids.find(request_id.substr(0, length));
    return found == it.open_ids.end() ? std::nullopt : std::optional(found->second);
}

}  // namespace

std::optional<run_ref> find_parent(call_chain &it, const std::string &request_id,
                                   const std::string &route, time_point expires)
{
    if (std::optional<run_ref> named = parent_by_id(it, request_id)) {
        return named;
    }
    std::optional<run_ref> best;
    duration least = later_match;
    for (auto each = it.open.lower_bound(expires - later_match);
         each != it.open.end() && each->first <= expires + earlier_match; ++each) {
        duration distance = std::chrono::abs(expires - each->first);
        if (!best || distance < least) {
            best = each->second;
            least = distance;
        }
    }
    call_chain::origin &origin = it.origins[route];
    double weight = std::max(share_weight, 1.0 / (origin.seen + 1.0));
    origin.matched += weight * ((best ? 1 : 0) - origin.matched);
    origin.seen += origin.seen < most_runs ? 1 : 0;
    return origin.matched >= inner_share ? best : std::nullopt;
}

void note_child(call_chain &it, const std::string &parent_route, const std::string &route)
{
    it.below[parent_route].calls[route] += 1;
}

std::optional<calls_per_run> learned_calls(const call_chain &it, const std::string &route)
{
    auto found = it.below.find(route);
    if (found == it.below.end() || found->second.runs < enough_runs) {
        return std::nullopt;
    }
    calls_per_run out;
    for (const auto &[name, calls] : found->second.calls) {
        out[name] = calls / found->second.runs;
    }
    return out;
}

}  // namespace gullstall::mesh
