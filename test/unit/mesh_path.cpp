#include <doctest/doctest.h>

#include "test/support/mesh_world.hpp"

using namespace gullstall;
using mesh_wire::reason;
using mesh_wire::upstream_state;

namespace {

constexpr duration long_deadline = seconds(5);

/// Three nodes of one service in two zones, and one node of another service.
struct mesh_path_fixture
{
    test::mesh_simulation w{2026};

    mesh_path_fixture()
    {
        w.policy = test::policy_of(
            3, {test::route_of("read", "/read/", "books", idempotency::idempotent),
                test::route_of("order", "/order/", "books", idempotency::non_idempotent),
                test::route_of("photo", "/photo/", "photos", idempotency::non_idempotent)});
        w.add_node("a1", "a", test::upstream_model{"books"});
        w.add_node("a2", "a", test::upstream_model{"books"});
        w.add_node("b1", "b", test::upstream_model{"books"});
        w.add_node("p1", "a", test::upstream_model{"photos"});
        w.run_for(seconds(1));
    }

    const test::caller_result &run_request(const std::string &node, const std::string &id,
                                           const std::string &path, duration left = long_deadline)
    {
        w.send_request(node, id, path, left);
        w.run_for(left + milliseconds(200));
        return w.results.at(id);
    }
};

}  // namespace

TEST_CASE_FIXTURE(mesh_path_fixture, "request: answered by the upstream of another node")
{
    CHECK(run_request("p1", "r1", "/read/x").status == 200);
    CHECK(w.runs_of("r1") == 1);
}

TEST_CASE_FIXTURE(mesh_path_fixture, "request: 404 without a route")
{
    CHECK(run_request("p1", "r1", "/unknown/x").status == 404);
}

TEST_CASE_FIXTURE(mesh_path_fixture, "load balancing: requests stay in the zone under light load")
{
    for (int i = 0; i < 100; ++i) {
        run_request("p1", "r" + std::to_string(i), "/read/x", milliseconds(100));
    }
    auto far = std::count_if(w.runs.begin(), w.runs.end(),
                             [](const test::upstream_run &it) { return it.node == "b1"; });
    CHECK(far == 0);
}

// Guards against dispatching to a draining upstream, which loses such calls when it exits. Its
// node closes the gate at once, and other nodes send their calls elsewhere.
TEST_CASE_FIXTURE(mesh_path_fixture, "draining upstream: receives no call in flight")
{
    for (int i = 0; i < 20; ++i) {
        w.send_request("p1", "r" + std::to_string(i), "/order/x", long_deadline);
    }
    w.send_heartbeat("a1", upstream_state::draining);
    time_point drained_at = w.now;
    w.run_for(seconds(1));
    for (const test::upstream_run &it : w.runs) {
        CHECK((it.node != "a1" || it.at <= drained_at));
    }
    for (const auto &[id, result] : w.results) {
        CHECK(result.status == 200);
    }
}

// Guards against dispatching to a draining upstream after a restart. A process killed after it
// acknowledged the draining is replaced by one that does not know of it.
TEST_CASE_FIXTURE(mesh_path_fixture, "restarted node: dispatches nothing before a heartbeat")
{
    w.send_heartbeat("p1", upstream_state::draining);
    w.start_node("p1", "a");
    CHECK(run_request("p1", "r1", "/photo/x").status == 503);
    CHECK(w.runs_of("r1") == 0);
    w.send_heartbeat("p1", upstream_state::ready);
    CHECK(run_request("p1", "r2", "/photo/x").status == 200);
}

// Guards against a delayed heartbeat reviving an upstream: it arrives after a later heartbeat of
// the same incarnation reported draining, or after the upstream left.
TEST_CASE_FIXTURE(mesh_path_fixture, "delayed heartbeat: does not revive a departed upstream")
{
    mesh::own_upstream own;
    mesh::upstream_heartbeat beat{"u", "books", "", 100, 5, upstream_state::ready, 10, {}};
    CHECK(apply_heartbeat(own, beat, w.now) == mesh::heartbeat_verdict::accepted);
    mesh::upstream_heartbeat drains = beat;
    drains.sequence = 6;
    drains.state = upstream_state::draining;
    CHECK(apply_heartbeat(own, drains, w.now) == mesh::heartbeat_verdict::accepted);
    CHECK(apply_heartbeat(own, beat, w.now) == mesh::heartbeat_verdict::outdated);
    CHECK_FALSE(accepts_work(own));
    apply_leave(own, "u", 200);
    CHECK(apply_heartbeat(own, beat, w.now) == mesh::heartbeat_verdict::departed);
    beat.started_ms = 300;
    beat.sequence = 1;
    CHECK(apply_heartbeat(own, beat, w.now) == mesh::heartbeat_verdict::accepted);
    CHECK(accepts_work(own));
}

// Guards against running a call after its deadline. A network cut delays the frame by seconds;
// by the time it arrives, the caller has been told that the outcome is unknown.
TEST_CASE_FIXTURE(mesh_path_fixture, "delayed call: does not run after its deadline")
{
    w.partitions = {{"a1", "p1"}, {"p1", "a1"}};
    w.send_request("a1", "r1", "/photo/x", seconds(2));
    w.run_for(milliseconds(2500));
    CHECK(w.results.at("r1").status == 504);
    w.partitions.clear();
    w.run_for(seconds(2));
    CHECK(w.runs_of("r1") == 0);
}

TEST_CASE_FIXTURE(mesh_path_fixture, "delayed call: runs late if the frame age is ignored")
{
    w.nodes.at("p1").features.age_of_frames = false;
    w.partitions = {{"a1", "p1"}, {"p1", "a1"}};
    w.send_request("a1", "r1", "/photo/x", seconds(2));
    w.run_for(milliseconds(1500));
    w.partitions.clear();
    w.run_for(seconds(2));
    REQUIRE(w.runs_of("r1") == 1);
    CHECK(w.runs.back().time_left > milliseconds(1500));
}

// Guards against retrying a non-idempotent call after its connection broke. Whether it ran is
// unknown, so that it is neither retried nor reported as not run.
TEST_CASE_FIXTURE(mesh_path_fixture,
                  "broken connection: non-idempotent call has an unknown outcome")
{
    w.upstreams["p1"].run_time = milliseconds(500);
    w.send_request("a1", "r1", "/photo/x", long_deadline);
    w.run_for(milliseconds(100));
    w.break_links("a1", "p1");
    w.run_for(seconds(2));
    CHECK(w.results.at("r1").status == 502);
    CHECK(w.runs_of("r1") == 1);
}

// Guards against reporting a shed call as failed. It has not run, so that another upstream may
// run it; after the last attempt the caller receives a refusal with a retry time.
TEST_CASE_FIXTURE(mesh_path_fixture, "shed call: non-idempotent call is refused as not run")
{
    w.upstreams["p1"].shed = 1;
    const test::caller_result &result = run_request("a1", "r1", "/photo/x");
    CHECK(result.status == 503);
    CHECK(result.refusal_reason == reason::shed);
    REQUIRE(result.retry_after);
    CHECK(*result.retry_after <= long_deadline / 3);
}

// Guards against running abandoned requests: the caller closes its connection while its request
// is queued at another node.
TEST_CASE_FIXTURE(mesh_path_fixture, "abandoned request: does not run if queued at another node")
{
    w.upstreams["p1"].run_time = milliseconds(300);
    for (int i = 0; i < 30; ++i) {
        w.send_request("a1", "r" + std::to_string(i), "/photo/x", long_deadline);
    }
    w.run_for(milliseconds(50));
    for (int i = 0; i < 30; ++i) {
        w.close_caller("a1", "r" + std::to_string(i));
    }
    w.run_for(seconds(3));
    CHECK(w.runs.size() < 15);
}

// Guards against reporting a request whose time ended in a queue as one that may have run. Its
// caller must not send an order again after that, although it never ran.
TEST_CASE_FIXTURE(mesh_path_fixture, "queued request: refused as not run when its time is over")
{
    w.upstreams["p1"].run_time = seconds(4);
    for (int i = 0; i < 10; ++i) {
        w.send_request("a1", "busy" + std::to_string(i), "/photo/x", long_deadline);
    }
    w.run_for(milliseconds(50));
    for (const char *entry : {"a1", "b1", "p1"}) {
        std::string id = std::string("queued-at-") + entry;
        const test::caller_result &result = run_request(entry, id, "/photo/x", milliseconds(300));
        CHECK(result.status == 503);
        CHECK(result.refusal_reason == reason::too_late);
        CHECK(result.retry_after);
        CHECK(result.answered_at - result.sent_at <= milliseconds(300));
        CHECK(w.runs_of(id) == 0);
    }
}

TEST_CASE_FIXTURE(mesh_path_fixture, "policy: an older version is rejected")
{
    bool taken = true;
    w.run_node("a1", [&](mesh::mesh_turn &t) {
        taken = apply_policy(t, test::policy_of(2, {}), "text", mesh::policy_source::peer);
    });
    CHECK_FALSE(taken);
    CHECK(w.nodes.at("a1").policy->version == 3);
}

// Guards against requests in flight that keep the old timeout after the operator has shortened
// the timeout of their route.
TEST_CASE_FIXTURE(mesh_path_fixture, "shortened timeout: applies to requests in flight")
{
    w.upstreams["p1"].run_time = seconds(4);
    w.send_request("a1", "r1", "/photo/x", long_deadline);
    w.run_for(milliseconds(100));
    traffic_policy shorter = w.policy;
    shorter.version = 4;
    shorter.routes[2].timeout = seconds(1);
    w.run_node("a1", [&](mesh::mesh_turn &t) {
        apply_policy(t, shorter, "text", mesh::policy_source::store);
    });
    w.run_for(milliseconds(1000));
    CHECK(w.results.at("r1").status == 504);
}

// Guards against lost calls and an idle upstream when only the node is stopped. The gate stays
// open for two seconds, so that the upstream is not idle; calls refused later run elsewhere.
TEST_CASE_FIXTURE(mesh_path_fixture, "stopping node: calls to its upstream are sent elsewhere")
{
    w.run_node("a1", [](mesh::mesh_turn &t) { stop_node(t); });
    CHECK(accepts_runs(w.nodes.at("a1"), w.now));
    w.run_for(milliseconds(2200));
    CHECK_FALSE(accepts_runs(w.nodes.at("a1"), w.now));
    for (int i = 0; i < 20; ++i) {
        CHECK(run_request("p1", "r" + std::to_string(i), "/order/x", milliseconds(200)).status ==
              200);
    }
    CHECK_FALSE(is_ready(w.nodes.at("a1"), w.now));
}

// Guards against requests cut off at the end of the process. Callers keep sending to a stopping
// node if too few others in its zone are ready; a request in its last second must be refused
// without being run.
TEST_CASE_FIXTURE(mesh_path_fixture, "stopping node: late requests are refused")
{
    w.run_node("p1", [](mesh::mesh_turn &t) { stop_node(t); });
    CHECK(run_request("p1", "r1", "/read/x", milliseconds(500)).status == 200);
    w.run_for(seconds(2));
    const test::caller_result &result = run_request("p1", "r2", "/read/x", milliseconds(500));
    CHECK(result.status == 503);
    CHECK(result.refusal_reason == reason::stopping);
    CHECK(w.runs_of("r2") == 0);
}

namespace {

/// Sends a steady load across zones while the link to zone b drops all frames without a
/// reset, so that its connection still appears open.
struct silent_link_fixture
{
    test::mesh_simulation w{11};

    silent_link_fixture()
    {
        w.policy = test::policy_of(
            1, {test::route_of("read", "/read/", "books", idempotency::idempotent)});
        w.add_node("a1", "a", test::upstream_model{"other"});
        w.add_node("b1", "b", test::upstream_model{"books", 1000});
        w.add_node("c1", "c", test::upstream_model{"books", 1000});
        w.run_for(seconds(1));
    }

    /// \returns the number of calls sent over the dropping link
    std::size_t run_cut(bool probes)
    {
        w.nodes.at("a1").features.ask_quiet_nodes = probes;
        w.partitions = {{"a1", "b1"}, {"b1", "a1"}};
        for (int i = 0; i < 300; ++i) {
            w.schedule_at(w.now + milliseconds(5 * i), [this, i] {
                w.send_request("a1", "r" + std::to_string(i), "/read/x", long_deadline);
            });
        }
        w.run_for(milliseconds(1550));
        return w.nodes.at("a1").nodes.nodes.at("b1").in_flight;
    }

    /// \returns the number of lines that a node has written about its peer
    auto count_lines(const std::string &event, const std::string &peer) const
    {
        return std::count_if(w.log_lines.begin(), w.log_lines.end(),
                             [&](const mesh::write_line &it) {
                                 return it.event == event && it.fields.front().value == peer;
                             });
    }
};

}  // namespace

// Guards against sending calls to a zone that is cut off without a reset. Until its connections
// time out after 1.6 s, half of all calls would go there and end with an unknown outcome. The
// node probes unresponsive peers and sends them no calls until they respond.
TEST_CASE_FIXTURE(silent_link_fixture, "unresponsive node: gets no calls after a failed probe")
{
    std::size_t into_cut = run_cut(true);
    MESSAGE("calls sent into the cut: " << into_cut);
    CHECK(into_cut < 55);
}

TEST_CASE_FIXTURE(silent_link_fixture, "unresponsive node: gets half of all calls without probes")
{
    CHECK(run_cut(false) > 120);
}

TEST_CASE_FIXTURE(silent_link_fixture, "unresponsive node: gets calls again once it responds")
{
    run_cut(true);
    CHECK(count_lines("node-silent", "b1") == 1);
    CHECK(count_lines("node-heard", "b1") == 0);
    w.partitions.clear();
    w.run_for(milliseconds(200));
    CHECK(count_lines("node-silent", "b1") == 1);
    CHECK(count_lines("node-heard", "b1") == 1);
    std::size_t before = w.runs.size();
    for (int i = 0; i < 100; ++i) {
        w.send_request("a1", "s" + std::to_string(i), "/read/x", long_deadline);
        w.run_for(milliseconds(20));
    }
    auto at_b = std::count_if(w.runs.begin() + static_cast<std::ptrdiff_t>(before), w.runs.end(),
                              [](const test::upstream_run &it) { return it.node == "b1"; });
    CHECK(at_b > 20);
}
