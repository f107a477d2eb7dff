#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <deque>

#include "gullstall/core.hpp"
#include "gullstall/quota.hpp"

using namespace gullstall;

namespace {

constexpr time_point start{seconds(100)};
constexpr duration window = seconds(5);
constexpr duration draw_interval = milliseconds(10);
constexpr quota_terms terms{window, 0.1, 20};

/// Times for which the previous keeper grants tokens.
constexpr std::array<duration, 4> times_kept{milliseconds(0), milliseconds(300), seconds(2),
                                             seconds(4)};

/// Two keepers from which a customer draws all tokens that they grant.
struct two_keepers_fixture
{
    request_quota quota{91, 91};
    quota_ledger first;
    quota_ledger second;
    double share_of_first = 1;
    double share_of_second = 1;
    std::deque<std::pair<time_point, std::uint32_t>> grants;
    std::uint32_t highest_sum = 0;

    void forget()
    {
        first = quota_ledger();
        second = quota_ledger();
        grants.clear();
        highest_sum = 0;
    }

    std::uint32_t allowed_sum() const
    {
        double quota_sum = quota.rate_per_s * to_seconds(window) + quota.burst;
        return static_cast<std::uint32_t>(quota_sum * (1 + terms.overage) + terms.slack);
    }

    void draw(quota_ledger &ledger, double share, time_point now)
    {
        quota_limits limits = keeper_limits(quota, terms, share);
        quota_account &account = open_account(ledger, "c", limits, now);
        std::uint32_t n = draw_tokens(account, limits, token_request{1000}).tokens;
        grants.emplace_back(now, n);
        while (now - grants.front().first >= window) {
            grants.pop_front();
        }
        std::uint32_t sum = 0;
        for (const auto &[at, tokens] : grants) {
            sum += tokens;
        }
        highest_sum = std::max(highest_sum, sum);
    }

    void draw_first(time_point from, duration length)
    {
        for (time_point now = from; now < from + length; now += draw_interval) {
            draw(first, share_of_first, now);
        }
    }

    void draw_second(time_point from, duration length)
    {
        for (time_point now = from; now < from + length; now += draw_interval) {
            draw(second, share_of_second, now);
        }
    }
};

}  // namespace

// Guards against a new keeper that takes the window before it for evenly used, while the
// previous keeper had just granted a burst.
TEST_CASE_FIXTURE(two_keepers_fixture, "keeper replaced after a burst, window stays within quota")
{
    for (double burst : {45.0, 91.0, 182.0}) {
        for (duration kept : times_kept) {
            forget();
            quota.burst = burst;
            second.members_since = start + kept;
            draw_first(start, kept + draw_interval);
            draw_second(start + kept, 2 * window);
            CHECK(highest_sum <= allowed_sum());
        }
    }
}

// Guards against two keepers that both grant in the time in which entry nodes disagree on who
// the keeper is.
TEST_CASE_FIXTURE(two_keepers_fixture,
                  "previous keeper asked for half a second more, window stays within quota")
{
    second.members_since = start + seconds(1);
    for (time_point now = start; now < start + milliseconds(1500); now += draw_interval) {
        draw(first, share_of_first, now);
        if (now >= second.members_since) {
            draw(second, share_of_second, now);
        }
    }
    draw_second(start + milliseconds(1500), 2 * window);
    CHECK(highest_sum <= allowed_sum());
}

// Guards against a keeper that grants again what the keeper of a lost island had granted
// from its share.
TEST_CASE_FIXTURE(two_keepers_fixture, "share grows after a burst, window stays within quota")
{
    share_of_second = 0.5;
    for (duration kept : times_kept) {
        forget();
        share_of_first = 0.5;
        for (time_point now = start; now <= start + kept; now += draw_interval) {
            draw(first, share_of_first, now);
            draw(second, share_of_second, now);
        }
        share_of_first = 1;
        draw_first(start + kept + draw_interval, 2 * window);
        CHECK(highest_sum <= allowed_sum());
    }
}

// Guards against an account opened by a node that knows few others yet, and that takes the
// whole quota for unused when it hears the rest of its zone.
TEST_CASE_FIXTURE(two_keepers_fixture,
                  "keeper that hears its zone little by little, window stays within quota")
{
    constexpr duration known_after = milliseconds(100);
    draw_first(start, milliseconds(500));
    time_point restarted = start + milliseconds(500);
    second.members_since = restarted;
    for (int known = 1; known <= 10; ++known) {
        share_of_second = 0.1 * known;
        draw_second(restarted + (known - 1) * known_after, known_after);
    }
    draw_second(restarted + 10 * known_after, 2 * window);
    CHECK(highest_sum <= allowed_sum());
}

// Guards against refusing, for long after a move of its keeper, a customer within its quota.
TEST_CASE_FIXTURE(two_keepers_fixture, "keeper replaced, grants at the rate within 1.5 seconds")
{
    second.members_since = start;
    draw_second(start, milliseconds(1500));
    std::uint32_t before = 0;
    for (const auto &[at, tokens] : grants) {
        before += tokens;
    }
    draw_second(start + milliseconds(1500), seconds(2));
    std::uint32_t after = 0;
    for (const auto &[at, tokens] : grants) {
        after += tokens;
    }
    CHECK(after - before >= static_cast<std::uint32_t>(2 * quota.rate_per_s));
}
