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

/// Two nodes. The worker of boxwatch-1 has one slot and never answers.
struct overload_decisions_fixture
{
    test::test_publisher publisher;
    test::simulation w{1};
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

    void send_call(const std::string &operation, const std::string &id)
    {
        w.call("faultbook-1", call_request{"boxwatch", operation, id, "", "", {}, {}});
    }
};

waiting_run fresh_run(std::uint64_t id, std::uint8_t class_priority, std::uint8_t rank)
{
    return waiting_run{run_ref{id}, make_priority(class_priority, rank), false, false};
}

}  // namespace

// A call of a priority that the entry node expects the service to refuse must be
// answered when the refusal is decided, not when its deadline passes.
TEST_CASE_FIXTURE(overload_decisions_fixture,
                  "refusal by the entry, known level, answered within the same step")
{
    dependency_table &known = w.nodes.at("faultbook-1").touched_services;
    record_reached(known, "boxwatch/status", "boxwatch");
    record_reported_level(known, "boxwatch", admission_level{0}, w.now);
    send_call("status", "r1");
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].first == w.now);
    CHECK(answers[0].second.refusal == wire::refusal::overload);
    CHECK(answers[0].second.retry_after_ms > 0);
}

// A refusal by the service itself must reach the caller after exactly two link
// delays.
TEST_CASE_FIXTURE(overload_decisions_fixture,
                  "refusal by the service, reply on its way, answered when it arrives")
{
    w.nodes.at("boxwatch-1").level.level = admission_level{0};
    w.nodes.at("boxwatch-1").level.window_end = w.now + seconds(1);
    time_point sent_at = w.now;
    send_call("status", "r1");
    w.run_for(milliseconds(50));
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].first == sent_at + 2 * w.link_delay);
    CHECK(answers[0].second.outcome == wire::outcome::not_run);
}

// A caller disconnects while its call runs at an upstream. The slot must be released
// at once; otherwise later callers wait for work whose result is discarded.
TEST_CASE_FIXTURE(overload_decisions_fixture, "caller, leaves, slot below is free after one link")
{
    call_ref id = w.call("faultbook-1", call_request{"boxwatch", "status", "r1", "", "", {}, {}});
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
        w.nodes.at("boxwatch-1").rules.propagate_cancellation = false;
        w.feed("faultbook-1", call_abandoned{id});
        w.run_for(w.link_delay);
        CHECK(w.nodes.at("boxwatch-1").slots_used == 1);
    }
}

TEST_CASE("queue, protected call among others, goes first")
{
    run_queue queue;
    queue.hard_limit = queue.soft_limit = 4;
    enqueue(queue, fresh_run(1, 1, 5));
    enqueue(queue, waiting_run{run_ref{2}, make_priority(0, 9), true, false});
    CHECK(dequeue(queue) == run_ref{2});
    CHECK(dequeue(queue) == run_ref{1});
}

// A protected call (dispatch) arrives while the queue is full of unprotected calls.
// The least important of them is removed; without priorities the protected call is
// refused.
TEST_CASE("queue, full of lower work, protected call displaces the least important")
{
    for (bool by_priority : {false, true}) {
        run_queue queue;
        queue.hard_limit = queue.soft_limit = 2;
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
    queue.hard_limit = 3;
    queue.soft_limit = 1;
    waiting_run worked{run_ref{1}, make_priority(3, 100), false, true};
    CHECK_FALSE(enqueue(queue, worked));
    CHECK(enqueue(queue, fresh_run(2, 1, 1)) == run_ref{2});
    worked.run = run_ref{3};
    CHECK_FALSE(enqueue(queue, worked));
}

// Entry nodes refuse the ranks above 31 of a class, so the service receives 100 of
// 400 requests per window. If these were taken for the whole demand, the level would
// rise to its maximum.
TEST_CASE("demand, seen up to a rank, whole class is estimated")
{
    demand_estimate demand;
    constexpr int windows = 40;
    for (int i = 0; i < windows; ++i) {
        for (int n = 0; n < 100; ++n) {
            record_demand(demand, make_priority(1, static_cast<std::uint8_t>(n % 32)));
        }
        end_window(demand, admission_level{159});
    }
    CHECK(demand.classes[1].total == doctest::Approx(400).epsilon(0.05));
    REQUIRE(level_admitting(demand, 200));
    CHECK(level_admitting(demand, 200)->highest == doctest::Approx(191).epsilon(0.02));
    CHECK_FALSE(level_admitting(demand, 500));
}

// A service that refuses all requests sends no replies that update its level. If the
// level were dropped, all refused requests would reach the service at once.
TEST_CASE("touch table, service not heard of, its level rises by steps")
{
    dependency_table table;
    time_point start{seconds(10)};
    record_reached(table, "photodesk/photo", "boxwatch");
    record_reported_level(table, "boxwatch", admission_level{100}, start);
    entry_request next{"photodesk/photo", priority{150}, false};
    entry_request last{"photodesk/photo", priority{500}, false};
    CHECK(find_refusing_service(table, next, start + milliseconds(200)) == "boxwatch");
    CHECK_FALSE(find_refusing_service(table, next, start + milliseconds(350)));
    CHECK(find_refusing_service(table, last, start + milliseconds(350)) == "boxwatch");
}

TEST_CASE("touch table, type that rarely reaches a service, not refused for it")
{
    dependency_table table;
    time_point now{seconds(10)};
    record_reached(table, "faultbook/log", "boxwatch");
    record_reported_level(table, "boxwatch", admission_level{0}, now);
    entry_request request{"faultbook/log", priority{300}, false};
    CHECK(find_refusing_service(table, request, now));
    for (int i = 0; i < 20; ++i) {
        record_not_reached(table, "faultbook/log", "boxwatch");
    }
    CHECK_FALSE(find_refusing_service(table, request, now));
}

// The only worker of one zone is full while that of the other zone is idle. Without
// spill-over, callers of the first zone are refused although slots are free.
TEST_CASE("route, own zone waits, calls spill over and not all at once")
{
    member_table members;
    for (const char *zone : {"perth-a", "perth-b"}) {
        member added;
        added.instance = std::string("till-") + zone;
        added.zone = zone;
        added.service = "till";
        added.state = wire::member_state::alive;
        learn_member(members, added);
    }
    router routes;
    random_source random(1);
    route_request request{"till", "intake-1", "perth-a", {}};
    auto count_spilled = [&] {
        int n = 0;
        for (int i = 0; i < 1000; ++i) {
            n += choose_upstream(routes, members, request, random, time_point{}) == "till-perth-b";
        }
        return n;
    };
    CHECK(count_spilled() == 0);
    record_queue_wait(routes, "till-perth-a", milliseconds(12));
    CHECK(count_spilled() == doctest::Approx(250).epsilon(0.2));
    record_queue_wait(routes, "till-perth-a", milliseconds(200));
    CHECK(count_spilled() == doctest::Approx(500).epsilon(0.2));
}

// The link of a caller is faulty and every upstream seems to fail. Ejecting all of
// them would turn a transient fault into an outage of the whole service.
TEST_CASE("route, most upstreams fail, at most half are ejected")
{
    member_table members;
    for (int i = 0; i < 4; ++i) {
        member added;
        added.instance = "till-" + std::to_string(i);
        added.service = "till";
        added.state = wire::member_state::alive;
        learn_member(members, added);
    }
    router routes;
    random_source random(1);
    time_point now{seconds(10)};
    route_request request{"till", "intake-1", "", {}};
    for (int failing = 1; failing <= 4; ++failing) {
        for (int i = 0; i < 3; ++i) {
            record_failure(routes, "till-" + std::to_string(failing - 1), now);
        }
        std::set<std::string> chosen;
        for (int i = 0; i < 200; ++i) {
            chosen.insert(choose_upstream(routes, members, request, random, now).value_or(""));
        }
        CHECK(chosen.size() == (failing <= 2 ? 4 - failing : 4));
    }
}

// Callers refused at the same time retry at the same time unless their delays differ,
// and too early unless the delays grow with the distance from the level.
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

// A call arrives with 30 ms left at a service that needs 100 ms. Running it would use
// a slot although the call fails at its deadline anyway.
TEST_CASE_FIXTURE(overload_decisions_fixture,
                  "time left, less than the service needs, refused at once")
{
    node &served = w.nodes.at("boxwatch-1");
    for (int i = 0; i < 8; ++i) {
        record_run_time(served.times, "status", milliseconds(100));
    }
    for (bool refuse_hopeless : {false, true}) {
        served.rules.refuse_unfinishable = refuse_hopeless;
        answers.clear();
        time_point sent_at = w.now;
        std::string id = refuse_hopeless ? "r2" : "r1";
        w.call("faultbook-1", call_request{"boxwatch", "status", id, "", "", milliseconds(30), {}});
        w.run_for(milliseconds(100));
        REQUIRE(answers.size() == 1);
        CHECK(answers[0].second.refusal == wire::refusal::deadline);
        duration took = answers[0].first - sent_at;
        CHECK((took == 2 * w.link_delay) == refuse_hopeless);
    }
}

// A service was slow and has recovered. Refused calls provide no new run times, so the
// service must eventually admit a call again to measure one.
TEST_CASE("run times, refusals go on, a call is let through again")
{
    run_times times;
    for (int i = 0; i < 8; ++i) {
        CHECK(can_finish(times, "status", duration{},
                         seconds(1)));  // too few recorded runs to refuse a call
        record_run_time(times, "status", seconds(5));
    }
    int refused = 0;
    while (!can_finish(times, "status", duration{}, seconds(1))) {
        ++refused;
    }
    CHECK(refused > 10);
    CHECK(refused < 200);
}
