#include "gullstall/src/caller/repeat.hpp"

namespace gullstall {

namespace {

constexpr std::uint32_t wait_without_advice_ms = 100;

/// \returns whether the same request would be refused the same way again
bool is_final(wire::refusal why)
{
    switch (why) {
        case wire::refusal::bad_request:
        case wire::refusal::key_expired:
        case wire::refusal::key_mismatch:
        case wire::refusal::suspect:
            return true;
        default:
            return false;
    }
}

bool may_repeat(const call_request &request, bool idempotent, const caller_answer &answer)
{
    if (answer.outcome == wire::outcome::ran || is_final(answer.refusal)) {
        return false;
    }
    return answer.outcome == wire::outcome::not_run || idempotent || !request.key.empty();
}

}  // namespace

caller_answer answer_without_reply(const call_request &request, bool sent)
{
    caller_answer out{};
    out.outcome = sent ? wire::outcome::unknown : wire::outcome::not_run;
    out.refusal = wire::refusal::connection_lost;
    out.request_id = request.request_id;
    out.retry_after_ms = wait_without_advice_ms;
    return out;
}

repeat_plan plan_repeat(const repeat_policy &policy, repeat_state &state,
                        const call_request &request, bool idempotent, caller_answer &answer,
                        duration spent)
{
    ++state.tries;
    state.may_have_run = state.may_have_run || answer.outcome == wire::outcome::unknown;
    duration wait = milliseconds(answer.retry_after_ms);
    bool in_time = spent + wait < policy.give_up_after;
    if (may_repeat(request, idempotent, answer) && state.tries < policy.max_tries && in_time) {
        return repeat_plan{repeat_step::repeat, wait};
    }
    if (answer.outcome == wire::outcome::not_run && state.may_have_run) {
        // The last try did not run, but an earlier one may have.
        answer.outcome = wire::outcome::unknown;
    }
    return repeat_plan{repeat_step::finish, duration{}};
}

}  // namespace gullstall
