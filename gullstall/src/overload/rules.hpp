#ifndef GULLSTALL_OVERLOAD_RULES_HPP
#define GULLSTALL_OVERLOAD_RULES_HPP

#include <compare>

namespace gullstall {

/// How a service settles which requests it admits.
enum class level_rule
{
    none,            ///< every request, and the queue has no bound
    static_limit,    ///< every request until a queue of fixed length is full
    admitted_share,  ///< level moved by shares of what the last window admitted
    queue_target     ///< level solved for what the slots drain and a short queue
};

/// Guards against overload of one node. Only tests and experiments change
/// them, to see what each guard is good for.
struct overload_rules
{
    level_rule level = level_rule::queue_target;
    bool by_priority = true;       ///< queue in order of priority, else of arrival
    bool cancel_below = true;      ///< calls that nobody waits for are broken off
    bool keep_worked = true;       ///< requests that cost slots above are judged by the queue only
    bool protected_target = true;  ///< protected calls are cut by a longer queue of their own

    bool drain_by_slots = true;  ///< what the slots drain follows from how long runs hold one

    auto operator<=>(const overload_rules &) const = default;
};

}  // namespace gullstall

#endif
