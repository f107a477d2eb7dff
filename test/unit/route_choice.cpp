#include <doctest/doctest.h>

#include "bench/support/route_experiment.hpp"

using namespace gullstall;
using namespace gullstall::bench;

namespace {

/// Three zones with two workers of 20 slots each, which carry 1000 calls a
/// second a zone, and four entries.
struct route_choice_fixture
{
    route_experiment e{
        2026,
        {"a", "a", "b", "c"},
        [](router &r, const member_table &m, const route_request &w, random_source &rnd,
           time_point now) { return choose_upstream(r, m, w, rnd, now); }};
    const std::vector<double> even{250, 250, 500, 500};

    route_choice_fixture()
    {
        for (const char *zone : {"a", "b", "c"}) {
            for (int i = 0; i < 2; ++i) {
                e.add_worker(std::string(zone) + "-" + std::to_string(i), zone, 20);
            }
        }
        e.run(5, even);
    }

    static double share(std::uint64_t n, const route_outcome &of)
    {
        return static_cast<double>(n) / static_cast<double>(of.calls);
    }
};

}  // namespace

TEST_CASE_FIXTURE(route_choice_fixture, "zones, even load, calls stay in their own zone")
{
    route_outcome out = e.run(20, even);
    CHECK(out.failed == 0);
    CHECK(share(out.far, out) < 0.04);
}

// Story: one zone's callers ask for half as much again as its workers can do,
// while the other zones are half idle. Calls wait and fail in the one zone.
TEST_CASE_FIXTURE(route_choice_fixture,
                  "zone over its capacity, others idle, spills without failures")
{
    route_outcome out = e.run(20, {750, 750, 250, 250});
    CHECK(out.failed == 0);
    CHECK(out.quantile(0.99) < 100);
    CHECK(share(out.far, out) < 0.35);
}

// Story: one worker is five times slower. It gets as many calls as the others,
// its queue grows, and one caller in six waits for it.
TEST_CASE_FIXTURE(route_choice_fixture, "worker five times slower, tail of all calls stays short")
{
    e.worker("b-0").slowness = 5;
    route_outcome out = e.run(20, even);
    CHECK(out.failed == 0);
    CHECK(out.quantile(0.99) < 70);
}

// Story: a worker refuses every call at once. To a router that counts refusals
// as quick answers it is the fastest one: a quarter of all calls failed.
TEST_CASE_FIXTURE(route_choice_fixture, "worker refuses at once, draws no calls to itself")
{
    e.worker("b-0").refusing = true;
    route_outcome out = e.run(20, even);
    CHECK(share(out.failed, out) < 0.005);
}

// Story: a worker takes calls and never answers; each costs its caller the
// whole time left.
TEST_CASE_FIXTURE(route_choice_fixture, "worker silent, few calls are lost to it")
{
    e.worker("b-0").silent = true;
    route_outcome out = e.run(20, even);
    CHECK(share(out.failed, out) < 0.005);
}

// Story: a replaced worker joins and is slow while its caches are empty. A
// router that takes it for the fastest sends it a burst.
TEST_CASE_FIXTURE(route_choice_fixture, "new worker, cold, gets its share slowly")
{
    e.add_worker("b-2", "b", 20);
    e.worker("b-2").slowness = 4;
    route_outcome out = e.run(3, even);
    CHECK(out.failed == 0);
    CHECK(out.quantile(0.99) < 100);
}

// Story: a node's own network is bad, and every upstream fails for it. If it
// passes them all over it has none left, and refuses what would have worked.
TEST_CASE("ejection, more than half of a service fails, none is passed over")
{
    member_table members;
    router routes;
    random_source random(1);
    time_point now{seconds(1000)};
    for (int i = 0; i < 4; ++i) {
        member news;
        news.instance = "s-" + std::to_string(i);
        news.service = "s";
        news.incarnation = 1;
        news.state = wire::member_state::alive;
        learn_member(members, news);
    }
    route_request wanted{"s", "entry", "a", {}, false};
    REQUIRE(choose_upstream(routes, members, wanted, random, now).has_value());
    std::set<std::string> chosen;
    auto fail = [&](const std::string &instance) {
        for (int i = 0; i < 3; ++i) {
            note_failed(routes, instance, now);
        }
    };
    auto choose_many = [&] {
        chosen.clear();
        for (int i = 0; i < 200; ++i) {
            chosen.insert(*choose_upstream(routes, members, wanted, random, now));
        }
        return chosen.size();
    };
    fail("s-0");
    fail("s-1");
    CHECK(choose_many() == 2);
    fail("s-2");
    CHECK(choose_many() == 4);
}
