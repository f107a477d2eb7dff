#ifndef GULLSTALL_QUOTA_QUOTA_LEDGER_HPP
#define GULLSTALL_QUOTA_QUOTA_LEDGER_HPP

#include <cstdint>
#include <string>
#include <unordered_map>

#include "gullstall/src/core/time.hpp"
#include "gullstall/src/customers/customer_index.hpp"

namespace gullstall {

/// What the sum over all nodes may exceed the quotas by.
struct quota_tolerance
{
    double overage = 0;  ///< as a share of the quota
    double slack = 0;    ///< requests, in addition
};

/// Rate and size of a token bucket.
struct token_rate
{
    double per_s = 0;
    double capacity = 0;

    bool operator==(const token_rate &) const = default;
};

/// \param share of the quota, see quota_share
/// \returns the rate of the tokens that a keeper hands out. It uses half of the tolerance;
/// the rest covers tokens that are used late and keepers that change.
token_rate token_rate_of(const request_quota &quota, const quota_tolerance &tolerance,
                         double share);

/// Tokens of one customer at its keeper. A token admits one request.
struct quota_account
{
    double tokens = 0;
    time_point refilled_at{};
    time_point borrowed_at{};  ///< when tokens were last asked of another zone
};

/// The accounts that a node keeps.
struct quota_ledger
{
    std::unordered_map<std::string, quota_account> accounts;  ///< by customer
    /// When the members of the zone last changed. An account opened since then has been kept
    /// by another node before, whose tokens may be in use.
    time_point members_since{};
};

/// A request for tokens.
struct token_request
{
    std::uint32_t tokens = 1;
    double reserve = 0;  ///< tokens that must remain

    bool operator==(const token_request &) const = default;
};

/// Tokens granted to a request.
struct token_grant
{
    std::uint32_t tokens = 0;
    duration retry_after{};  ///< time until the next token, if none was granted

    bool operator==(const token_grant &) const = default;
};

/// \returns the account of \a customer with the tokens accrued up to now; opens it if needed
quota_account &refill_account(quota_ledger &it, const std::string &customer, const token_rate &rate,
                              time_point now);

/// Takes up to the requested number of tokens.
token_grant draw_tokens(quota_account &it, const token_rate &rate, const token_request &request);

/// Adds tokens that were granted and not used, or lent by another zone.
void add_tokens(quota_account &it, std::uint32_t tokens);

}  // namespace gullstall

#endif
