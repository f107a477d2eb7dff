#ifndef GULLSTALL_CALLER_REPEAT_HPP
#define GULLSTALL_CALLER_REPEAT_HPP

#include <cstdint>

#include "gullstall/src/core/time.hpp"
#include "gullstall/src/node/action.hpp"
#include "gullstall/src/node/event.hpp"

namespace gullstall {

/// How often and how long a caller repeats a request.
struct repeat_policy
{
    std::uint32_t max_tries = 3;           ///< the first included
    duration give_up_after = seconds(10);  ///< from the first try

    bool operator==(const repeat_policy &) const = default;
};

/// What a caller remembers between its tries of one request.
struct repeat_state
{
    std::uint32_t tries = 0;
    bool may_have_run = false;  ///< some try ended without anyone knowing

    bool operator==(const repeat_state &) const = default;
};

/// What a caller does next.
enum class repeat_step
{
    finish,  ///< the answer is final
    repeat   ///< wait, then send the same request with the same id and key
};

/// The next step and how long to wait before it.
struct repeat_plan
{
    repeat_step step;
    duration wait;

    bool operator==(const repeat_plan &) const = default;
};

/// \returns the answer that a caller notes for a try that brought none: nobody
/// knows whether the call ran, unless no byte of it left the caller
caller_answer answer_without_reply(const call_request &request, bool sent);

/// Decides after a try whether the request is sent again. It never comes back
/// before the time that the answer advises, never repeats what cannot be
/// repeated (an outcome unknown without a key that guards it), and never
/// repeats a final refusal (bad request, expired or mismatched key, suspect).
/// \param answer of the last try; its outcome becomes `unknown` when an earlier
/// try may have run and this one did not
/// \param spent since the first try
/// \see answer_without_reply
repeat_plan plan_repeat(const repeat_policy &policy, repeat_state &state,
                        const call_request &request, bool idempotent, caller_answer &answer,
                        duration spent);

}  // namespace gullstall

#endif
