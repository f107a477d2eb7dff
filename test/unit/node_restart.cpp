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
[limits]
retry_allowance = 3
retry_budget_percent = 100
default_time_ms = 60000
[class dispatch]
priority = 0
[call boxwatch order]
class_name = dispatch
non_idempotent = true
)";

const body_bytes old_body{1};
const body_bytes new_body{2};

/// Two nodes of two services, with workers that leave their runs unanswered.
struct node_restart_fixture
{
    test::test_publisher publisher;
    test::simulation w{5};
    std::vector<caller_answer> answers;
    std::vector<run_on_worker> held;

    node_restart_fixture()
    {
        publisher.publish(w.platform, bundle_text);
        w.on_run = [this](const std::string &, run_on_worker &&run) {
            held.push_back(std::move(run));
        };
        w.on_answer = [this](const std::string &, call_ref, caller_answer &&answer) {
            answers.push_back(std::move(answer));
        };
        add("boxwatch-1", "boxwatch", 1);
        add("dispatcher-1", "dispatcher", 2);
        w.run_for(seconds(3));
    }

    void add(const std::string &name, const std::string &service, std::uint16_t number)
    {
        constexpr std::uint32_t slots = 500;
        w.add_node(
            test::make_settings(name, "midrand", service, number, slots, publisher.trusted()));
    }

    /// \returns the frames that the node sends to \a peer when it processes \a what
    std::vector<wire::frame_message> sent_to(const std::string &peer, const std::string &node,
                                             event what)
    {
        std::vector<wire::frame_message> out;
        for (action &it : step(w.nodes.at(node), w.now, std::move(what))) {
            auto *frame = std::get_if<send_frame>(&it);
            if (frame != nullptr && frame->instance == peer) {
                out.push_back(std::move(frame->frame));
            }
            if (auto *run = std::get_if<run_on_worker>(&it)) {
                held.push_back(std::move(*run));
            }
        }
        return out;
    }

    static wire::frame_message call_from(const std::string &sender)
    {
        wire::call_message call;
        call.correlation = 7;
        call.request_id = "r1";
        call.service = "boxwatch";
        call.operation = "check";
        call.left_us = static_cast<std::uint64_t>(duration(seconds(1)).count());
        wire::frame_message out;
        out.sender = sender;
        out.incarnation = 1;
        out.payload.Set(std::move(call));
        return out;
    }
};

}  // namespace

// Guards against a reply that is matched to another request: a node is killed, and a run that it
// requested ends after the restarted process has sent calls of its own.
TEST_CASE_FIXTURE(node_restart_fixture, "restarted node, late reply to its former process, dropped")
{
    w.call("dispatcher-1", call_request{"boxwatch", "order", "r0", "k0", "", {}, old_body});
    w.run_for(seconds(1));
    REQUIRE(held.size() == 1);
    run_ref late = held.front().run;
    w.kill("dispatcher-1");
    w.run_for(milliseconds(100));
    add("dispatcher-1", "dispatcher", 2);
    w.run_for(seconds(3));
    constexpr int new_calls = 200;
    for (int i = 1; i <= new_calls; ++i) {
        w.call("dispatcher-1",
               call_request{"boxwatch", "check", "r" + std::to_string(i), "", "", {}, new_body});
    }
    w.run_for(milliseconds(10));
    w.answer_run("boxwatch-1", late, worker_end::answered, 200, old_body);
    w.run_for(milliseconds(10));
    for (const caller_answer &it : answers) {
        CHECK(it.body != old_body);
    }
    CHECK(answers.empty());
}

// Guards against a call that waits until its deadline because the node that ran it does not know
// the sender as a member yet, for example after a restart.
TEST_CASE_FIXTURE(node_restart_fixture, "call, sender not known as a member, answered to it")
{
    CHECK(sent_to("stranger-1", "boxwatch-1", frame_arrived{call_from("stranger-1")}).empty());
    REQUIRE(held.size() == 1);
    std::vector<wire::frame_message> replies =
        sent_to("stranger-1", "boxwatch-1",
                worker_answered{held.front().run, worker_end::answered, 200, "", new_body});
    REQUIRE(replies.size() == 1);
    const wire::reply_message *reply = replies.front().payload.Asreply();
    REQUIRE(reply != nullptr);
    CHECK(reply->correlation == 7);
    CHECK(reply->body == new_body);
}

// Guards against a call that waits until its deadline because the node that refused it does not
// know the sender as a member yet; it could have been sent to another upstream at once.
TEST_CASE_FIXTURE(node_restart_fixture, "refused call, sender not known as a member, told so")
{
    w.feed("boxwatch-1", worker_leaving{});
    std::vector<wire::frame_message> replies =
        sent_to("stranger-1", "boxwatch-1", frame_arrived{call_from("stranger-1")});
    REQUIRE(replies.size() == 1);
    const wire::reply_message *reply = replies.front().payload.Asreply();
    REQUIRE(reply != nullptr);
    CHECK(reply->outcome == wire::outcome::not_run);
    CHECK(reply->refusal == wire::refusal::leaving);
}

// Guards against a call that waits until its deadline at the issuer of its key, which was
// restarted and has no bundle yet.
TEST_CASE_FIXTURE(node_restart_fixture, "call for the issuer of its key, no bundle there, told so")
{
    w.platform_partitions = {"midrand"};
    w.kill("boxwatch-1");
    add("boxwatch-1", "boxwatch", 1);
    wire::frame_message frame = call_from("dispatcher-1");
    frame.payload.Ascall()->key = "k0";
    frame.payload.Ascall()->to_issuer = true;
    std::vector<wire::frame_message> replies =
        sent_to("dispatcher-1", "boxwatch-1", frame_arrived{std::move(frame)});
    REQUIRE(replies.size() == 1);
    const wire::reply_message *reply = replies.front().payload.Asreply();
    REQUIRE(reply != nullptr);
    CHECK(reply->outcome == wire::outcome::unknown);
    CHECK(reply->refusal == wire::refusal::starting);
}

// Guards against an answer that is dropped, and its receiver taken for unreachable, because the
// connection on which the question came has closed.
TEST_CASE_FIXTURE(node_restart_fixture,
                  "question for the bundle, known member, answered to its address")
{
    wire::frame_message question;
    question.sender = "dispatcher-1";
    question.payload.Set(wire::bundle_fetch_message{});
    const node_settings &asking = w.nodes.at("dispatcher-1").settings;
    std::vector<endpoint> targets;
    for (action &it : step(w.nodes.at("boxwatch-1"), w.now, frame_arrived{std::move(question)})) {
        auto *frame = std::get_if<send_frame>(&it);
        if (frame != nullptr && frame->frame.payload.Asbundle_content() != nullptr) {
            targets.push_back(frame->to);
        }
    }
    CHECK(targets == std::vector{endpoint{asking.listen.address, asking.listen.peers_port}});
}
