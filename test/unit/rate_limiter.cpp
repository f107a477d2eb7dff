#include <doctest/doctest.h>

#include "gullstall/overload.hpp"

using namespace gullstall;

namespace {

struct limiter_fixture
{
    rate_limiter limiter;
    time_point now{seconds(100)};

    bool admit()
    {
        refill_tokens(limiter, now);
        if (!has_token(limiter)) {
            return false;
        }
        take_token(limiter);
        return true;
    }

    /// \returns the requests admitted in \a length of those that arrive each millisecond
    int admit_for(duration length)
    {
        int out = 0;
        for (time_point end = now + length; now < end; now += milliseconds(1)) {
            out += admit() ? 1 : 0;
        }
        return out;
    }
};

}  // namespace

// Guards against a burst when a limit is first named.
TEST_CASE_FIXTURE(limiter_fixture, "limiter, just limited, admits no more than the rate")
{
    CHECK(admit_for(seconds(1)) == 1000);
    set_rate(limiter, 20, now);
    CHECK_FALSE(admit());
    int n = admit_for(seconds(4));
    CHECK(n >= 79);
    CHECK(n <= 80);
}

// Guards against unused time that is made up for by a burst.
TEST_CASE_FIXTURE(limiter_fixture, "limiter, idle for long, admits a quarter second more")
{
    set_rate(limiter, 20, now);
    now += seconds(60);
    int n = admit_for(seconds(4));
    CHECK(n >= 84);
    CHECK(n <= 85);
}

// Guards against a rate of zero that no answer could ever raise.
TEST_CASE_FIXTURE(limiter_fixture, "limiter, rate of zero, admits one request in two seconds")
{
    set_rate(limiter, 0, now);
    CHECK(admit_for(seconds(10)) == 4);
    CHECK(token_wait(limiter, 0) <= seconds(2));
}

// Guards against a wait that is told too short, so that the caller comes back in vain.
TEST_CASE_FIXTURE(limiter_fixture,
                  "limiter, wait of the third in the queue, is that of three tokens")
{
    set_rate(limiter, 10, now);
    CHECK(token_wait(limiter, 2) == milliseconds(300));
    now += token_wait(limiter, 2);
    CHECK(admit());
    CHECK(admit());
}

// Guards against values at the ends of the range.
TEST_CASE_FIXTURE(limiter_fixture, "limiter, tiny or huge rate, gives finite waits")
{
    set_rate(limiter, 1e-300, now);
    CHECK(token_wait(limiter, 1000000) <= seconds(3600));
    set_rate(limiter, 1e9, now);
    now += milliseconds(1);
    CHECK(admit_for(milliseconds(100)) == 100);
}

// Guards against a request that was not sent and is counted.
TEST_CASE_FIXTURE(limiter_fixture, "limiter, token returned, admits another request")
{
    set_rate(limiter, 1, now);
    now += seconds(1);
    CHECK(admit());
    CHECK_FALSE(admit());
    return_token(limiter);
    CHECK(admit());
}
