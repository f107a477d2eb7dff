#ifndef GULLSTALL_QUOTA_QUOTA_LEDGER_HPP
#define GULLSTALL_QUOTA_QUOTA_LEDGER_HPP

#include <array>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include "gullstall/src/core/time.hpp"
#include "gullstall/src/customers/customer_index.hpp"

namespace gullstall {

/// How the sum of a customer's requests over all nodes is judged. In every window it may
/// reach (rate x window + burst) x (1 + overage) + slack.
struct quota_terms
{
    duration window = seconds(5);
    double overage = 0;  ///< as a share of the quota
    double slack = 0;    ///< requests

    bool operator==(const quota_terms &) const = default;
};

/// Limits on the tokens that a keeper hands out.
struct quota_limits
{
    double in_window = 0;
    double burst = 0;  ///< at once; after that as many per second as a window allows
    duration window = seconds(5);
    double share = 1;  ///< of the quota

    bool operator==(const quota_limits &) const = default;
};

/// \param share of the quota, see quota_share
/// \returns the limits of a keeper. They use a part of overage and slack; the rest covers
/// tokens that are used late and keepers that change.
quota_limits keeper_limits(const request_quota &quota, const quota_terms &terms, double share);

/// Slots into which the account divides a window.
constexpr std::size_t slots_per_window = 50;

/// Slots that an account holds: those of a window, one more in part, and as many to come.
constexpr std::size_t slots_kept = 2 * slots_per_window + 1;

/// Tokens that an account has passed on and got since it was opened.
struct quota_flow
{
    std::uint64_t granted = 0;   ///< to entry nodes of the own zone
    std::uint64_t lent = 0;      ///< to keepers of other zones
    std::uint64_t borrowed = 0;  ///< from keepers of other zones
    std::uint64_t returned = 0;  ///< by entry nodes, not used

    bool operator==(const quota_flow &) const = default;
};

/// Time for which a keeper may use tokens that another zone has lent. The lender counts them for
/// a window after that.
constexpr duration loan_time = milliseconds(500);

/// Tokens lent by another zone and not used yet.
struct quota_loan
{
    time_point expires{};
    double tokens = 0;

    bool operator==(const quota_loan &) const = default;
};

/// Tokens of one customer at its keeper. A token admits one request. The slots count the
/// tokens handed out in the last window and those that other nodes may still hand out. A token
/// bucket spreads the tokens over the window, since otherwise callers that come back find none
/// until its end.
struct quota_account
{
    double tokens = 0;  ///< in the bucket
    time_point refilled_at{};
    std::array<double, slots_kept> used{};  ///< by slot, a ring
    std::int64_t newest = 0;                ///< number of the current slot
    double sum = 0;                         ///< of all slots
    double share = 0;                       ///< of the quota, that it divides
    std::deque<quota_loan> loans;           ///< in the order of their expiry
    bool is_untouched = true;               ///< none of its own tokens has been handed out
    time_point borrowed_at{};               ///< when tokens were last asked of another zone
    time_point reported_at{};               ///< when its exhaustion was last logged
    quota_flow flow;
};

/// What the next keeper of a customer needs to know of an account.
struct quota_history
{
    double share = 0;          ///< of the quota
    double tokens = 0;         ///< in the bucket
    std::vector<double> used;  ///< by slot, the oldest first, up to the last one in use

    bool operator==(const quota_history &) const = default;
};

/// The accounts that a node keeps.
struct quota_ledger
{
    std::unordered_map<std::string, quota_account> accounts;  ///< by customer
    /// When the members of the zone last changed. An account that is opened later may have been
    /// kept by another node until then.
    time_point members_since{};
};

/// A request for tokens.
struct token_request
{
    std::uint32_t tokens = 1;
    double reserve = 0;    ///< tokens that must remain
    bool is_loan = false;  ///< for the keeper of another zone

    bool operator==(const token_request &) const = default;
};

/// Tokens granted to a request.
struct token_grant
{
    std::uint32_t tokens = 0;
    duration retry_after{};  ///< time until the next token, if none was granted

    bool operator==(const token_grant &) const = default;
};

/// Finds the account of \a customer, or opens it, and applies the time passed and a change of the
/// share. What others may have handed out from a share that is new to the account counts as used,
/// at the most that their limits allow for each window. A share that is given up takes along its
/// part of what was used.
/// \returns the account as of now
quota_account &open_account(quota_ledger &it, const std::string &customer,
                            const quota_limits &limits, time_point now);

/// Takes up to the requested number of tokens.
token_grant draw_tokens(quota_account &it, const quota_limits &limits,
                        const token_request &request);

/// \returns the number of tokens that may be handed out now, those of loans included
double available_tokens(const quota_account &it, const quota_limits &limits);

/// Adds tokens lent by another zone. They are used before the own ones, which they do not count
/// with, and are not lent on.
/// \param expires at most loan_time after they were lent
void add_loan(quota_account &it, std::uint32_t tokens, time_point expires);

/// Gives back tokens that were granted and not used. They leave the window with the grant or
/// before it, so that no window counts the one without the other.
/// \param age time since they were granted, at least
void return_tokens(quota_account &it, duration window, std::uint32_t tokens, duration age);

/// \returns what the account holds, without its loans
quota_history history_of(const quota_account &it);

/// \returns whether the numbers of a history that another node sent make sense
bool is_valid(const quota_history &it);

/// Replaces what the account assumes of the time before it was opened by what its previous keeper
/// tells. The next open_account applies the difference of the shares.
void adopt_history(quota_account &it, const quota_history &history);

}  // namespace gullstall

#endif
