#ifndef GULLSTALL_MEMBERSHIP_GOSSIP_HPP
#define GULLSTALL_MEMBERSHIP_GOSSIP_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "gullstall/src/core/random.hpp"
#include "gullstall/src/core/time.hpp"
#include "gullstall/src/membership/member_table.hpp"
#include "gullstall/src/membership/ring.hpp"
#include "gullstall/src/settings/node_settings.hpp"

namespace gullstall {

/// Times and bounds of the gossip.
struct gossip_limits
{
    duration probe_interval = milliseconds(500);
    duration direct_timeout = milliseconds(200);    ///< then others are asked to probe
    duration indirect_timeout = milliseconds(300);  ///< then the member is suspected
    duration suspicion = milliseconds(2500);        ///< then a suspect is dead
    duration spread_interval = milliseconds(100);
    duration sync_interval = seconds(2);
    duration early_sync_interval = milliseconds(500);  ///< when a probe's digest differs
    duration contact_interval = seconds(1);
    duration dead_memory = seconds(3600);
    std::uint64_t bytes_per_second = 12U << 10U;  ///< for news and tables, not for probes
    std::uint64_t burst_bytes = 96U << 10U;
    std::uint64_t sync_reserve_bytes = 24U << 10U;  ///< of the burst, not for news
    // Guards that only tests switch off, to see what they hold off.
    bool probes = true;
    bool indirect_probes = true;
    bool refute = true;
    bool pass_on_news = true;
    bool sync_early = true;
    bool contact_dead = true;
    bool notice_pauses = true;
};

/// A probe that waits for its answer.
struct probe
{
    std::string target;
    time_point sent_at{};
    bool indirect = false;  ///< others were asked
};

/// A probe that this node makes for another one.
struct relayed_probe
{
    std::string target;
    std::string origin;
    std::uint64_t sequence = 0;
    time_point sent_at{};
};

/// News of a member that still have to be passed on.
struct member_news
{
    std::uint32_t sends_left = 0;
    bool whole = false;  ///< the member's whole table, not only its state
};

/// One message to send. \a instance is empty for a first contact at \a to.
struct gossip_send
{
    std::string instance;
    endpoint to{};
    wire::gossip_message message;
};

/// A member whose state changed in this node's view.
struct state_change
{
    std::string instance;
    std::optional<wire::member_state> before;
    wire::member_state after;

    bool operator==(const state_change &) const = default;
};

/// What a step of the gossip brought about.
struct gossip_result
{
    std::vector<gossip_send> sends;
    std::vector<state_change> changes;
};

/// Gossip of one node. The view itself is its member_table.
struct gossip_state
{
    std::string self;
    gossip_limits limits;

    member_ring ring;
    std::vector<std::string> neighbours;
    std::uint64_t digest = 0;
    bool ring_known = false;  ///< false: ring, neighbours and digest are made anew

    std::unordered_map<std::uint64_t, std::string> names;  ///< by hash
    std::map<std::uint64_t, probe> probes;                 ///< by sequence
    std::map<std::uint64_t, relayed_probe> relayed;        ///< by sequence
    std::map<std::string, time_point> suspected_until;
    std::map<std::string, time_point> dead_since;
    std::map<std::string, time_point> heard;  ///< last message by name; these know this node
    std::map<std::string, member_news> news;
    std::set<std::uint64_t> unknown;  ///< hashes of members whose tables are missing

    time_point last_tick{};
    time_point next_probe{};
    time_point next_spread{};
    time_point next_sync{};
    time_point last_sync{};
    time_point next_contact{};
    double allowed_bytes = 0;
    time_point refilled_at{};
    std::size_t next_neighbour = 0;
    std::uint64_t last_sequence = 0;
    std::uint64_t suspicions = 0;       ///< members that turned suspect in this view
    std::uint64_t deaths = 0;           ///< members that turned dead in this view
    std::uint64_t resync_sequence = 0;  ///< of the comparison asked for after a pause
    time_point stale_until{};           ///< the view is from before a pause
    time_point started_at{};            ///< of the first tick
    bool superseded = false;            ///< a later process of this instance is alive
};

/// Makes the gossip of \a self, whose own member is in \a view already.
gossip_state make_gossip(const std::string &self, const member_table &view, gossip_limits limits);

/// Lets time pass: probes, suspicions that run out, news, comparisons of tables.
void tick_gossip(gossip_state &it, member_table &view, random_source &random, time_point now,
                 gossip_result &out);

/// Takes in a message of \a from.
void take_gossip(gossip_state &it, member_table &view, random_source &random, time_point now,
                 const std::string &from, const wire::gossip_message &message, gossip_result &out);

/// Notes that the own member has changed: passes it on at once.
void announce_self(gossip_state &it, member_table &view, random_source &random, time_point now,
                   gossip_result &out);

/// Notes that the connection to \a instance broke: probes it at once.
void note_unreachable(gossip_state &it, member_table &view, random_source &random, time_point now,
                      const std::string &instance, gossip_result &out);

/// Notes that the process was stopped for longer than its peers take to declare
/// it dead. Probes, suspicions and news from before count no more; the own
/// member gets a higher version, so that it goes before any news of a death.
/// The view is stale until a neighbour's has been compared.
void note_pause(gossip_state &it, member_table &view, random_source &random, time_point now,
                gossip_result &out);

/// \returns whether the view is from before a pause and was not compared yet
inline bool is_stale(const gossip_state &it, time_point now)
{
    return now < it.stale_until;
}

/// \returns a message that makes the node known at an endpoint where whoever
/// listens is not known yet
gossip_send first_contact(gossip_state &it, const member_table &view, const endpoint &to);

/// \returns the number of members that are not dead, the node itself included
std::size_t ring_size(gossip_state &it, const member_table &view);

/// \returns an estimate of the bytes of \a message in a frame
std::size_t estimate_bytes(const wire::gossip_message &message);

}  // namespace gullstall

#endif
