#include <doctest/doctest.h>

#include "test/support/member_fleet.hpp"

using namespace gullstall;
using wire::member_state;

namespace {

struct member_frozen_fixture : test::member_fleet
{
    std::vector<caller_answer> answers;
    std::vector<std::string> runs;  ///< instances whose workers got work

    member_frozen_fixture()
    {
        w.on_answer = [this](const std::string &, call_ref, caller_answer &&answer) {
            answers.push_back(std::move(answer));
        };
        w.on_run = [this](const std::string &instance, run_on_worker &&run) {
            runs.push_back(instance);
            w.answer_run(instance, run.run, worker_end::answered);
        };
    }

    /// Freezes a node for longer than its lease; meanwhile all workers of
    /// boxwatch are replaced. Then it wakes and gets a call at once.
    void freeze_and_wake(const std::string &frozen)
    {
        w.pause(frozen);
        w.run_for(seconds(2));
        for (const std::string &name : std::vector<std::string>(names)) {
            if (name.rfind("boxwatch", 0) == 0) {
                w.nodes.erase(name);
                add("boxwatch", name.substr(9, name.rfind('-') - 9));
            }
        }
        w.run_for(seconds(20));
        REQUIRE(count_seeing(frozen, member_state::dead) == w.nodes.size() - 1);
        // The frames of its peers are lost with their connections.
        w.resume_without_events(frozen);
        w.call(frozen, call_request{"boxwatch", "check", "r1", "", "", {}, {}});
    }
};

}  // namespace

// A node stood still for longer than its lease. Others buried it; it wakes and
// believes that nothing happened: it would send calls to members long gone, and
// bury all the others, since none has answered it for so long.
TEST_CASE_FIXTURE(member_frozen_fixture,
                  "node, frozen past its lease, refutes and does not act on old views")
{
    bool guard = true;
    SUBCASE("guard off: it does not notice the pause")
    {
        guard = false;
    }
    SUBCASE("guard on") {}
    if (!guard) {
        set_limits = [](gossip_limits &it) { it.notice_pauses = false; };
    }
    start(16, {"faultbook", "dispatcher", "boxwatch", "photodesk"});
    REQUIRE(count_apart() == 0);
    const std::string frozen = names[0];
    std::uint64_t before = w.nodes.at(frozen).members.members.at(frozen).version;
    freeze_and_wake(frozen);
    if (!guard) {
        // The call went to an instance that is gone: nobody knows what became of it.
        w.run_for(milliseconds(100));
        REQUIRE(answers.size() == 1);
        CHECK(answers[0].outcome == wire::outcome::unknown);
        return;
    }
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].outcome == wire::outcome::not_run);
    CHECK(answers[0].refusal == wire::refusal::starting);
    w.run_for(seconds(5));
    CHECK(w.nodes.at(frozen).members.members.at(frozen).version > before);
    CHECK(count_apart() == 0);
    w.call(frozen, call_request{"boxwatch", "check", "r2", "", "", {}, {}});
    w.run_for(milliseconds(100));
    REQUIRE(answers.size() == 2);
    CHECK(answers[1].outcome == wire::outcome::ran);
}

// A frozen process wakes after its instance was started anew: two nodes would
// answer to one name, and answers could come from the wrong one.
TEST_CASE_FIXTURE(member_frozen_fixture, "node, wakes beside its successor, stops")
{
    start(9, {"faultbook", "dispatcher", "boxwatch"});
    node old = w.nodes.at(names[0]);
    w.nodes.erase(names[0]);
    w.run_for(seconds(10));
    w.add_node(old.settings);
    w.run_for(seconds(5));
    REQUIRE(count_apart() == 0);
    wire::gossip_message told;
    told.kind = wire::gossip_kind::news;
    told.members.push_back(
        std::make_unique<member>(w.nodes.at(names[1]).members.members.at(names[0])));
    wire::frame_message frame;
    frame.sender = names[1];
    frame.payload.Set(std::move(told));
    step(old, w.now, frame_arrived{std::move(frame)});
    CHECK(old.stopping);
    CHECK(count_seeing(names[0], member_state::alive) == w.nodes.size() - 1);
}

// Guards against a process that takes its own predecessor for its successor and stops: the
// others still pass on news of the killed one, whose start the clock puts later.
TEST_CASE_FIXTURE(member_frozen_fixture, "node, restarted after its clock was set back, runs on")
{
    start(9, {"faultbook", "dispatcher", "boxwatch"});
    w.run_for(seconds(10));
    const std::string restarted = names[0];
    node_settings settings = w.nodes.at(restarted).settings;
    w.kill(restarted);
    w.run_for(milliseconds(300));
    w.clock_set_back = seconds(60);
    w.add_node(settings);
    w.run_for(seconds(10));
    REQUIRE(w.nodes.count(restarted) == 1);
    CHECK_FALSE(w.nodes.at(restarted).stopping);
    CHECK(count_seeing(restarted, member_state::alive) == w.nodes.size() - 1);
}
