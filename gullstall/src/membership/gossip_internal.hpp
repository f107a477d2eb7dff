#ifndef GULLSTALL_MEMBERSHIP_GOSSIP_INTERNAL_HPP
#define GULLSTALL_MEMBERSHIP_GOSSIP_INTERNAL_HPP

#include "gullstall/src/core/hash.hpp"
#include "gullstall/src/membership/gossip.hpp"

/// Parts of the gossip: gossip.cpp probes, gossip_view.cpp takes in what others
/// tell, gossip_spread.cpp passes it on.
namespace gullstall::gossip {

/// The gossip in the middle of one step.
struct gossip_turn
{
    gossip_state &g;
    member_table &view;
    random_source &random;
    time_point now;
    gossip_result &out;
};

// gossip_view.cpp
void refresh_ring(gossip_state &it, const member_table &view);
void set_member(gossip_turn &t, const member &news);
void consider_member(gossip_turn &t, const member &news);
void consider_change(gossip_turn &t, const wire::member_change &news);
void suspect_member(gossip_turn &t, const std::string &instance);
void expire_suspicions(gossip_turn &t);
wire::member_change change_of(const member &it);
member *find_member(member_table &view, const std::string &instance);

// gossip_spread.cpp
void queue_news(gossip_turn &t, const std::string &instance, bool whole);
void send(gossip_turn &t, const std::string &to, wire::gossip_message message);
bool spend_bytes(gossip_turn &t, std::size_t n, std::size_t reserve = 0);
void compare_digest(gossip_turn &t, const wire::gossip_message &message);
void spread_news(gossip_turn &t, std::size_t fan_out);
void ask_sync(gossip_turn &t, const std::string &to, std::uint64_t sequence);
void on_sync(gossip_turn &t, const std::string &from, const wire::gossip_message &message);
void on_complete(gossip_turn &t, const std::string &from, const wire::gossip_message &message);
void ask_unknown(gossip_turn &t, const std::string &from);
void answer_wanted(gossip_turn &t, const std::string &from, const wire::gossip_message &message);
void contact_dead(gossip_turn &t);
void tick_sync(gossip_turn &t);

}  // namespace gullstall::gossip

#endif
