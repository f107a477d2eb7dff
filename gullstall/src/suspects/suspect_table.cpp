#include "gullstall/src/suspects/suspect_table.hpp"

#include <algorithm>

namespace gullstall {

namespace {

constexpr duration suspect_lifetime = seconds(600);
constexpr duration check_interval = milliseconds(500);
constexpr duration crash_loss_window = milliseconds(200);

/// Checks a crash against the state of its zone: a network partition silences all
/// nodes of a zone at once without crashing any.
/// \returns whether the crash was a partition and is to be removed
bool is_partition(suspect::observed_crash &observed, time_point now,
                  const std::function<bool(const std::string &)> &zone_alive)
{
    if (observed.confirmed || now < observed.at + partition_check_delay) {
        return false;
    }
    observed.confirmed = true;
    return !zone_alive(observed.what.lost_peer);
}

}  // namespace

bool record_suspect(suspect_table &table, const std::string &request, const crash &what,
                    time_point now)
{
    suspect &entry = table.suspects[request];
    entry.expires_at = now + suspect_lifetime;
    return entry.crashes
        .try_emplace(what.name, suspect::observed_crash{what, now, what.lost_peer.empty()})
        .second;
}

void add_pending_report(suspect_table &table, const std::string &request, const crash &what)
{
    auto found = std::find_if(table.pending_reports.begin(), table.pending_reports.end(),
                              [&](const suspect_report &report) { return report.what == what; });
    if (found == table.pending_reports.end()) {
        found = table.pending_reports.insert(table.pending_reports.end(), suspect_report{what, {}});
    }
    found->requests.push_back(request);
}

crash local_crash(suspect_table &table, const std::string &instance, std::uint64_t incarnation,
                  time_point now)
{
    if (table.local_crashes == 0 || now > table.last_lost_run + crash_loss_window) {
        ++table.local_crashes;
    }
    table.last_lost_run = now;
    return crash{
        instance + ":" + std::to_string(incarnation) + ":" + std::to_string(table.local_crashes),
        "", 0};
}

bool clear_suspect(suspect_table &table, const std::string &request)
{
    auto found = table.suspects.find(request);
    if (found == table.suspects.end() || found->second.crashes.size() >= crashes_to_refuse) {
        return false;
    }
    table.suspects.erase(found);
    return true;
}

std::size_t crashes_of(const suspect_table &table, const std::string &request)
{
    auto found = table.suspects.find(request);
    return found == table.suspects.end() ? 0 : found->second.crashes.size();
}

void prune_suspects(suspect_table &table, time_point now,
                    const std::function<bool(const std::string &)> &zone_alive)
{
    if (now < table.next_check) {
        return;
    }
    table.next_check = now + check_interval;
    for (auto next = table.suspects.begin(); next != table.suspects.end();) {
        auto &crashes = next->second.crashes;
        for (auto observed = crashes.begin(); observed != crashes.end();) {
            observed = is_partition(observed->second, now, zone_alive) ? crashes.erase(observed)
                                                                       : std::next(observed);
        }
        bool expired = crashes.empty() || now >= next->second.expires_at;
        next = expired ? table.suspects.erase(next) : std::next(next);
    }
}

}  // namespace gullstall
