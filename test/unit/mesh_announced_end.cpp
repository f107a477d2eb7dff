#include <doctest/doctest.h>

#include "test/support/mesh_world.hpp"

using namespace gullstall;
using mesh::heartbeat_verdict;
using mesh_wire::upstream_state;

namespace {

/// A node beside an upstream, and another node whose callers need it.
struct announced_end_fixture
{
    test::mesh_simulation w{31};
    mesh::upstream_heartbeat early;  ///< sent before the end was announced, and still under way

    announced_end_fixture()
    {
        w.policy = test::policy_of(
            3, {test::route_of("title", "/title/", "books", idempotency::idempotent)});
        w.add_node("a1", "a", test::upstream_model{"books"});
        w.add_node("s1", "a", test::upstream_model{"shop"});
        w.run_for(seconds(1));
        early = *w.nodes.at("a1").upstream.latest;
        ++early.sequence;
        w.send_heartbeat("a1");
    }

    heartbeat_verdict deliver(const mesh::upstream_heartbeat &it)
    {
        heartbeat_verdict out{};
        w.run_node("a1", [&](mesh::mesh_turn &t) { out = handle_heartbeat(t, it); });
        return out;
    }

    void leave()
    {
        w.run_node("a1", [&](mesh::mesh_turn &t) { handle_leave(t, early.upstream, 5); });
        w.run_for(milliseconds(50));
    }

    void restart()
    {
        w.start_node("a1", "a");
    }

    /// \returns the number of requests that reach the upstream
    std::size_t serve_requests()
    {
        std::size_t before = w.runs.size();
        for (int i = 0; i < 10; ++i) {
            w.send_request("s1", "r" + std::to_string(++sent), "/title/x", seconds(1));
            w.run_for(milliseconds(50));
        }
        return w.runs.size() - before;
    }

    int sent = 0;
};

}  // namespace

// Guards against requests to an upstream that has left, since a heartbeat from before arrives at
// the restarted node.
TEST_CASE_FIXTURE(announced_end_fixture,
                  "node restarted after a leave, earlier heartbeat, is refused")
{
    leave();
    restart();
    w.run_for(milliseconds(100));
    CHECK(deliver(early) == heartbeat_verdict::departed);
    CHECK(serve_requests() == 0);
}

TEST_CASE_FIXTURE(announced_end_fixture,
                  "node restarted while its upstream drains, earlier heartbeat, is outdated")
{
    w.send_heartbeat("a1", upstream_state::draining);
    w.run_for(milliseconds(50));
    restart();
    w.run_for(milliseconds(100));
    CHECK(deliver(early) == heartbeat_verdict::outdated);
    CHECK(serve_requests() == 0);
    CHECK(w.send_heartbeat("a1", upstream_state::draining) == heartbeat_verdict::accepted);
}

// Guards against an end that is acknowledged and then forgotten with the process that has
// acknowledged it, while the store is away.
TEST_CASE_FIXTURE(announced_end_fixture,
                  "store away, node restarted after an acknowledged leave, starts no run")
{
    w.store_away_until = w.now + milliseconds(4500);
    leave();
    REQUIRE(w.acknowledged_ends == std::vector<std::string>{early.upstream});
    w.run_for(milliseconds(800));
    restart();
    w.run_for(seconds(1));
    deliver(early);
    CHECK(serve_requests() == 0);
    w.run_for(seconds(4));
    CHECK(serve_requests() == 0);
}

// The same of an end that a heartbeat announces.
TEST_CASE_FIXTURE(announced_end_fixture,
                  "store away, node restarted after an acknowledged draining, starts no run")
{
    w.store_away_until = w.now + milliseconds(4500);
    w.send_heartbeat("a1", upstream_state::draining);
    w.run_for(milliseconds(50));
    REQUIRE(w.acknowledged_ends.size() == 1);
    restart();
    w.run_for(seconds(1));
    deliver(early);
    CHECK(serve_requests() == 0);
}

// Guards against an end that is acknowledged although nobody but the process knows of it.
TEST_CASE_FIXTURE(announced_end_fixture,
                  "store away and no peers, leave, is acknowledged when the store is back")
{
    w.store_away_until = w.now + seconds(2);
    w.partitions = {{"a1", "s1"}, {"s1", "a1"}};
    leave();
    w.run_for(milliseconds(1500));
    CHECK(w.acknowledged_ends.empty());
    w.run_for(seconds(1));
    CHECK(w.acknowledged_ends == std::vector<std::string>{early.upstream});
}

// Guards against a leave that is taken for the one of an earlier incarnation under the same id.
TEST_CASE_FIXTURE(announced_end_fixture, "next incarnation under the same id, leaves again")
{
    leave();
    mesh::upstream_heartbeat next = early;
    next.started_ms += 1000;
    deliver(next);
    REQUIRE(w.nodes.at("a1").upstream.latest);
    leave();
    CHECK_FALSE(w.nodes.at("a1").upstream.latest);
    CHECK(w.acknowledged_ends.size() == 2);
}

// Guards against calls that are taken before the store has answered.
TEST_CASE_FIXTURE(announced_end_fixture,
                  "earlier heartbeat before the store's answer, starts no run")
{
    leave();
    w.store_delay = milliseconds(150);
    restart();
    CHECK(deliver(early) == heartbeat_verdict::accepted);
    CHECK(serve_requests() == 0);
    CHECK_FALSE(w.nodes.at("a1").upstream.latest);
}

// Guards against an upstream that comes back under its id and gets nothing.
TEST_CASE_FIXTURE(announced_end_fixture, "next incarnation under the same id, is accepted")
{
    leave();
    restart();
    w.run_for(milliseconds(100));
    mesh::upstream_heartbeat next = early;
    next.started_ms += 1000;
    next.sequence = 1;
    CHECK(deliver(next) == heartbeat_verdict::accepted);
    w.run_for(milliseconds(50));
    CHECK(serve_requests() == 10);
}

// Guards against a node that takes no calls while the store is away.
TEST_CASE_FIXTURE(announced_end_fixture, "store away at the start, calls are taken soon")
{
    w.store_away_until = w.now + seconds(20);
    restart();
    w.run_for(milliseconds(300));
    w.send_heartbeat("a1");
    w.run_for(milliseconds(1200));
    CHECK(serve_requests() == 10);
}
