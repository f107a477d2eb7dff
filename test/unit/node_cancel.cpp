#include <doctest/doctest.h>

#include "test/support/world.hpp"

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
[call dispatcher dispatch]
class_name = dispatch
non_idempotent = true
)";

/// Nested calls from faultbook over dispatcher to boxwatch, whose worker never answers.
struct node_cancel_fixture
{
    test::test_publisher publisher;
    test::simulation w{5};
    std::vector<std::string> started;
    std::vector<std::string> cancelled;
    std::vector<caller_answer> answers;
    std::uint64_t last_call = 1000;

    node_cancel_fixture()
    {
        publisher.publish(w.platform, bundle_text);
        w.on_run = [this](const std::string &instance, run_on_worker &&run) {
            started.push_back(instance);
            if (instance == "dispatcher-1") {
                w.feed(
                    instance,
                    call_arrived{call_ref{++last_call},
                                 call_request{"boxwatch", "status", "", "", run.context, {}, {}}});
            }
        };
        w.on_cancel = [this](const std::string &instance, run_ref) {
            cancelled.push_back(instance);
        };
        w.on_answer = [this](const std::string &instance, call_ref, caller_answer &&answer) {
            if (instance == "faultbook-1") {
                answers.push_back(std::move(answer));
            }
        };
        std::uint16_t number = 0;
        for (const char *service : {"faultbook", "dispatcher", "boxwatch"}) {
            w.add_node(test::make_settings(std::string(service) + "-1", "midrand", service,
                                           ++number, 4, publisher.trusted()));
        }
        w.run_for(seconds(3));
    }

    call_ref ask(const std::string &operation)
    {
        call_ref id =
            w.call("faultbook-1", call_request{"dispatcher", operation, "r1", "key-1", "", {}, {}});
        w.run_for(milliseconds(20));
        return id;
    }

    std::uint32_t slots_used() const
    {
        std::uint32_t n = 0;
        for (const auto &[name, it] : w.nodes) {
            n += it.slots_used;
        }
        return n;
    }
};

}  // namespace

// Guards against runs that continue until their deadlines although the caller
// disconnected while waiting for a slow answer.
TEST_CASE_FIXTURE(node_cancel_fixture, "caller leaves, two hops below, both runs cancelled at once")
{
    call_ref id = ask("lookup");
    REQUIRE(started.size() == 2);
    w.feed("faultbook-1", call_abandoned{id});
    w.run_for(milliseconds(5));
    CHECK(cancelled.size() == 2);
    CHECK(slots_used() == 0);
    CHECK(answers.empty());
}

// Guards against upstreams that keep slots occupied for calls whose entry node
// was killed, so that no caller can be answered.
TEST_CASE_FIXTURE(node_cancel_fixture, "entry node killed, runs below, cancelled at once")
{
    ask("lookup");
    w.kill("faultbook-1");
    w.run_for(milliseconds(5));
    CHECK(cancelled.size() == 2);
    CHECK(slots_used() == 0);
}

TEST_CASE_FIXTURE(node_cancel_fixture, "deadline passes, runs below, cancelled and answered once")
{
    ask("lookup");
    w.run_for(seconds(3));
    CHECK(cancelled.size() == 2);
    CHECK(slots_used() == 0);
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].outcome == wire::outcome::unknown);
}
