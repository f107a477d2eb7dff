#include <doctest/doctest.h>

#include "test/support/mesh_world.hpp"

using namespace gullstall;

namespace {

/// One upstream, and a node whose callers use it.
struct crash_watch_fixture
{
    test::mesh_simulation w{41};

    crash_watch_fixture()
    {
        w.policy = test::policy_of(
            1, {test::route_of("read", "/read/", "books", idempotency::idempotent)});
        w.add_node("b1", "a", test::upstream_model{"books", 10, milliseconds(50)});
        w.add_node("s1", "a", test::upstream_model{"shop"});
        w.run_for(seconds(1));
    }

    /// Starts \a n runs that have not ended yet.
    void start_runs(int n)
    {
        for (int i = 0; i < n; ++i) {
            w.send_request("s1", "r" + std::to_string(i), "/read/" + std::to_string(i), seconds(5));
        }
        w.run_for(milliseconds(20));
    }

    std::vector<mesh::write_line> crash_lines() const
    {
        std::vector<mesh::write_line> out;
        std::copy_if(
            w.log_lines.begin(), w.log_lines.end(), std::back_inserter(out),
            [](const mesh::write_line &it) { return it.event == std::string("upstream-crashed"); });
        return out;
    }

    static std::string field(const mesh::write_line &line, const std::string &name)
    {
        auto found = std::find_if(line.fields.begin(), line.fields.end(),
                                  [&](const mesh::log_field &it) { return it.name == name; });
        return found == line.fields.end() ? "" : found->value;
    }
};

}  // namespace

// Guards against crashes that can't be told from lost connections in the log.
TEST_CASE_FIXTURE(crash_watch_fixture, "upstream, crashed, is reported once with its runs")
{
    start_runs(3);
    w.crash_upstream("b1");
    w.run_for(seconds(5));
    REQUIRE(crash_lines().size() == 1);
    CHECK(field(crash_lines().front(), "runs") == "3");
    CHECK(field(crash_lines().front(), "evidence") == "connection-refused");
    CHECK(w.nodes.at("b1").counters.upstream_crashes == 1);
}

// Guards against a lost answer that is taken for a crash.
TEST_CASE_FIXTURE(crash_watch_fixture, "upstream, answers lost, is not reported as crashed")
{
    w.upstreams.at("b1").lost = 1;
    start_runs(5);
    w.run_for(seconds(5));
    CHECK(crash_lines().empty());
}

// Guards against a crash that is missed because the upstream restarts at once.
TEST_CASE_FIXTURE(crash_watch_fixture, "upstream, restarted before the probe, is reported")
{
    start_runs(2);
    w.upstreams.at("b1").restart_time = microseconds(10);
    w.crash_upstream("b1");
    w.run_for(seconds(1));
    REQUIRE(crash_lines().size() == 1);
    CHECK(field(crash_lines().front(), "evidence") == "successor-announced");
}

// Guards against an announced end that is taken for a crash.
TEST_CASE_FIXTURE(crash_watch_fixture, "upstream, ended while draining, is not reported")
{
    start_runs(2);
    w.send_heartbeat("b1", mesh_wire::upstream_state::draining);
    w.crash_upstream("b1");
    w.run_for(seconds(5));
    CHECK(crash_lines().empty());
}

// Guards against calls that are sent to an upstream that is known to have crashed.
TEST_CASE_FIXTURE(crash_watch_fixture, "upstream, crashed, gets no call until its successor")
{
    start_runs(1);
    w.crash_upstream("b1");
    w.run_for(milliseconds(10));
    std::size_t started = w.nodes.at("b1").counters.runs_started;
    for (int i = 0; i < 20; ++i) {
        w.send_request("s1", "late" + std::to_string(i), "/read/x", seconds(1));
        w.run_for(milliseconds(100));
    }
    CHECK(w.nodes.at("b1").counters.runs_started == started);
    w.run_for(seconds(2));
    w.send_request("s1", "after", "/read/x", seconds(1));
    w.run_for(seconds(1));
    CHECK(w.results.at("after").status == 200);
}
