#ifndef GULLSTALL_MESH_REPEAT_BUDGET_HPP
#define GULLSTALL_MESH_REPEAT_BUDGET_HPP

#include <cstdint>

#include "gullstall/core.hpp"

namespace gullstall::mesh {

/// Token bucket for the retries that this node may cause at one service. The limit on
/// retries applies to the sum over all nodes. Each node sees only the requests that it
/// receives itself, so each one limits its retries to a share of these. The limit applies
/// to a time window: tokens earned before the window expire, since otherwise all nodes
/// together would exceed the limit when many calls fail after a quiet period.
struct retry_token_bucket
{
    double tokens = 0;
    double earned = 0;  ///< tokens earned in about the last window
    time_point accrued_at{};
};

/// Adds the tokens for one caller's request to the service.
/// \param ratio allowed retries per request
void earn_retry_tokens(retry_token_bucket &it, double ratio);

/// Retries that are allowed in addition to the share of the requests.
struct retry_slack
{
    double retries = 0;  ///< per window, over all nodes
    duration window = seconds(10);
    std::size_t nodes = 1;  ///< nodes that share the slack
};

/// Adds this node's part of the slack for the time since the last call, and expires
/// tokens earned before the window.
void accrue_slack_tokens(retry_token_bucket &it, const retry_slack &slack, time_point now);

/// \returns whether the tokens suffice for \a runs retries
bool has_retry_tokens(const retry_token_bucket &it, double runs);

/// Takes the tokens for \a runs retries.
void spend_retry_tokens(retry_token_bucket &it, double runs);

}  // namespace gullstall::mesh

#endif
