#include <doctest/doctest.h>

#include "test/support/echo_world.hpp"

using namespace gullstall;

namespace {

constexpr const char *bundle_text = R"(
[bundle]
version = 1
previous = none
author = tester
reference = CB-1
)";

/// Two nodes of two services, with workers that echo.
struct node_stop_fixture : test::echo_simulation
{
    node_stop_fixture() : echo_simulation(6, bundle_text)
    {
        add("boxwatch-1", "midrand", "boxwatch", 1);
        add("dispatcher-1", "midrand", "dispatcher", 2);
        w.run_for(seconds(3));
    }

    /// Starts a run at the dispatcher that calls the other service and does not end.
    void ask_dispatch()
    {
        w.on_run = [this](const std::string &instance, run_on_worker &&run) {
            if (instance != "dispatcher-1") {
                w.answer_run(instance, run.run, worker_end::answered);
                return;
            }
            w.call(instance, call_request{"boxwatch", "check", "", "", run.context, {}, {}});
        };
        w.call("dispatcher-1", call_request{"dispatcher", "dispatch", "", "", "", {}, {}});
    }

    const caller_answer &ask(const std::string &entry)
    {
        w.call(entry, call_request{"boxwatch", "check", "", "", "", {}, {1}});
        w.run_for(milliseconds(50));
        return answers.back();
    }
};

}  // namespace

// Guards against callers who are refused by every node that they try while several stop. A node
// that still runs to announce its shutdown can forward their calls to other nodes.
TEST_CASE_FIXTURE(node_stop_fixture, "node told to stop, call of a caller, served by another")
{
    w.feed("dispatcher-1", stop_requested{});
    w.run_for(milliseconds(1500));
    CHECK(ask("dispatcher-1").outcome == wire::outcome::ran);
}

// Guards against a call that is accepted shortly before the process exits.
TEST_CASE_FIXTURE(node_stop_fixture, "node told to stop two seconds ago, refuses callers")
{
    w.feed("dispatcher-1", stop_requested{});
    w.run_for(milliseconds(1900));
    CHECK(ask("dispatcher-1").outcome == wire::outcome::not_run);
    CHECK(answers.back().refusal == wire::refusal::leaving);
}

// Guards against calls that reach a node's own worker after a stop request.
TEST_CASE_FIXTURE(node_stop_fixture, "node told to stop, call to its own service, not run there")
{
    w.feed("boxwatch-1", stop_requested{});
    CHECK(ask("boxwatch-1").outcome == wire::outcome::not_run);
}

// Guards against a run that fails, with the error stored as the outcome of its key, because one of
// its calls finds no upstream while an instance is being replaced.
TEST_CASE_FIXTURE(node_stop_fixture, "call of a run, no upstream for a moment, waits for one")
{
    w.feed("boxwatch-1", worker_leaving{});
    w.run_for(milliseconds(100));
    ask_dispatch();
    w.run_for(milliseconds(300));
    CHECK(answers.empty());
    w.feed("boxwatch-1", worker_announced{4});
    w.run_for(milliseconds(200));
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].outcome == wire::outcome::ran);
}

// Guards against runs that hold their slots until their deadlines while a service is unavailable.
TEST_CASE_FIXTURE(node_stop_fixture,
                  "call of a run, no upstream comes back, refused before its time")
{
    w.feed("boxwatch-1", worker_leaving{});
    w.run_for(milliseconds(100));
    ask_dispatch();
    w.run_for(milliseconds(1100));
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].outcome == wire::outcome::not_run);
    CHECK(answers[0].refusal == wire::refusal::no_upstream);
}

// Guards against a caller who waits for an upstream: the call has not run, so it can be repeated.
TEST_CASE_FIXTURE(node_stop_fixture, "call of a caller, no upstream, refused at once")
{
    w.feed("boxwatch-1", worker_leaving{});
    w.run_for(milliseconds(100));
    w.call("dispatcher-1", call_request{"boxwatch", "check", "", "", "", {}, {}});
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].refusal == wire::refusal::no_upstream);
}

// Reproduces the failure above with the wait disabled.
TEST_CASE_FIXTURE(node_stop_fixture, "call of a run, no upstream for a moment, lost without a wait")
{
    w.nodes.at("dispatcher-1").guards.wait_for_upstreams = false;
    w.feed("boxwatch-1", worker_leaving{});
    w.run_for(milliseconds(100));
    ask_dispatch();
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].refusal == wire::refusal::no_upstream);
}
