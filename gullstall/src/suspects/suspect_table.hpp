#ifndef GULLSTALL_SUSPECTS_SUSPECT_TABLE_HPP
#define GULLSTALL_SUSPECTS_SUSPECT_TABLE_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "gullstall/src/core/time.hpp"

namespace gullstall {

/// Number of crashes after which a request is refused permanently.
constexpr std::size_t crashes_to_refuse = 2;

/// A crash of an upstream with requests in flight.
struct crash
{
    std::string name;       ///< identical at every node that reports the crash
    std::string lost_peer;  ///< instance whose node became silent too, empty when its node reported
                            ///< the crash
    std::uint64_t incarnation = 0;  ///< of lost_peer

    bool operator==(const crash &) const = default;
};

/// A request that was in flight when upstreams crashed.
struct suspect
{
    struct observed_crash
    {
        crash what;
        time_point at;
        bool confirmed;  ///< false while it may be a network partition instead of a crash
    };
    std::map<std::string, observed_crash> crashes;  ///< by name
    time_point expires_at{};
};

/// Report of the suspects of one crash to the other nodes.
struct suspect_report
{
    crash what;
    std::vector<std::string> requests;
};

/// Suspects known to a node.
struct suspect_table
{
    std::map<std::string, suspect> suspects;      ///< by request
    std::vector<suspect_report> pending_reports;  ///< reports not sent yet
    std::vector<std::string> pending_clearances;  ///< cleared requests not reported yet
    std::uint64_t local_crashes = 0;              ///< crashes of the local worker
    time_point last_lost_run{};                   ///< last time the local worker lost a run
    time_point next_check{};
    bool refuse_suspects = true;   ///< disabled in tests to reproduce the violation
    bool isolate_suspects = true;  ///< disabled in tests to reproduce the violation
};

/// Records that \a request was in flight at the crash \a what.
/// \returns whether the crash was not yet recorded for the request
bool record_suspect(suspect_table &table, const std::string &request, const crash &what,
                    time_point now);

/// Adds a suspect to the pending reports to other nodes.
void add_pending_report(suspect_table &table, const std::string &request, const crash &what);

/// \returns the crash that a run just lost by the local worker belongs to; losses in
/// quick succession belong to the same crash
crash local_crash(suspect_table &table, const std::string &instance, std::uint64_t incarnation,
                  time_point now);

/// Removes a suspect that has run to completion, unless it is already refused.
/// \returns whether a suspect was removed
bool clear_suspect(suspect_table &table, const std::string &request);

/// \returns the number of crashes during which \a request was in flight
std::size_t crashes_of(const suspect_table &table, const std::string &request);

/// Delay before the crash of a silent peer is checked against the state of its zone:
/// after it, gossip has detected whether the zone is partitioned.
constexpr duration partition_check_delay = seconds(5);

/// Removes crashes that turned out to be network partitions, and expired suspects.
/// \param zone_alive returns whether another member of the zone of \a instance is alive
void prune_suspects(suspect_table &table, time_point now,
                    const std::function<bool(const std::string &instance)> &zone_alive);

}  // namespace gullstall

#endif
