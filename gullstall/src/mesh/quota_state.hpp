#ifndef GULLSTALL_MESH_QUOTA_STATE_HPP
#define GULLSTALL_MESH_QUOTA_STATE_HPP

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "gullstall/core.hpp"
#include "gullstall/quota.hpp"

namespace gullstall::mesh {

/// Requests of one customer at an entry node that wait for a token.
struct quota_queue
{
    std::vector<call_ref> calls;  ///< in order of arrival; may contain ended calls
    std::string keeper;           ///< asked for tokens; empty if no answer is outstanding
    time_point asked_at{};
    std::uint32_t asked_tokens = 0;
    std::uint32_t spare = 0;      ///< tokens granted and not used
    time_point spare_asked_at{};  ///< when the oldest of them was asked for
};

/// History of an account, passed on by its previous keeper.
struct told_history
{
    quota_history history;
    time_point at{};
};

/// State of the quotas at one node.
struct quota_state
{
    quota_members members;
    std::map<std::string, std::vector<std::string>> other_zones;  ///< reachable nodes by zone
    quota_ledger ledger;                                          ///< as a keeper
    quota_flow flow;                                              ///< of all accounts
    std::uint64_t member_changes = 0;                             ///< of the own zone
    std::map<std::string, told_history> histories;                ///< by customer, not applied yet
    std::map<std::string, quota_queue> queues;                    ///< as an entry, by customer
    std::map<std::string, std::uint64_t> refused;                 ///< requests by customer
};

}  // namespace gullstall::mesh

#endif
