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
time_ms = 400
)";

/// A dispatcher in each of two zones; their workers echo and count runs by key.
struct once_keys_fixture
{
    test::test_publisher publisher;
    test::simulation w{1};
    std::map<call_ref, caller_answer> answers;
    std::map<std::string, int> runs;

    once_keys_fixture()
    {
        publisher.publish(w.platform, bundle_text);
        w.on_run = [this](const std::string &instance, run_on_worker &&run) {
            ++runs[run.key];
            w.after(milliseconds(10), [this, instance, id = run.run, body = run.body] {
                w.answer_run(instance, id, worker_end::answered, 200, body);
            });
        };
        w.on_answer = [this](const std::string &, call_ref call, caller_answer &&answer) {
            answers[call] = std::move(answer);
        };
        add("dispatcher-1", "midrand", 1);
        add("dispatcher-2", "germiston", 2);
        w.run_for(seconds(3));
    }

    void add(const std::string &instance, const std::string &zone, std::uint16_t number)
    {
        w.add_node(
            test::make_settings(instance, zone, "dispatcher", number, 4, publisher.trusted()));
    }

    std::string issue(const std::string &instance)
    {
        w.feed(instance, key_requested{call_ref{1000000}});
        const body_bytes &key = answers.at(call_ref{1000000}).body;
        return std::string(key.begin(), key.end());
    }

    caller_answer send(const std::string &entry, const std::string &key, std::uint32_t attempt,
                       const body_bytes &body = {7})
    {
        call_ref id =
            w.call(entry, call_request{"dispatcher", "dispatch", "", key, "", {}, body, attempt});
        w.run_for(milliseconds(500));
        return answers.at(id);
    }
};

}  // namespace

TEST_CASE_FIXTURE(once_keys_fixture, "chosen key, repeat at another node, told the first answer")
{
    CHECK(send("dispatcher-1", "k", 1).outcome == wire::outcome::ran);
    caller_answer repeat = send("dispatcher-2", "k", 2);
    CHECK(repeat.outcome == wire::outcome::ran);
    CHECK(repeat.body == body_bytes{7});
    CHECK(runs["k"] == 1);
}

TEST_CASE_FIXTURE(once_keys_fixture, "chosen key, another body, refused as not run")
{
    send("dispatcher-1", "k", 1);
    caller_answer other = send("dispatcher-2", "k", 2, {8});
    CHECK(other.outcome == wire::outcome::not_run);
    CHECK(other.refusal == wire::refusal::key_mismatch);
    CHECK(runs["k"] == 1);
}

TEST_CASE_FIXTURE(once_keys_fixture, "non-idempotent call, no key, refused as not run")
{
    caller_answer answer = send("dispatcher-1", "", 1);
    CHECK(answer.outcome == wire::outcome::not_run);
    CHECK(answer.refusal == wire::refusal::bad_request);
}

TEST_CASE_FIXTURE(once_keys_fixture, "issued key, sent through another node, runs once")
{
    std::string key = issue("dispatcher-1");
    CHECK(send("dispatcher-2", key, 1).outcome == wire::outcome::ran);
    caller_answer repeat = send("dispatcher-1", key, 2);
    CHECK(repeat.outcome == wire::outcome::ran);
    CHECK(repeat.body == body_bytes{7});
    CHECK(runs[key] == 1);
    CHECK(w.platform.rows.count(claim_row_prefix + key) == 0);
}

// Story: a crew asks for a key and sends its dispatch; the node that issued the
// key is replaced before the answer is there. The repeat meets the new process,
// which knows nothing of the run; if it ran the key, two crews would go out.
TEST_CASE_FIXTURE(once_keys_fixture, "issued key, its node replaced, repeat is told unknown")
{
    std::string key = issue("dispatcher-1");
    CHECK(send("dispatcher-1", key, 1).outcome == wire::outcome::ran);
    w.kill("dispatcher-1");
    w.run_for(milliseconds(50));
    add("dispatcher-1", "midrand", 1);
    w.run_for(seconds(2));
    for (const char *entry : {"dispatcher-1", "dispatcher-2"}) {
        caller_answer repeat = send(entry, key, 2);
        CHECK(repeat.outcome == wire::outcome::unknown);
        CHECK(repeat.refusal == wire::refusal::key_elsewhere);
    }
    CHECK(runs[key] == 1);
}

// Story: the platform's store is out for an hour and one zone is cut off as
// well. Dispatches go on under issued keys in both zones; a chosen key cannot
// be claimed, and its caller is told at once that it was not run, but only if
// the caller says that it sent it for the first time.
TEST_CASE_FIXTURE(once_keys_fixture, "platform out for an hour, issued keys run, chosen refused")
{
    send("dispatcher-1", "before", 1);
    w.tick_period = milliseconds(100);
    w.platform.outage = true;
    w.partitions.insert({"midrand", "germiston"});
    std::uint32_t ran = 0;
    for (int minute = 0; minute < 60; minute += 5) {
        w.run_for(seconds(298));
        for (const char *entry : {"dispatcher-1", "dispatcher-2"}) {
            std::string key = issue(entry);
            ran += send(entry, key, 1).outcome == wire::outcome::ran ? 1 : 0;
        }
        caller_answer first = send("dispatcher-2", "chosen-" + std::to_string(minute), 1);
        CHECK(first.outcome == wire::outcome::not_run);
        CHECK(first.refusal == wire::refusal::platform_unavailable);
        CHECK(send("dispatcher-2", "before", 2).outcome == wire::outcome::unknown);
    }
    CHECK(ran == 24);
    w.platform.outage = false;
    CHECK(send("dispatcher-2", "chosen-0", 2).outcome == wire::outcome::ran);
    CHECK(send("dispatcher-2", "before", 3).outcome == wire::outcome::ran);
    CHECK(runs["before"] == 1);
}
