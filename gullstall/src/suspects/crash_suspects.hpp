#ifndef GULLSTALL_SUSPECTS_CRASH_SUSPECTS_HPP
#define GULLSTALL_SUSPECTS_CRASH_SUSPECTS_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "gullstall/src/core/time.hpp"
#include "gullstall/src/suspects/request_signature.hpp"

namespace gullstall {

/// What is known of a request since it last ran to its end.
struct crash_suspect
{
    std::uint32_t crashes = 0;  ///< upstreams that crashed while they ran it
    std::uint32_t blamed = 0;   ///< of these, the ones that no other suspect ran on
    time_point last_crash_at{};

    bool operator==(const crash_suspect &) const = default;
};

/// How a request is treated because of the crashes that it was present at.
enum class suspicion
{
    none,
    suspected,   ///< an upstream runs one of equal requests at a time
    isolated,    ///< and no other suspect beside it, so that a crash blames one
    quarantined  ///< not run
};

/// How suspicion grows.
struct suspicion_rules
{
    std::uint32_t crashes_to_isolate = 2;
    /// Quarantines by the number of crashes alone; 0: only a crash in isolation does.
    std::uint32_t crashes_to_quarantine = 0;
    duration first_quarantine = seconds(30);  ///< 0: none is quarantined

    bool operator==(const suspicion_rules &) const = default;
};

/// Requests that were running when upstreams crashed.
struct crash_suspects
{
    std::unordered_map<request_signature, crash_suspect> by_signature;
    suspicion_rules rules;
};

/// Bounds the memory of a node and what a faulty peer can fill in.
constexpr std::size_t max_crash_suspects = 4096;

/// Records the crash of an upstream.
/// \param running signatures of the requests that it was running
/// \param blamed the one of them that was isolated and the only suspect, if any
void record_crash(crash_suspects &it, const std::vector<request_signature> &running,
                  std::optional<request_signature> blamed, time_point now);

/// Merges what another node knows of a request.
void merge_suspect(crash_suspects &it, request_signature signature, const crash_suspect &known);

/// Removes a request that has run to its end: a request that crashes upstreams never does.
/// \returns whether it was a suspect
bool clear_suspect(crash_suspects &it, request_signature signature);

suspicion suspicion_of(const crash_suspects &it, request_signature signature, time_point now);

/// \returns the isolated request among \a running if it was the only suspect
std::optional<request_signature> sole_isolated(const crash_suspects &it,
                                               const std::vector<request_signature> &running,
                                               time_point now);

/// \returns how long a request stays in quarantine
duration quarantine_left(const crash_suspects &it, request_signature signature, time_point now);

std::size_t count_quarantined(const crash_suspects &it, time_point now);

/// Removes suspects whose last crash is long past.
void expire_suspects(crash_suspects &it, time_point now);

/// Suspect as it is kept when all nodes stop.
struct kept_suspect
{
    request_signature signature{};
    std::uint32_t crashes = 0;
    std::uint32_t blamed = 0;
    duration age{};  ///< time since the last crash

    bool operator==(const kept_suspect &) const = default;
};

/// Bounds the size of the row that the platform's store keeps.
constexpr std::size_t max_kept_suspects = 64;

/// \returns the most suspicious requests that are worth keeping: those that have been blamed,
/// and those that have stayed isolated for longer than an ordinary request needs to be cleared
std::vector<kept_suspect> suspects_to_keep(const crash_suspects &it, time_point now);

}  // namespace gullstall

#endif
