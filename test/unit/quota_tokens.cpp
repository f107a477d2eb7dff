#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <rapidcheck.h>

#include "gullstall/core.hpp"
#include "gullstall/quota.hpp"

using namespace gullstall;

namespace {

constexpr time_point start{seconds(100)};

/// A fixed seed makes the tests deterministic.
constexpr const char *random_inputs = "seed=20261203 max_success=1000";

/// A ledger whose members have been stable for long.
struct ledger_fixture
{
    quota_ledger ledger;
    token_rate rate{10, 5};

    std::uint32_t draw(time_point now, std::uint32_t tokens = 1, double reserve = 0)
    {
        quota_account &account = refill_account(ledger, "c", rate, now);
        return draw_tokens(account, rate, token_request{tokens, reserve}).tokens;
    }
};

}  // namespace

TEST_CASE_FIXTURE(ledger_fixture, "account, quiet time, grants its capacity and then its rate")
{
    CHECK(draw(start, 100) == 5);
    CHECK(draw(start, 1) == 0);
    CHECK(draw(start + milliseconds(99)) == 0);
    CHECK(draw(start + milliseconds(101)) == 1);
    CHECK(draw(start + seconds(60), 100) == 5);
}

TEST_CASE_FIXTURE(ledger_fixture, "account, no token left, tells when the next one comes")
{
    draw(start, 5);
    quota_account &account = refill_account(ledger, "c", rate, start);
    CHECK(draw_tokens(account, rate, {}).retry_after == milliseconds(100));
}

// Guards against two keepers that hand out the same tokens: the previous keeper may have
// granted all of them just before.
TEST_CASE_FIXTURE(ledger_fixture, "account, taken over from another keeper, starts empty")
{
    ledger.members_since = start;
    CHECK(draw(start + milliseconds(500)) == 0);
    CHECK(draw(start + milliseconds(800), 100) == 3);
}

// Guards against a lowered limit that binds only after the saved tokens are used up.
TEST_CASE_FIXTURE(ledger_fixture, "account, lowered limit, loses the tokens above it")
{
    CHECK(draw(start, 0) == 0);
    rate = token_rate{1, 2};
    CHECK(draw(start, 100) == 2);
}

TEST_CASE_FIXTURE(ledger_fixture, "account, reserve, is left to others")
{
    CHECK(draw(start, 100, 3) == 2);
    CHECK(draw(start, 100) == 3);
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
        auto islands = *rc::gen::nonEmpty(
            rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 30)));
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
TEST_CASE("account, random draws, stays within rate and capacity in every window")
{
    setenv("RC_PARAMS", random_inputs, 1);
    CHECK(rc::check("grants in a window", [] {
        ledger_fixture it;
        it.rate = token_rate{*rc::gen::inRange(1, 50) * 1.0, *rc::gen::inRange(1, 50) * 1.0};
        constexpr duration window = seconds(5);
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
            RC_ASSERT(sum <= it.rate.per_s * to_seconds(window) + it.rate.capacity + 1e-6);
        }
    }));
}
