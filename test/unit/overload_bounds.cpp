#include <doctest/doctest.h>

#include "bench/support/overload_runs.hpp"

using namespace gullstall;

// Checks bounds on the results of bench/exp_overload. Virtual time and a fixed seed
// make the results deterministic.

namespace {

constexpr double max_wasted_percent = 3;

struct overload_bounds_fixture
{
    std::vector<bench::site_plan> sites{bench::mokoena(), bench::swanbench()};
    bench::control_plan default_control = bench::controls().back();
    bench::control_plan no_control = bench::controls().front();
};

}  // namespace

// Guards against congestion collapse. Clients send more requests than the deepest
// service can run and retry refused ones at once. Without overload control hardly
// any request succeeds, because the queues fill with requests whose callers have
// disconnected.
TEST_CASE_FIXTURE(overload_bounds_fixture,
                  "load, above what the bottleneck runs, its capacity is used for whole answers")
{
    struct bound
    {
        double load_factor;
        double goodput;
    };
    for (const bench::site_plan &site : sites) {
        for (bound expected : {bound{2, 95}, bound{4, 93}, bound{10, 90}}) {
            CAPTURE(site.name);
            CAPTURE(expected.load_factor);
            bench::overload_figures figures =
                bench::run_overload(site, default_control, expected.load_factor);
            CHECK(figures.goodput >= expected.goodput);
            CHECK(figures.wasted <= max_wasted_percent);
            if (expected.load_factor == 4) {
                CHECK(figures.lookup_ratio <= 3);
            }
        }
    }
}

// At ten times the capacity, protected calls (dispatches and deposits) are answered
// while others are refused. The bottleneck has enough capacity for protected calls.
TEST_CASE_FIXTURE(overload_bounds_fixture, "protected calls, ten times the load, answered")
{
    for (const bench::site_plan &site : sites) {
        CAPTURE(site.name);
        CHECK(bench::run_protected(site, default_control).answered >= 99.9);
    }
}

// Guards against a metastable failure. The deepest service is five times slower for
// 30 s while callers send three times the load and retry at once. After the trigger
// ends, failures persist as long as requests of disconnected callers are run.
TEST_CASE_FIXTURE(overload_bounds_fixture, "trigger, over, goodput recovers")
{
    bench::recovery_figures at_mokoena = bench::run_recovery(sites[0], default_control);
    CHECK(at_mokoena.recovered);
    CHECK(at_mokoena.took <= seconds(1));
    bench::recovery_figures at_swanbench = bench::run_recovery(sites[1], default_control);
    CHECK(at_swanbench.recovered);
    CHECK(at_swanbench.took <= seconds(2));
}

// Control case without overload control: retries alone keep the service overloaded
// long after the trigger has ended.
TEST_CASE_FIXTURE(overload_bounds_fixture, "trigger, over, without control never recovers")
{
    CHECK_FALSE(bench::run_recovery(sites[0], no_control).recovered);
}

// The deepest service is twenty times slower. Callers of a service that does not
// depend on it must not be affected, even if calls that depend on it hold slots of
// that service.
TEST_CASE_FIXTURE(overload_bounds_fixture, "neighbour, collapses, innocent service keeps goodput")
{
    for (const bench::site_plan &site : sites) {
        CAPTURE(site.name);
        CHECK(bench::run_innocent(site, default_control) >= 99);
    }
}
