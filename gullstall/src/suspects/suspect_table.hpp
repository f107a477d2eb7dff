#ifndef GULLSTALL_SUSPECTS_SUSPECT_TABLE_HPP
#define GULLSTALL_SUSPECTS_SUSPECT_TABLE_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "gullstall/src/core/time.hpp"

namespace gullstall {

/// Crashes after which a request is refused for good.
constexpr std::size_t crashes_to_refuse = 2;

/// A crash of an upstream with requests in flight.
struct crash
{
    std::string name;       ///< the same at every node that tells of it
    std::string lost_peer;  ///< instance whose node went silent too, empty: its node saw the crash
    std::uint64_t incarnation = 0;  ///< of lost_peer

    bool operator==(const crash &) const = default;
};

/// A request that was in flight when upstreams crashed.
struct suspect
{
    struct seen_crash
    {
        crash what;
        time_point at;
        bool judged;  ///< false: it may be a cut between zones and no crash
    };
    std::map<std::string, seen_crash> crashes;  ///< by name
    time_point forget_at{};
};

/// News of suspects that are to be told to the other nodes.
struct suspect_report
{
    crash what;
    std::vector<std::string> requests;
};

/// All suspects that a node knows.
struct suspect_table
{
    std::map<std::string, suspect> suspects;  ///< by request
    std::vector<suspect_report> to_tell;
    std::vector<std::string> cleared_to_tell;
    std::uint64_t own_crashes = 0;  ///< of the own worker
    time_point last_loss{};         ///< of a run on the own worker
    time_point next_judging{};
    bool refuse_crashers = true;  ///< tests turn it off to see the violation
    bool run_alone = true;        ///< tests turn it off to see the violation
};

/// Notes that \a request was in flight at \a what.
/// \returns whether that was news
bool note_suspect(suspect_table &it, const std::string &request, const crash &what, time_point now);

/// Puts a suspect into the news for the other nodes.
void tell_suspect(suspect_table &it, const std::string &request, const crash &what);

/// \returns the crash that a run lost now on the own worker belongs to; losses
/// that follow each other closely are of one crash
crash own_crash(suspect_table &it, const std::string &instance, std::uint64_t incarnation,
                time_point now);

/// Forgets a suspect that has run to its end, unless it is refused already.
/// \returns whether it was one
bool clear_suspect(suspect_table &it, const std::string &request);

/// \returns the number of crashes that \a request was in flight at
std::size_t crashes_of(const suspect_table &it, const std::string &request);

/// Time after which a silent peer is judged: gossip then knows whether its zone
/// is cut off.
constexpr duration judge_after = seconds(5);

/// Drops the crashes that turned out to be cuts, and suspects whose time is over.
/// \param zone_lives tells whether another member of the instance's zone is alive
void judge_suspects(suspect_table &it, time_point now,
                    const std::function<bool(const std::string &instance)> &zone_lives);

}  // namespace gullstall

#endif
