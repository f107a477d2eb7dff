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
)";

/// Two nodes of two services, with workers that echo.
struct node_stop_fixture
{
    test::test_publisher publisher;
    test::world w{6};
    std::vector<caller_answer> answers;

    node_stop_fixture()
    {
        publisher.publish(w.platform, bundle_text);
        w.on_run = [this](const std::string &instance, run_on_worker &&run) {
            w.after(milliseconds(10), [this, instance, id = run.run, body = run.body] {
                w.answer_run(instance, id, worker_end::answered, 200, body);
            });
        };
        w.on_answer = [this](const std::string &, call_ref, caller_answer &&answer) {
            answers.push_back(std::move(answer));
        };
        w.add_node(
            test::make_settings("boxwatch-1", "midrand", "boxwatch", 1, 4, publisher.trusted()));
        w.add_node(test::make_settings("dispatcher-1", "midrand", "dispatcher", 2, 4,
                                       publisher.trusted()));
        w.run_for(seconds(3));
    }

    const caller_answer &ask(const std::string &entry)
    {
        w.call(entry, caller_call{"boxwatch", "check", "", "", "", {}, {1}});
        w.run_for(milliseconds(50));
        return answers.back();
    }
};

}  // namespace

// Guards against callers who are turned away by each node that they try while several stop: a
// node that lives on to tell others that it leaves can have them served elsewhere.
TEST_CASE_FIXTURE(node_stop_fixture, "node told to stop, call of a caller, served by another")
{
    w.feed("dispatcher-1", stop_requested{});
    w.run_for(milliseconds(1500));
    CHECK(ask("dispatcher-1").outcome == wire::outcome::ran);
}

// Guards against a call that is taken when the process is about to end.
TEST_CASE_FIXTURE(node_stop_fixture, "node told to stop two seconds ago, refuses callers")
{
    w.feed("dispatcher-1", stop_requested{});
    w.run_for(milliseconds(1900));
    CHECK(ask("dispatcher-1").outcome == wire::outcome::not_run);
    CHECK(answers.back().refusal == wire::refusal::leaving);
}

// Guards against calls that go to a node's own worker after the order to stop.
TEST_CASE_FIXTURE(node_stop_fixture, "node told to stop, call to its own service, not run there")
{
    w.feed("boxwatch-1", stop_requested{});
    CHECK(ask("boxwatch-1").outcome == wire::outcome::not_run);
}
