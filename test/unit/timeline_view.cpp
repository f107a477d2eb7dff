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
[class status]
priority = 1
[call boxwatch status]
class_name = status
)";

/// Two nodes; the time lines of both are gathered as the command does it.
struct timeline_fixture
{
    test::test_publisher publisher;
    test::simulation w{1};

    timeline_fixture()
    {
        publisher.publish(w.platform, bundle_text);
        w.on_run = [this](const std::string &instance, run_on_worker &&run) {
            w.answer_run(instance, run.run, worker_end::answered);
        };
        w.add_node(
            test::make_settings("boxwatch-1", "midrand", "boxwatch", 1, 4, publisher.trusted()));
        w.add_node(test::make_settings("dispatcher-1", "germiston", "dispatcher", 2, 4,
                                       publisher.trusted()));
        w.run_for(seconds(3));
    }

    std::vector<fleet_event> gather() const
    {
        std::vector<fleet_event> out;
        for (const auto &[name, n] : w.nodes) {
            auto read = parse_events(print_timeline(n.events, name, n.settings.node.zone));
            REQUIRE(succeeded(read));
            out.insert(out.end(), value_of(read).begin(), value_of(read).end());
        }
        order_events(out);
        return out;
    }
};

std::vector<std::string> kinds_of(const std::vector<fleet_event> &events)
{
    std::vector<std::string> out;
    out.reserve(events.size());
    for (const fleet_event &it : events) {
        out.push_back(it.kind);
    }
    return out;
}

}  // namespace

TEST_CASE_FIXTURE(timeline_fixture, "events, one request over two nodes, cause before effect")
{
    w.call("dispatcher-1", call_request{"boxwatch", "status", "r1", "", "", {}, {}});
    w.run_for(seconds(1));
    auto events = select_events(gather(), event_filter{"r1", "", "", ""});
    CHECK(kinds_of(events) == std::vector<std::string>{"call_taken", "call_sent", "run_started",
                                                       "run_finished", "call_answered"});
    CHECK(select_events(events, event_filter{"", "", "boxwatch-1", ""}).size() == 2);
    CHECK(select_events(events, event_filter{"", "", "", "germiston"}).size() == 3);
    std::string diagram = draw_events(events);
    CHECK(diagram.find("dispatcher-1") < diagram.find("boxwatch-1"));
    CHECK(diagram.find("call_sent -> boxwatch-1") != std::string::npos);
}

// Story: an instance's clock is an hour behind. Ordered by their clocks alone
// the runs would stand before the calls that caused them, and an operator would
// look for the cause at the wrong node.
TEST_CASE("clock, receiver an hour behind, its event stands after the sender's")
{
    timeline sender;
    timeline receiver;
    time_point now{seconds(7200)};
    time_point behind = now - seconds(3600);
    note_event(sender, now, event_kind::call_sent, "r1", "", "");
    merge_clock(receiver, tick_clock(sender, now), behind);
    note_event(receiver, behind, event_kind::run_started, "r1", "", "");
    CHECK(receiver.events.back().clock > sender.events.back().clock);

    timeline unmerged;  // the guard off: no clock is heard
    note_event(unmerged, behind, event_kind::run_started, "r1", "", "");
    CHECK(unmerged.events.back().clock < sender.events.back().clock);
}

TEST_CASE_FIXTURE(timeline_fixture, "explain, refused request, names service, class, rank, bundle")
{
    w.kill("boxwatch-1");
    w.run_for(seconds(1));
    w.call("dispatcher-1", call_request{"photodesk", "photo", "r2", "", "", {}, {}});
    std::string text = explain_refusals(gather(), "r2");
    CHECK(text.find("r2: not_run, reason no_upstream, refused by photodesk") == 0);
    CHECK(text.find("call photodesk/photo at dispatcher-1 in germiston") != std::string::npos);
    CHECK(text.find("rank " + std::to_string(rank_of("r2"))) != std::string::npos);
    CHECK(text.find("bundle version 1") != std::string::npos);
    CHECK(explain_refusals(gather(), "r3").empty());
}

TEST_CASE_FIXTURE(timeline_fixture, "filter, bundle version, its events only")
{
    auto events = select_events(gather(), event_filter{"", "1", "", ""});
    CHECK(kinds_of(events) == std::vector<std::string>{"bundle_applied", "bundle_applied"});
}

TEST_CASE("events, line that is no event, refused")
{
    for (const char *line : {"[]", "{}", "{\"clock\":\"now\"}", "nonsense"}) {
        CHECK_FALSE(succeeded(parse_events(line)));
    }
}

TEST_CASE("latency histogram, noted durations, printed as cumulative buckets")
{
    latency_histogram it;
    note_latency(it, microseconds(400));
    note_latency(it, milliseconds(3));
    note_latency(it, seconds(60));
    std::string text = print_latency("call_seconds", it);
    CHECK(text.find("# TYPE gullstall_call_seconds histogram\n") == 0);
    CHECK(text.find("_bucket{le=\"0.0005\"} 1\n") != std::string::npos);
    CHECK(text.find("_bucket{le=\"0.005\"} 2\n") != std::string::npos);
    CHECK(text.find("_bucket{le=\"10\"} 2\n") != std::string::npos);
    CHECK(text.find("_bucket{le=\"+Inf\"} 3\n") != std::string::npos);
    CHECK(text.find("_sum 60.0034\n") != std::string::npos);
    CHECK(text.find("_count 3\n") != std::string::npos);
}
