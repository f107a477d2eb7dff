#include <doctest/doctest.h>

#include "gullstall/caller.hpp"

using namespace gullstall;

namespace {

struct caller_repeat_fixture
{
    repeat_policy policy{3, seconds(10)};
    repeat_state state;
    call_request request{"till", "deposit", "r1", "", "", {}, {}};
    bool idempotent = true;

    repeat_plan after(wire::outcome outcome, wire::refusal why, std::uint32_t advice_ms = 700)
    {
        answer = caller_answer{outcome, why, "", "r1", 0, advice_ms, 1, "", {}};
        return plan_repeat(policy, state, request, idempotent, answer, duration{});
    }

    caller_answer answer{};
};

const repeat_plan finished{repeat_step::finish, duration{}};

}  // namespace

TEST_CASE_FIXTURE(caller_repeat_fixture, "refusal, advice given, repeats no earlier than advised")
{
    CHECK(after(wire::outcome::not_run, wire::refusal::overload, 700) ==
          repeat_plan{repeat_step::repeat, milliseconds(700)});
}

TEST_CASE_FIXTURE(caller_repeat_fixture, "refusal, tries used up, finishes")
{
    after(wire::outcome::not_run, wire::refusal::overload);
    after(wire::outcome::not_run, wire::refusal::overload);
    CHECK(after(wire::outcome::not_run, wire::refusal::overload) == finished);
    CHECK(answer.outcome == wire::outcome::not_run);
}

TEST_CASE_FIXTURE(caller_repeat_fixture, "final refusal, first try, finishes")
{
    CHECK(after(wire::outcome::not_run, wire::refusal::suspect) == finished);
    CHECK(after(wire::outcome::not_run, wire::refusal::key_mismatch) == finished);
}

// Story: a deposit's answer is lost, the counter's program sends it again
// without a key, and the customer pays twice.
TEST_CASE_FIXTURE(caller_repeat_fixture, "unknown outcome, not idempotent and no key, not repeated")
{
    idempotent = false;
    CHECK(after(wire::outcome::unknown, wire::refusal::connection_lost) == finished);
    request.key = "deposit-7";
    CHECK(after(wire::outcome::unknown, wire::refusal::connection_lost).step ==
          repeat_step::repeat);
}

// Story: the first try ran and its answer was lost, the second was refused as
// not run; a program that believes the second books the deposit as not paid.
TEST_CASE_FIXTURE(caller_repeat_fixture, "not run after unknown, given up, told as unknown")
{
    request.key = "deposit-7";
    after(wire::outcome::unknown, wire::refusal::connection_lost);
    after(wire::outcome::not_run, wire::refusal::overload);
    CHECK(after(wire::outcome::not_run, wire::refusal::overload) == finished);
    CHECK(answer.outcome == wire::outcome::unknown);
}

TEST_CASE_FIXTURE(caller_repeat_fixture, "wait beyond the limit, finishes at once")
{
    CHECK(after(wire::outcome::not_run, wire::refusal::overload, 11000) == finished);
}
