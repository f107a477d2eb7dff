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

struct retry_join_fixture
{
    test::test_publisher publisher;
    test::simulation w{3};
    std::vector<std::pair<call_ref, caller_answer>> answers;
    std::uint32_t runs = 0;
    std::uint32_t cancelled = 0;

    retry_join_fixture()
    {
        publisher.publish(w.platform, bundle_text);
        w.on_run = [this](const std::string &instance, run_on_worker &&run) {
            ++runs;
            w.after(milliseconds(50), [this, instance, id = run.run, body = run.body] {
                w.answer_run(instance, id, worker_end::answered, 200, body);
            });
        };
        w.on_cancel = [this](const std::string &, run_ref) { ++cancelled; };
        w.on_answer = [this](const std::string &, call_ref call, caller_answer &&answer) {
            answers.emplace_back(call, std::move(answer));
        };
        w.add_node(
            test::make_settings("tracker-1", "perth-a", "tracker", 1, 4, publisher.trusted()));
        w.run_for(seconds(3));
    }

    call_ref send_call(body_bytes body = {1})
    {
        return w.call("tracker-1",
                      call_request{"tracker", "status", "r1", "", "", {}, std::move(body)});
    }
};

}  // namespace

// Guards against repeated runs of one request. A user repeats a request while the first
// one is in flight. Without joining, each repeat runs the request again with a retry
// allowance of its own, at a time when the service is already slow.
TEST_CASE_FIXTURE(retry_join_fixture, "repeat in flight, without joining, runs once more")
{
    w.nodes.at("tracker-1").guards.join_repeats = false;
    send_call();
    send_call();
    w.run_for(milliseconds(200));
    CHECK(runs == 2);
}

TEST_CASE_FIXTURE(retry_join_fixture, "repeat in flight, same body, both get the one answer")
{
    call_ref first = send_call();
    w.run_for(milliseconds(10));
    call_ref second = send_call();
    w.run_for(milliseconds(200));
    CHECK(runs == 1);
    REQUIRE(answers.size() == 2);
    CHECK(answers[0].first == first);
    CHECK(answers[1].first == second);
    CHECK(answers[0].second == answers[1].second);
    CHECK(answers[0].second.body == body_bytes{1});
}

TEST_CASE_FIXTURE(retry_join_fixture, "repeat in flight, another body, refused at once")
{
    send_call({1});
    send_call({2});
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].second.outcome == wire::outcome::not_run);
    CHECK(answers[0].second.refusal == wire::refusal::key_mismatch);
}

TEST_CASE_FIXTURE(retry_join_fixture, "first caller leaves, a repeat waits, run goes on")
{
    call_ref first = send_call();
    call_ref second = send_call();
    w.feed("tracker-1", call_abandoned{first});
    w.run_for(milliseconds(200));
    CHECK(cancelled == 0);
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].first == second);
    CHECK(answers[0].second.outcome == wire::outcome::ran);
}

TEST_CASE_FIXTURE(retry_join_fixture, "all callers leave, run is cancelled")
{
    call_ref first = send_call();
    call_ref second = send_call();
    w.feed("tracker-1", call_abandoned{second});
    w.feed("tracker-1", call_abandoned{first});
    w.run_for(milliseconds(200));
    CHECK(cancelled == 1);
    CHECK(answers.empty());
    CHECK(w.nodes.at("tracker-1").calls.empty());
    CHECK(w.nodes.at("tracker-1").joined_repeats.empty());
}
