#include <doctest/doctest.h>

#include "test/support/member_fleet.hpp"

using namespace gullstall;
using wire::member_state;

namespace {

constexpr std::size_t fleet_size = 60;

struct member_changes_fixture : test::member_fleet
{
    void start_fleet()
    {
        start(fleet_size, {"faultbook", "dispatcher", "photodesk", "boxwatch"});
        REQUIRE(count_apart() == 0);
    }

    /// \returns the longest time until a silent crash was known everywhere
    duration measure_crashes()
    {
        constexpr int crashes = 6;
        constexpr std::size_t step = 9;
        duration longest{};
        for (int i = 0; i < crashes; ++i) {
            const std::string victim = names[static_cast<std::size_t>(i) * step];
            w.pause(victim);  // silent: its peers see no connection break
            std::size_t left = w.nodes.size() - 1;
            duration took = run_until(
                seconds(20), [&] { return count_seeing(victim, member_state::dead) == left; });
            longest = std::max(longest, took);
            w.nodes.erase(victim);
            w.run_for(milliseconds(1370));
        }
        return longest;
    }

    /// \returns the time until a worker's leave was known everywhere
    duration measure_leave()
    {
        const std::string leaver = names[7];
        w.run_for(milliseconds(777));
        w.feed(leaver, worker_leaving{});
        return run_until(seconds(20), [&] {
            return count_seeing(leaver, member_state::leaving) == w.nodes.size() - 1;
        });
    }
};

}  // namespace

// A caller waits for an answer that never comes: the instance's host lost its
// power and said nothing. The order: silence, a probe that fails, relays that
// fail, suspicion, its time runs out. Cause: nobody else can know of the crash.
TEST_CASE_FIXTURE(member_changes_fixture, "crash, 60 nodes, known everywhere within 5 s")
{
    SUBCASE("guard off: nobody is probed, never known")
    {
        set_limits = [](gossip_limits &it) { it.probes = false; };
        start_fleet();
        duration longest = measure_crashes();
        MESSAGE("longest without the guard, ms: ", to_ms(longest));
        CHECK(longest > seconds(5));
    }
    SUBCASE("guard on")
    {
        start_fleet();
        duration longest = measure_crashes();
        MESSAGE("longest, ms: ", to_ms(longest));
        CHECK(longest <= seconds(5));
    }
}

// An operator replaces a worker; seconds later it still gets new work, and a
// call is cut off when it goes. The order: notice, gossip, routing. Cause: news
// that travel only when tables are compared come too late.
TEST_CASE_FIXTURE(member_changes_fixture, "leave, 60 nodes, known everywhere within 2 s")
{
    SUBCASE("guard off: news are not passed on, later than 2 s")
    {
        set_limits = [](gossip_limits &it) { it.pass_on_news = false; };
        start_fleet();
        CHECK(measure_leave() > seconds(2));
    }
    SUBCASE("guard on")
    {
        start_fleet();
        duration took = measure_leave();
        MESSAGE("leave known everywhere, ms: ", to_ms(took));
        CHECK(took <= seconds(2));
        for (const auto &[viewer, it] : w.nodes) {
            for (const member *upstream : upstreams_of(it.members, "photodesk")) {
                CHECK(upstream->instance != names[7]);
            }
        }
    }
    SUBCASE("5 % of frames lost")
    {
        start_fleet();
        w.loss_rate = 0.05;
        CHECK(measure_leave() <= seconds(2));
    }
}

// A worker leaves and comes back at once; callers must not avoid it for the
// time that a leave is remembered.
TEST_CASE_FIXTURE(member_changes_fixture, "leave, worker announces itself again, gets work again")
{
    start_fleet();
    const std::string leaver = names[7];
    w.feed(leaver, worker_leaving{});
    w.run_for(seconds(2));
    CHECK(w.nodes.at(names[8]).routes.upstreams.at(leaver).draining_until > w.now);
    w.feed(leaver, worker_announced{8});
    w.run_for(seconds(2));
    CHECK(count_seeing(leaver, member_state::alive) == fleet_size - 1);
    CHECK(w.nodes.at(names[8]).routes.upstreams.at(leaver).draining_until < w.now);
}

// Field crews get "connection lost" again and again: a worker died without a
// word, and its node, which lives, goes on announcing it.
TEST_CASE_FIXTURE(member_changes_fixture, "worker, dies without a word, is announced no more")
{
    start_fleet();
    const std::string victim = names[0];
    w.on_run = [&](const std::string &instance, run_on_worker &&run) {
        bool dead = w.unreachable_workers.count(instance) > 0;
        w.answer_run(instance, run.run, dead ? worker_end::not_sent : worker_end::answered);
    };
    w.unreachable_workers.insert(victim);
    for (int i = 0; i < 30; ++i) {
        w.call(victim, call_request{"faultbook", "log", "", "", "", {}, {}});
    }
    w.run_for(seconds(2));
    CHECK(count_seeing(victim, member_state::leaving) == fleet_size - 1);
    w.unreachable_workers.clear();
    w.run_for(seconds(3));
    CHECK(count_seeing(victim, member_state::alive) == fleet_size - 1);
}

// A zone's instances are all replaced in one go. Callers elsewhere must stop
// using the old ones and find the new ones, though none of the new ones knows
// anybody and the rows of their zone name only members that are gone.
TEST_CASE_FIXTURE(member_changes_fixture, "zone, all nodes replaced at once, whole within 5 s")
{
    bool guard = true;
    SUBCASE("guard off: news are not passed on")
    {
        guard = false;
    }
    SUBCASE("guard on") {}
    if (!guard) {
        set_limits = [](gossip_limits &it) { it.pass_on_news = false; };
    }
    start_fleet();
    std::vector<std::string> gone;
    for (const std::string &name : names) {
        if (w.nodes.at(name).settings.node.zone == "germiston") {
            gone.push_back(name);
        }
    }
    for (const std::string &name : gone) {
        w.nodes.erase(name);
        add(name.substr(0, name.find('-')), "germiston");
    }
    duration took = run_until(seconds(30), [&] { return count_apart() == 0; });
    duration buried = took + run_until(seconds(30), [&] {
                          for (const std::string &name : gone) {
                              if (count_seeing(name, member_state::dead) != w.nodes.size()) {
                                  return false;
                              }
                          }
                          return true;
                      });
    MESSAGE("new ones known, ms: ", to_ms(took), ", old ones dead, ms: ", to_ms(buried));
    CHECK((took <= seconds(5)) == guard);
    if (guard) {
        CHECK(buried <= seconds(8));
    }
}
