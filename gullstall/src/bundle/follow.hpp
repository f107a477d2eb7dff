#ifndef GULLSTALL_BUNDLE_FOLLOW_HPP
#define GULLSTALL_BUNDLE_FOLLOW_HPP

#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "gullstall/src/core/random.hpp"
#include "gullstall/src/core/time.hpp"

namespace gullstall {

/// Reads of the head row that the nodes of one zone share, a second.
constexpr std::uint32_t head_reads_per_zone = 4;

/// Shortest mean time between two reads of the head row by one node.
constexpr duration min_poll_period = seconds(1);

/// Time between two exchanges of versions with a random member.
constexpr duration exchange_period = seconds(1);

/// Members that are told at once when a node puts a new version in force.
constexpr std::size_t push_fanout = 4;

/// Time that a peer has to hand over a bundle.
constexpr duration peer_fetch_timeout = milliseconds(500);

/// Time that the table or the object store has; their own timeout comes first.
constexpr duration platform_fetch_timeout = seconds(5);

/// Pause after a version could be had from nobody.
constexpr duration fetch_retry_pause = milliseconds(500);

/// Failed fetches in a row after which a version that was heard of counts as
/// hearsay and is forgotten.
constexpr std::uint32_t max_fetch_failures = 8;

/// Time that a fresh node leaves its peers to answer.
constexpr duration peer_wait = milliseconds(300);

/// Time after which a fresh node treats a silent table as out of reach.
constexpr duration table_wait = milliseconds(1500);

/// Time after which a fresh node makes do with less than the head row names.
constexpr duration head_wait = seconds(3);

/// Time that a fresh node waits for its first news of other members.
constexpr duration member_wait = seconds(1);

/// Time after which a fresh node without a bundle asks everybody again.
constexpr duration first_ask_period = milliseconds(500);

/// Where a bundle is fetched from.
struct bundle_source
{
    std::string instance;  ///< empty: the platform

    bool operator==(const bundle_source &) const = default;
};

/// One fetch under way.
struct bundle_fetch_order
{
    std::uint64_t version;
    bundle_source from;
    time_point deadline;

    bool operator==(const bundle_fetch_order &) const = default;
};

/// A bundle that a fresh node may begin with; its signatures are good.
struct first_candidate
{
    std::uint64_t version;
    std::string stored;
};

/// What a fresh node has learned of the table.
enum class table_view
{
    unknown,
    unreachable,
    empty,  ///< nothing is published
    head    ///< the head row was read
};

/// How a node follows the published versions: what it has heard of, what it
/// fetches, and how a fresh node picks the version that it begins with.
struct bundle_follow
{
    time_point next_poll{};
    time_point next_exchange{};
    time_point retry_at{};
    std::uint64_t target = 0;    ///< highest version heard of
    bundle_source heard_from{};  ///< who named it
    std::optional<bundle_fetch_order> fetch;
    std::uint32_t failures = 0;

    std::optional<time_point> began_at;  ///< first tick of a fresh node
    time_point next_ask{};
    std::size_t peers_asked = 0;
    std::set<std::string> peers_answered;
    table_view table = table_view::unknown;
    std::uint64_t head_version = 0;
    std::optional<first_candidate> best;
};

/// \returns the mean time between two reads of the head row by one node. The
/// nodes of a zone share head_reads_per_zone among them without agreeing on
/// turns: the period grows with the number of members that a node knows there.
duration head_poll_period(std::size_t zone_members);

/// \returns when the head row is to be read next: the first time somewhere
/// within a period, so that nodes that began together do not read together and
/// then pause together, later after half to one and a half of it.
time_point next_head_poll(const bundle_follow &it, std::size_t zone_members, random_source &random,
                          time_point now);

/// Notes that \a version is in force or published somewhere.
void hear_version(bundle_follow &it, std::uint64_t in_force, std::uint64_t version,
                  const bundle_source &from);

/// Begins the next fetch when one is due: the version after the one in force,
/// from who named a higher one first, then from the platform, in turn.
std::optional<bundle_fetch_order> begin_fetch(bundle_follow &it, std::uint64_t in_force,
                                              time_point now);

/// Ends the fetch under way with its bundle in force.
void fetch_succeeded(bundle_follow &it);

/// Ends the fetch under way without a bundle.
void fetch_failed(bundle_follow &it, time_point now);

/// Gives up a fetch whose source is silent.
void expire_fetch(bundle_follow &it, time_point now);

/// Notes a bundle that a fresh node may begin with; the highest version is kept.
void offer_candidate(bundle_follow &it, first_candidate candidate);

/// \returns whether a fresh node may begin with its best candidate now: the
/// table and the peers have told what they know, or had time enough. It waits
/// for other members too, since whoever begins takes calls, and would refuse
/// every one that needs an upstream it has not heard of.
bool may_begin(const bundle_follow &it, bool knows_members, time_point now);

}  // namespace gullstall

#endif
