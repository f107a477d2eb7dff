#include <doctest/doctest.h>

#include <rapidcheck.h>
#include <algorithm>
#include <cmath>
#include <deque>
#include <map>

#include "gullstall/core.hpp"
#include "gullstall/quota.hpp"

using namespace gullstall;

namespace {

constexpr time_point start{seconds(100)};

/// A fixed seed makes the tests deterministic.
constexpr const char *random_inputs = "seed=20261203 max_success=1000";

constexpr duration window = seconds(5);

/// A ledger whose members have been stable for long, and a customer with 50 tokens a window.
struct ledger_fixture
{
    quota_ledger ledger;
    quota_limits limits{50, 50, window};

    token_grant ask(time_point now, std::uint32_t tokens = 1, double reserve = 0)
    {
        quota_account &account = open_account(ledger, "c", limits, now);
        return draw_tokens(account, limits, token_request{tokens, reserve});
    }

    std::uint32_t draw(time_point now, std::uint32_t tokens = 1, double reserve = 0)
    {
        return ask(now, tokens, reserve).tokens;
    }
};

}  // namespace

TEST_CASE_FIXTURE(ledger_fixture, "account, quiet time, grants the tokens of a window at once")
{
    CHECK(draw(start, 100) == 50);
    CHECK(draw(start + window) == 0);
    CHECK(draw(start + window + milliseconds(100), 100) == 50);
}

TEST_CASE_FIXTURE(ledger_fixture, "account, no token left, tells when the next one comes")
{
    CHECK(draw(start, 20) == 20);
    CHECK(draw(start + seconds(2), 100) == 30);
    token_grant refused = ask(start + seconds(4));
    CHECK(refused.tokens == 0);
    CHECK(refused.retry_after >= seconds(1));
    CHECK(refused.retry_after <= milliseconds(1200));
    CHECK(draw(start + seconds(4) + refused.retry_after) == 1);
}

// Guards against two keepers that hand out the same tokens: the previous keeper may have
// granted all of them just before.
TEST_CASE_FIXTURE(ledger_fixture, "account, taken over from another keeper, starts empty")
{
    ledger.members_since = start;
    CHECK(draw(start + milliseconds(500), 100) == 0);
    CHECK(draw(start + milliseconds(2500), 100) <= 50 * 2.5 / 5.1);
    CHECK(draw(start + milliseconds(6000), 100) >= 24);
}

// Guards against a lowered limit that binds only after saved tokens are used up.
TEST_CASE_FIXTURE(ledger_fixture, "account, lowered limit, binds at once")
{
    CHECK(draw(start, 30) == 30);
    limits.in_window = 10;
    CHECK(draw(start + seconds(1), 100) == 0);
    CHECK(draw(start + seconds(6), 100) == 10);
}

TEST_CASE_FIXTURE(ledger_fixture, "account, reserve, is left to others")
{
    CHECK(draw(start, 100, 20) == 30);
    CHECK(draw(start, 100) == 20);
}

TEST_CASE_FIXTURE(ledger_fixture, "account, tokens given back, are granted again")
{
    CHECK(draw(start, 100) == 50);
    return_tokens(ledger.accounts.at("c"), window, 7, milliseconds(300));
    CHECK(draw(start + seconds(1), 100) == 7);
}

TEST_CASE_FIXTURE(ledger_fixture,
                  "account, tokens lent by another zone, are granted until they expire")
{
    CHECK(draw(start, 100) == 50);
    add_loan(ledger.accounts.at("c"), 7, start + loan_time);
    add_loan(ledger.accounts.at("c"), 2, start + loan_time / 2);
    CHECK(draw(start, 1) == 1);
    CHECK(draw(start + loan_time / 2, 3) == 3);
    CHECK(draw(start + loan_time, 100) == 0);
}

// Guards against tokens that lender and borrower both hand out: a loan that is used late is still
// in the window when the lender no longer counts it.
TEST_CASE_FIXTURE(ledger_fixture, "loan, used late, both zones stay within their limits")
{
    quota_ledger borrower;
    limits = quota_limits{500, 100, window};
    constexpr duration step = milliseconds(10);
    constexpr std::uint32_t lent = 90;
    open_account(ledger, "c", limits, start);
    quota_account &account = open_account(borrower, "c", limits, start);
    draw_tokens(account, limits, token_request{1000});
    quota_account &lender = open_account(ledger, "c", limits, start);
    REQUIRE(draw_tokens(lender, limits, token_request{lent, 0, true}).tokens == lent);
    add_loan(account, lent, start + loan_time);
    for (time_point begin :
         {start + loan_time - step, start + loan_time + step, start + seconds(4)}) {
        quota_ledger first = borrower;
        quota_ledger second = ledger;
        std::uint32_t used = 0;
        for (time_point now = begin; now < begin + window; now += step) {
            for (quota_ledger *it : {&first, &second}) {
                quota_account &each = open_account(*it, "c", limits, now);
                used += draw_tokens(each, limits, token_request{1000}).tokens;
            }
        }
        CHECK(used <= static_cast<std::uint32_t>(2 * limits.in_window));
    }
}

// Guards against a window that is exceeded by what was returned for grants before it.
TEST_CASE_FIXTURE(ledger_fixture, "account, tokens returned late, window stays within the limit")
{
    constexpr duration return_delay = milliseconds(500);
    constexpr duration step = milliseconds(10);
    limits = quota_limits{500, 100, window};
    time_point used_from = start + 2 * window;
    std::map<time_point, std::uint32_t> grants;
    std::uint32_t used = 0;
    for (time_point now = start; now < used_from + window; now += step) {
        grants[now] = draw(now, 1000);
        used += now >= used_from ? grants[now] : 0;
        time_point returned = now - return_delay;
        if (returned >= start && returned < used_from) {
            return_tokens(ledger.accounts.at("c"), window, grants[returned], return_delay);
        }
    }
    CHECK(used <= static_cast<std::uint32_t>(limits.in_window));
    CHECK(used >= 450);
}

// Guards against callers that are told to come back and find no token until the window ends.
TEST_CASE_FIXTURE(ledger_fixture, "account, burst used up, grants the rest spread over the window")
{
    limits.burst = 10;
    CHECK(draw(start, 100) == 10);
    CHECK(draw(start + milliseconds(90)) == 0);
    CHECK(ask(start + milliseconds(90)).retry_after <= milliseconds(10));
    CHECK(draw(start + milliseconds(101)) == 1);
    CHECK(draw(start + seconds(1), 100) == 9);
}

TEST_CASE("limits, all nodes, stay within what is allowed")
{
    quota_terms terms{window, 0.1, 20};
    request_quota quota{480, 480};
    double allowed = (480 * 5 + 480) * 1.1 + 20;
    quota_limits all = keeper_limits(quota, terms, 1);
    CHECK(all.in_window < allowed);
    CHECK(all.in_window >= 480 * 5 + 480);
    CHECK(all.burst >= 480);
    CHECK(keeper_limits(quota, terms, 0.25).in_window == doctest::Approx(all.in_window / 4));
}

TEST_CASE("keeper, a node leaves, only its customers move")
{
    std::vector<std::string> nodes{"a", "b", "c", "d", "e"};
    std::vector<std::string> fewer{"a", "b", "d", "e"};
    std::map<std::string, int> kept;
    for (int i = 0; i < 1000; ++i) {
        std::string customer = "customer-" + std::to_string(i);
        std::string keeper = choose_quota_keeper(nodes, customer);
        ++kept[keeper];
        if (keeper != "c") {
            CHECK(choose_quota_keeper(fewer, customer) == keeper);
        }
    }
    for (const std::string &node : nodes) {
        CHECK(kept[node] > 100);
    }
    CHECK(choose_quota_keeper({}, "x").empty());
}

// Guards against a quota that is exceeded by nodes which a cut has separated.
TEST_CASE("shares, any division of the nodes into islands, sum up to one at most")
{
    setenv("RC_PARAMS", random_inputs, 1);
    CHECK(rc::check("shares", [] {
        auto islands =
            *rc::gen::nonEmpty(rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 30)));
        std::size_t known = 0;
        for (int size : islands) {
            known += static_cast<std::size_t>(size);
        }
        double sum = 0;
        for (int size : islands) {
            quota_members it{std::vector<std::string>(static_cast<std::size_t>(size), "n"), known};
            sum += quota_share(it);
        }
        RC_ASSERT(sum <= 1 + 1e-9);
    }));
}

// Guards against more requests in a window than the quota with its tolerance allows.
TEST_CASE("account, random draws, stays within the limit in every window")
{
    setenv("RC_PARAMS", random_inputs, 1);
    CHECK(rc::check("grants in a window", [] {
        ledger_fixture it;
        it.limits =
            quota_limits{*rc::gen::inRange(1, 300) * 1.0, *rc::gen::inRange(1, 300) * 1.0, window};
        std::deque<std::pair<time_point, std::uint32_t>> grants;
        time_point now = start;
        auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
            rc::gen::pair(rc::gen::inRange(0, 400), rc::gen::inRange(0, 30)));
        for (auto [wait_ms, tokens] : steps) {
            now += milliseconds(wait_ms);
            grants.emplace_back(now, it.draw(now, static_cast<std::uint32_t>(tokens)));
            while (now - grants.front().first > window) {
                grants.pop_front();
            }
            double sum = 0;
            for (const auto &[when, n] : grants) {
                sum += n;
            }
            RC_ASSERT(sum <= it.limits.in_window);
        }
    }));
}
