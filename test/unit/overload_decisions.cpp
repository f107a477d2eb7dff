#include <doctest/doctest.h>

#include <set>

#include "gullstall/overload.hpp"
#include "gullstall/route.hpp"
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
[class status]
priority = 1
[call boxwatch check]
class_name = dispatch
[call boxwatch status]
class_name = status
)";

/// Two nodes; the worker of boxwatch-1 has one slot and never answers.
struct overload_decisions_fixture
{
    test::test_publisher publisher;
    test::world w{1};
    std::vector<std::pair<time_point, caller_answer>> answers;

    overload_decisions_fixture()
    {
        publisher.publish(w.platform, bundle_text);
        w.on_answer = [this](const std::string &, call_ref, caller_answer &&answer) {
            answers.emplace_back(w.now, std::move(answer));
        };
        w.add_node(
            test::make_settings("boxwatch-1", "midrand", "boxwatch", 1, 1, publisher.trusted()));
        w.add_node(
            test::make_settings("faultbook-1", "midrand", "faultbook", 2, 4, publisher.trusted()));
        w.run_for(seconds(3));
    }

    void ask(const std::string &operation, const std::string &id)
    {
        w.call("faultbook-1", caller_call{"boxwatch", operation, id, "", "", {}, {}});
    }
};

waiting_run fresh_run(std::uint64_t id, std::uint8_t class_priority, std::uint8_t rank)
{
    return waiting_run{run_ref{id}, make_priority(class_priority, rank), false, false};
}

}  // namespace

// A control-room operator asks while the service is far over its level. The
// answer has to come when the refusal is decided, not when the deadline passes.
TEST_CASE_FIXTURE(overload_decisions_fixture,
                  "refusal by the entry, known level, answered within the same step")
{
    touch_table &known = w.nodes.at("faultbook-1").touches;
    learn_touch(known, "boxwatch/status", "boxwatch");
    learn_level(known, "boxwatch", admission_level{0}, w.now);
    ask("status", "r1");
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].first == w.now);
    CHECK(answers[0].second.refusal == wire::refusal::overload);
    CHECK(answers[0].second.retry_after_ms > 0);
}

// The same, refused by the service itself: the caller waits for the two links
// and not a tick longer.
TEST_CASE_FIXTURE(overload_decisions_fixture,
                  "refusal by the service, reply on its way, answered when it arrives")
{
    w.nodes.at("boxwatch-1").level.level = admission_level{0};
    w.nodes.at("boxwatch-1").level.window_end = w.now + seconds(1);
    time_point asked = w.now;
    ask("status", "r1");
    w.run_for(milliseconds(50));
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].first == asked + 2 * w.link_delay);
    CHECK(answers[0].second.outcome == wire::outcome::not_run);
}

// A caller leaves while its call runs below. The slot must be free at once, or
// later callers wait for work that nobody wants.
TEST_CASE_FIXTURE(overload_decisions_fixture, "caller, leaves, slot below is free after one link")
{
    call_ref id = w.call("faultbook-1", caller_call{"boxwatch", "status", "r1", "", "", {}, {}});
    w.run_for(milliseconds(5));
    CHECK(w.nodes.at("boxwatch-1").slots_used == 1);
    SUBCASE("cancellation on")
    {
        w.feed("faultbook-1", call_abandoned{id});
        w.run_for(w.link_delay);
        CHECK(w.nodes.at("boxwatch-1").slots_used == 0);
    }
    SUBCASE("cancellation off")
    {
        w.nodes.at("boxwatch-1").rules.cancel_below = false;
        w.feed("faultbook-1", call_abandoned{id});
        w.run_for(w.link_delay);
        CHECK(w.nodes.at("boxwatch-1").slots_used == 1);
    }
}

TEST_CASE("queue, protected call among others, goes first")
{
    run_queue queue;
    queue.limit = queue.bound = 4;
    enqueue(queue, fresh_run(1, 1, 5));
    enqueue(queue, waiting_run{run_ref{2}, make_priority(0, 9), true, false});
    CHECK(dequeue(queue) == run_ref{2});
    CHECK(dequeue(queue) == run_ref{1});
}

// Dispatches arrive while the queue is full of photographs. The photograph that
// matters least gives its place up; without priorities the dispatch is refused.
TEST_CASE("queue, full of lower work, protected call displaces the least important")
{
    for (bool by_priority : {false, true}) {
        run_queue queue;
        queue.limit = queue.bound = 2;
        queue.by_priority = by_priority;
        enqueue(queue, fresh_run(1, 3, 9));
        enqueue(queue, fresh_run(2, 3, 5));
        waiting_run dispatch{run_ref{3}, make_priority(0, 9), true, false};
        CHECK(enqueue(queue, dispatch) == (by_priority ? run_ref{1} : run_ref{3}));
    }
}

TEST_CASE("queue, beyond its bound, calls with slots spent keep their places")
{
    run_queue queue;
    queue.limit = 3;
    queue.bound = 1;
    waiting_run worked{run_ref{1}, make_priority(3, 100), false, true};
    CHECK_FALSE(enqueue(queue, worked));
    CHECK(enqueue(queue, fresh_run(2, 1, 1)) == run_ref{2});
    worked.run = run_ref{3};
    CHECK_FALSE(enqueue(queue, worked));
}

// The entries hold back ranks above 31 of a class. The service sees 100 of its
// 400 requests a window; taken for all, the level would rise to its end.
TEST_CASE("demand, seen up to a rank, whole class is estimated")
{
    demand_estimate it;
    constexpr int windows = 40;
    for (int i = 0; i < windows; ++i) {
        for (int n = 0; n < 100; ++n) {
            note_demand(it, make_priority(1, static_cast<std::uint8_t>(n % 32)));
        }
        end_window(it, admission_level{159});
    }
    CHECK(it.classes[1].whole == doctest::Approx(400).epsilon(0.05));
    REQUIRE(level_for(it, 200));
    CHECK(level_for(it, 200)->highest == doctest::Approx(191).epsilon(0.02));
    CHECK_FALSE(level_for(it, 500));
}

// A service that refuses everything is heard of no more. Were it forgotten, all
// that was held back would fall on it at once.
TEST_CASE("touch table, service not heard of, its level rises by steps")
{
    touch_table it;
    time_point start{seconds(10)};
    learn_touch(it, "photodesk/photo", "boxwatch");
    learn_level(it, "boxwatch", admission_level{100}, start);
    entry_request next{"photodesk/photo", priority{150}, false};
    entry_request last{"photodesk/photo", priority{500}, false};
    CHECK(refusing_service(it, next, start + milliseconds(200)) == "boxwatch");
    CHECK_FALSE(refusing_service(it, next, start + milliseconds(350)));
    CHECK(refusing_service(it, last, start + milliseconds(350)) == "boxwatch");
}

TEST_CASE("touch table, type that rarely reaches a service, not refused for it")
{
    touch_table it;
    time_point now{seconds(10)};
    learn_touch(it, "faultbook/log", "boxwatch");
    learn_level(it, "boxwatch", admission_level{0}, now);
    entry_request request{"faultbook/log", priority{300}, false};
    CHECK(refusing_service(it, request, now));
    for (int i = 0; i < 20; ++i) {
        learn_no_touch(it, "faultbook/log", "boxwatch");
    }
    CHECK_FALSE(refusing_service(it, request, now));
}

// One zone's only worker is full while the other zone's is idle. Callers of the
// first zone see refusals beside free slots.
TEST_CASE("route, own zone waits, calls spill over and not all at once")
{
    member_table members;
    for (const char *zone : {"perth-a", "perth-b"}) {
        member it;
        it.instance = std::string("till-") + zone;
        it.zone = zone;
        it.service = "till";
        it.state = wire::member_state::alive;
        learn_member(members, it);
    }
    router routes;
    random_source random(1);
    route_request request{"till", "intake-1", "perth-a", {}};
    auto spilled = [&] {
        int n = 0;
        for (int i = 0; i < 1000; ++i) {
            n += choose_upstream(routes, members, request, random, time_point{}) == "till-perth-b";
        }
        return n;
    };
    CHECK(spilled() == 0);
    note_queue_wait(routes, "till-perth-a", milliseconds(12));
    CHECK(spilled() == doctest::Approx(250).epsilon(0.2));
    note_queue_wait(routes, "till-perth-a", milliseconds(200));
    CHECK(spilled() == doctest::Approx(500).epsilon(0.2));
}

// A caller's link is bad and every upstream seems to fail. Ejecting them all
// would turn a bad minute into an outage of the whole service.
TEST_CASE("route, most upstreams fail, at most half are ejected")
{
    member_table members;
    for (int i = 0; i < 4; ++i) {
        member it;
        it.instance = "till-" + std::to_string(i);
        it.service = "till";
        it.state = wire::member_state::alive;
        learn_member(members, it);
    }
    router routes;
    random_source random(1);
    time_point now{seconds(10)};
    route_request request{"till", "intake-1", "", {}};
    for (int failing = 1; failing <= 4; ++failing) {
        for (int i = 0; i < 3; ++i) {
            note_failed(routes, "till-" + std::to_string(failing - 1), now);
        }
        std::set<std::string> chosen;
        for (int i = 0; i < 200; ++i) {
            chosen.insert(choose_upstream(routes, members, request, random, now).value_or(""));
        }
        CHECK(chosen.size() == (failing <= 2 ? 4 - failing : 4));
    }
}

// Callers refused in the same moment come back in the same moment unless they
// are told different times, and too soon unless the times grow.
TEST_CASE("retry after, further beyond the level, later and spread")
{
    random_source random(1);
    std::set<std::uint32_t> near;
    std::set<std::uint32_t> far;
    for (int i = 0; i < 100; ++i) {
        near.insert(draw_retry_after_ms(random, 0));
        far.insert(draw_retry_after_ms(random, 3));
    }
    CHECK(near.size() > 80);
    CHECK(*near.begin() >= 500);
    CHECK(*near.rbegin() < 1000);
    CHECK(*far.begin() >= 2000);
    CHECK(*far.rbegin() < 4000);
}

// A call arrives with 30 ms left at a service that needs 100 ms. Run, it would
// cost a slot and fail at its deadline all the same.
TEST_CASE_FIXTURE(overload_decisions_fixture,
                  "time left, less than the service needs, refused at once")
{
    node &served = w.nodes.at("boxwatch-1");
    for (int i = 0; i < 8; ++i) {
        learn_run_time(served.times, "status", milliseconds(100));
    }
    for (bool refuse_hopeless : {false, true}) {
        served.rules.refuse_hopeless = refuse_hopeless;
        answers.clear();
        time_point asked = w.now;
        std::string id = refuse_hopeless ? "r2" : "r1";
        w.call("faultbook-1", caller_call{"boxwatch", "status", id, "", "", milliseconds(30), {}});
        w.run_for(milliseconds(100));
        REQUIRE(answers.size() == 1);
        CHECK(answers[0].second.refusal == wire::refusal::deadline);
        duration took = answers[0].first - asked;
        CHECK((took == 2 * w.link_delay) == refuse_hopeless);
    }
}

// The service was slow and is quick again. All it refuses for want of time tells
// it nothing: it has to try again by itself.
TEST_CASE("run times, refusals go on, a call is let through again")
{
    run_times it;
    for (int i = 0; i < 8; ++i) {
        CHECK(can_finish(it, "status", duration{}, seconds(1)));  // too few runs to refuse by
        learn_run_time(it, "status", seconds(5));
    }
    int refused = 0;
    while (!can_finish(it, "status", duration{}, seconds(1))) {
        ++refused;
    }
    CHECK(refused > 10);
    CHECK(refused < 200);
}
