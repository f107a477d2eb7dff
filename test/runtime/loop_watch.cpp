#include <doctest/doctest.h>

#include "gullstall/src/edge/loop_watch.hpp"

using namespace gullstall;

namespace {

struct loop_watch_fixture
{
    edge::loop_watch loop;

    static time_point at(int ms)
    {
        return time_point{} + seconds(1) + milliseconds(ms);
    }
};

}  // namespace

// Guards against a node that hangs in one of its steps and says nothing of it.
TEST_CASE_FIXTURE(loop_watch_fixture, "step beyond the limit, is reported with what it did")
{
    CHECK_FALSE(record_step(loop, "tick", at(0), at(100)));
    std::optional<edge::loop_hold> hold = record_step(loop, "chain news", at(0), at(350));
    CHECK(hold == edge::loop_hold{"chain news", milliseconds(350)});
    CHECK(loop.holds == 1);
    CHECK(print_metrics(loop).find("gullstall_loop_holds_total 1\n") != std::string::npos);
    CHECK(print_metrics(loop).find("longest_hold_seconds 0.35") != std::string::npos);
}

TEST_CASE_FIXTURE(loop_watch_fixture, "ticks in time, nothing is reported")
{
    for (int ms = 0; ms < 5000; ms += 190) {
        CHECK_FALSE(record_tick(loop, at(ms)));
    }
}

// Guards against a pause that no step explains, and against one that is reported twice.
TEST_CASE_FIXTURE(loop_watch_fixture, "tick late, only what no step explains is reported")
{
    record_tick(loop, at(0));
    CHECK(record_tick(loop, at(500)) == edge::loop_hold{"outside of a step", milliseconds(400)});
    REQUIRE(record_step(loop, "policy", at(500), at(900)));
    CHECK_FALSE(record_tick(loop, at(950)));
}
