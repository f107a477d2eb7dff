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
[class dispatch]
priority = 0
protect = true
[call boxwatch check]
class_name = dispatch
)";

/// Two nodes of two services in two zones, with workers that echo.
struct node_path_fixture : test::echo_simulation
{
    node_path_fixture() : echo_simulation(1, bundle_text)
    {
        add("boxwatch-1", "midrand", "boxwatch", 1);
        add("dispatcher-1", "germiston", "dispatcher", 2);
        w.run_for(seconds(3));
    }
};

}  // namespace

TEST_CASE_FIXTURE(node_path_fixture, "call, entry at another service, answered whole")
{
    w.call("dispatcher-1", call_request{"boxwatch", "check", "r1", "", "", {}, {1, 2, 3}});
    w.run_for(seconds(1));
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].outcome == wire::outcome::ran);
    CHECK(answers[0].status == 200);
    CHECK(answers[0].body == body_bytes{1, 2, 3});
    CHECK(answers[0].bundle_version == 1);
    CHECK(w.nodes.at("dispatcher-1").calls.empty());
    CHECK(w.nodes.at("boxwatch-1").runs.empty());
}

TEST_CASE_FIXTURE(node_path_fixture,
                  "call, unknown service, refused as not run with when to return")
{
    w.call("dispatcher-1", call_request{"nothing", "check", "r1", "", "", {}, {}});
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].outcome == wire::outcome::not_run);
    CHECK(answers[0].refusal == wire::refusal::no_upstream);
    CHECK(answers[0].retry_after_ms > 0);
}

TEST_CASE_FIXTURE(node_path_fixture, "call, worker never answers, unknown at its deadline")
{
    w.on_run = [](const std::string &, run_on_worker &&) {};
    w.call("dispatcher-1", call_request{"boxwatch", "check", "r1", "", "", milliseconds(100), {}});
    w.run_for(milliseconds(120));
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].outcome == wire::outcome::unknown);
    CHECK(answers[0].refusal == wire::refusal::deadline);
    CHECK(w.nodes.at("boxwatch-1").slots_used == 0);
}

// Guards against a call whose time ended in a queue being reported as one that may have run.
TEST_CASE_FIXTURE(node_path_fixture, "call, queued until its deadline, refused as not run")
{
    w.on_run = [](const std::string &, run_on_worker &&) {};
    for (int i = 0; i < 4; ++i) {
        std::string id = "busy-" + std::to_string(i);
        w.call("dispatcher-1", call_request{"boxwatch", "check", id, "", "", seconds(1), {}});
    }
    w.run_for(milliseconds(5));
    for (const char *entry : {"dispatcher-1", "boxwatch-1"}) {
        w.call(entry, call_request{"boxwatch", "check", entry, "", "", milliseconds(100), {}});
    }
    w.run_for(milliseconds(120));
    REQUIRE(answers.size() == 2);
    for (const caller_answer &it : answers) {
        CHECK(it.outcome == wire::outcome::not_run);
        CHECK(it.refusal == wire::refusal::deadline);
        CHECK(it.retry_after_ms > 0);
    }
}

TEST_CASE_FIXTURE(node_path_fixture, "stop, call in flight, finishes before it stops")
{
    w.call("dispatcher-1", call_request{"boxwatch", "check", "r1", "", "", {}, {7}});
    w.run_for(milliseconds(2));
    w.feed("boxwatch-1", stop_requested{});
    CHECK_FALSE(w.nodes.at("boxwatch-1").stopped);
    w.run_for(milliseconds(50));
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].outcome == wire::outcome::ran);
    CHECK(w.nodes.at("boxwatch-1").stopped);
}
