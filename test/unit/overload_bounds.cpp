#include <doctest/doctest.h>

#include "bench/support/overload_runs.hpp"

using namespace gullstall;

// Bounds on the table of bench/exp_overload: virtual time and a fixed seed, so
// that every run gives the same figures.

namespace {

constexpr double wasted_bound = 3;

struct overload_bounds_fixture
{
    std::vector<bench::site_plan> sites{bench::mokoena(), bench::swanbench()};
    bench::control_plan in_use = bench::controls().back();
    bench::control_plan none = bench::controls().front();
};

}  // namespace

// Clients ask for more than the deepest service can run and repeat at once
// what is refused. Without control they see hardly a whole answer, because
// queues are full of requests whose callers have left.
TEST_CASE_FIXTURE(overload_bounds_fixture,
                  "load, above what the bottleneck runs, its capacity is used for whole answers")
{
    struct bound
    {
        double times;
        double goodput;
    };
    for (const bench::site_plan &site : sites) {
        for (bound it : {bound{2, 95}, bound{4, 93}, bound{10, 90}}) {
            CAPTURE(site.name);
            CAPTURE(it.times);
            bench::overload_figures found = bench::run_overload(site, in_use, it.times);
            CHECK(found.goodput >= it.goodput);
            CHECK(found.wasted <= wasted_bound);
            if (it.times == 4) {
                CHECK(found.lookup_ratio <= 3);
            }
        }
    }
}

// Ten times the load arrives; dispatches and deposits are a part of it that the
// bottleneck could run alone. Callers see them answered, whoever else is refused.
TEST_CASE_FIXTURE(overload_bounds_fixture, "protected calls, ten times the load, answered")
{
    for (const bench::site_plan &site : sites) {
        CAPTURE(site.name);
        CHECK(bench::run_protected(site, in_use).answered >= 99.9);
    }
}

// The deepest service is five times slower for 30 s, callers ask three times as
// often and repeat at once. When that ends, callers go on to see failures as
// long as requests are run whose callers have left.
TEST_CASE_FIXTURE(overload_bounds_fixture, "trigger, over, goodput recovers")
{
    bench::recovery_figures at_mokoena = bench::run_recovery(sites[0], in_use);
    CHECK(at_mokoena.recovered);
    CHECK(at_mokoena.took <= seconds(1));
    bench::recovery_figures at_swanbench = bench::run_recovery(sites[1], in_use);
    CHECK(at_swanbench.recovered);
    CHECK(at_swanbench.took <= seconds(2));
}

// The same without control: the callers' repeats alone keep the service at its
// end, long after the trigger is over.
TEST_CASE_FIXTURE(overload_bounds_fixture, "trigger, over, without control never recovers")
{
    CHECK_FALSE(bench::run_recovery(sites[0], none).recovered);
}

// The deepest service is twenty times slower. Callers of a service that does
// not need it must not notice, also where its slots are held by calls that do.
TEST_CASE_FIXTURE(overload_bounds_fixture, "neighbour, collapses, innocent service keeps goodput")
{
    for (const bench::site_plan &site : sites) {
        CAPTURE(site.name);
        CHECK(bench::run_innocent(site, in_use) >= 99);
    }
}
