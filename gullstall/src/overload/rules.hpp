#ifndef GULLSTALL_OVERLOAD_RULES_HPP
#define GULLSTALL_OVERLOAD_RULES_HPP

#include <compare>

namespace gullstall {

/// How a service determines which requests it admits.
enum class level_rule
{
    none,            ///< admits every request, the queue is unbounded
    static_limit,    ///< admits requests until a queue of fixed length is full
    admitted_share,  ///< changes the level by a fraction of the admissions of the last window
    queue_target     ///< solves the level for the drain rate of the slots and a short queue
};

/// Overload protection mechanisms of a node. Only tests and experiments change
/// them, to measure the effect of each mechanism.
struct overload_rules
{
    level_rule level = level_rule::queue_target;
    bool priority_queueing = true;       ///< queue ordered by priority, otherwise by arrival
    bool propagate_cancellation = true;  ///< calls without a waiting caller are cancelled upstream
    bool exempt_prior_work =
        true;  ///< requests that used slots at callers are exempt from the level
    /// Protected calls have a longer queue target, which their level follows.
    bool separate_protected_target = true;

    bool drain_rate_by_hold_time = true;  ///< computes the drain rate from the slot hold time
    bool refuse_unfinishable = true;  ///< refuses requests that cannot finish before their deadline

    auto operator<=>(const overload_rules &) const = default;
};

}  // namespace gullstall

#endif
