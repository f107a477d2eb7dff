#include <doctest/doctest.h>

#include "bench/support/route_experiment.hpp"

using namespace gullstall;
using namespace gullstall::bench;

namespace {

/// Three zones with two workers of 20 slots each, with a capacity of 1000 calls per
/// second and zone, and four entry nodes.
struct route_choice_fixture
{
    route_experiment experiment{
        2026,
        {"a", "a", "b", "c"},
        [](router &routes, const member_table &members, const route_request &request,
           random_source &random,
           time_point now) { return choose_upstream(routes, members, request, random, now); }};
    const std::vector<double> even_load{250, 250, 500, 500};

    route_choice_fixture()
    {
        for (const char *zone : {"a", "b", "c"}) {
            for (int i = 0; i < 2; ++i) {
                experiment.add_worker(std::string(zone) + "-" + std::to_string(i), zone, 20);
            }
        }
        experiment.run(5, even_load);
    }

    static double share(std::uint64_t n, const route_outcome &of)
    {
        return static_cast<double>(n) / static_cast<double>(of.calls);
    }
};

}  // namespace

TEST_CASE_FIXTURE(route_choice_fixture, "zones, even load, calls stay in their own zone")
{
    route_outcome out = experiment.run(20, even_load);
    CHECK(out.failed == 0);
    CHECK(share(out.far, out) < 0.04);
}

// The load of one zone is 1.5 times the capacity of its workers, while the other zones
// are half idle. Without spill-over, calls queue and fail in the overloaded zone.
TEST_CASE_FIXTURE(route_choice_fixture,
                  "zone over its capacity, others idle, spills without failures")
{
    route_outcome out = experiment.run(20, {750, 750, 250, 250});
    CHECK(out.failed == 0);
    CHECK(out.quantile(0.99) < 100);
    CHECK(share(out.far, out) < 0.35);
}

// One worker is five times slower. If it receives as many calls as the others, its
// queue grows and one in six calls waits for it.
TEST_CASE_FIXTURE(route_choice_fixture, "worker five times slower, tail of all calls stays short")
{
    experiment.worker("b-0").slowness = 5;
    route_outcome out = experiment.run(20, even_load);
    CHECK(out.failed == 0);
    CHECK(out.quantile(0.99) < 70);
}

// A worker refuses every call at once. A router that counts refusals as fast answers
// prefers this worker; a quarter of all calls failed that way.
TEST_CASE_FIXTURE(route_choice_fixture, "worker refuses at once, draws no calls to itself")
{
    experiment.worker("b-0").refusing = true;
    route_outcome out = experiment.run(20, even_load);
    CHECK(share(out.failed, out) < 0.005);
}

// A worker accepts calls and never answers. Each such call uses up the remaining time
// of its caller.
TEST_CASE_FIXTURE(route_choice_fixture, "worker silent, few calls are lost to it")
{
    experiment.worker("b-0").silent = true;
    route_outcome out = experiment.run(20, even_load);
    CHECK(share(out.failed, out) < 0.005);
}

// A replaced worker joins and is slow while its caches are cold. A router that assumes
// it to be the fastest sends it a burst of calls.
TEST_CASE_FIXTURE(route_choice_fixture, "new worker, cold, gets its share slowly")
{
    experiment.add_worker("b-2", "b", 20);
    experiment.worker("b-2").slowness = 4;
    route_outcome out = experiment.run(3, even_load);
    CHECK(out.failed == 0);
    CHECK(out.quantile(0.99) < 100);
}

// The network of a node is faulty and every upstream seems to fail. If the node ejects
// all of them, it refuses calls that would have succeeded.
TEST_CASE("ejection, more than half of a service fails, none is passed over")
{
    member_table members;
    router routes;
    random_source random(1);
    time_point now{seconds(1000)};
    for (int i = 0; i < 4; ++i) {
        member added;
        added.instance = "s-" + std::to_string(i);
        added.service = "s";
        added.incarnation = 1;
        added.state = wire::member_state::alive;
        learn_member(members, added);
    }
    route_request request{"s", "entry", "a", {}, false};
    REQUIRE(choose_upstream(routes, members, request, random, now).has_value());
    std::set<std::string> chosen;
    auto eject = [&](const std::string &instance) {
        for (int i = 0; i < 3; ++i) {
            record_failure(routes, instance, now);
        }
    };
    auto count_chosen = [&] {
        chosen.clear();
        for (int i = 0; i < 200; ++i) {
            chosen.insert(*choose_upstream(routes, members, request, random, now));
        }
        return chosen.size();
    };
    eject("s-0");
    eject("s-1");
    CHECK(count_chosen() == 2);
    eject("s-2");
    CHECK(count_chosen() == 4);
}
