#include <doctest/doctest.h>

#include "test/support/mesh_world.hpp"

using namespace gullstall;
using mesh_wire::upstream_state;

namespace {

constexpr duration plenty = seconds(5);

/// Two upstreams of one service, and one of another whose runs call it.
struct mesh_stop_fixture
{
    test::mesh_world w{24};

    mesh_stop_fixture()
    {
        w.policy = test::policy_of(
            3, {test::route_of("order", "/order/", "shop", repeatability::non_idempotent),
                test::route_of("title", "/title/", "books", repeatability::idempotent),
                test::route_of("index", "/index/", "books", repeatability::idempotent)});
        test::upstream_model books{"books"};
        books.calls["/index/x"] = test::inner_calls{"h", "/unknown/x", 1};
        test::upstream_model shop{"shop"};
        shop.calls["/order/x"] = test::inner_calls{"h", "/title/x", 1};
        w.add("a1", "a", books);
        w.add("b1", "b", books);
        w.add("s1", "a", shop);
        w.run_for(seconds(1));
    }

    void switch_off(bool mesh::mesh_switches::*mechanism)
    {
        for (auto &[name, n] : w.nodes) {
            n.on.*mechanism = false;
        }
    }

    /// Orders one request each 20 ms for a while.
    void order_for(duration d)
    {
        for (duration spent{}; spent < d; spent += milliseconds(20)) {
            w.request("s1", "r" + std::to_string(++orders), "/order/x", plenty);
            w.run_for(milliseconds(20));
        }
    }

    int count_failed() const
    {
        return static_cast<int>(
            std::count_if(w.results.begin(), w.results.end(),
                          [](const auto &entry) { return entry.second.status != 200; }));
    }

    int count_serving() const
    {
        return (mesh::serves(w.nodes.at("a1"), w.now) ? 1 : 0) +
               (mesh::serves(w.nodes.at("b1"), w.now) ? 1 : 0);
    }

    void stop_both()
    {
        for (const char *name : {"a1", "b1"}) {
            w.step(name, [](mesh::mesh_turn &t) { stop_node(t); });
        }
    }

    /// Starts the process of the node whose gate is closed again.
    void restart_closed()
    {
        for (auto [name, zone] : {std::pair("a1", "a"), std::pair("b1", "b")}) {
            if (w.nodes.at(name).gate_closed) {
                w.start(name, zone);
                w.beat(name);
                return;
            }
        }
    }

    int orders = 0;
};

}  // namespace

// Guards against orders that fail because all nodes of a service that their runs call close their
// gates in the same moment of a planned stop.
TEST_CASE_FIXTURE(mesh_stop_fixture, "all nodes of a service told to stop, one after the other go")
{
    stop_both();
    order_for(milliseconds(2500));
    CHECK(count_serving() == 1);
    restart_closed();
    order_for(milliseconds(500));
    CHECK(count_serving() == 1);
    restart_closed();
    order_for(milliseconds(500));
    CHECK(count_serving() == 2);
    w.run_for(seconds(3));
    CHECK(count_failed() == 0);
}

// Guards against a stop that is held up by other nodes that never come back: the process would be
// killed with runs in flight.
TEST_CASE_FIXTURE(mesh_stop_fixture, "node told to stop, no other comes back, closes in time")
{
    stop_both();
    w.run_for(milliseconds(4600));
    CHECK(count_serving() == 0);
}

// Guards against a node that holds its gate open for nobody: its upstream leaves as well.
TEST_CASE_FIXTURE(mesh_stop_fixture,
                  "node told to stop, upstream has left, closes after the notice")
{
    w.beat("a1", upstream_state::draining);
    stop_both();
    w.run_for(milliseconds(2200));
    CHECK(w.nodes.at("a1").gate_closed);
}

// Guards against an order that is lost because a call of its run finds no upstream for the moment
// that a replacement takes.
TEST_CASE_FIXTURE(mesh_stop_fixture, "call of a run, upstreams away for a moment, waits for one")
{
    w.request("s1", "r1", "/order/x", plenty);
    w.beat("a1", upstream_state::draining);
    w.beat("b1", upstream_state::draining);
    w.run_for(milliseconds(800));
    CHECK(w.results.at("r1").status == 0);
    w.beat("a1", upstream_state::ready);
    w.run_for(milliseconds(200));
    CHECK(w.results.at("r1").status == 200);
}

// Guards against runs that hold their slots until their deadlines for a service that is gone.
TEST_CASE_FIXTURE(mesh_stop_fixture, "call of a run, no upstream comes back, fails before its time")
{
    w.request("s1", "r1", "/order/x", plenty);
    w.beat("a1", upstream_state::draining);
    w.beat("b1", upstream_state::draining);
    w.run_for(milliseconds(2600));
    CHECK(w.results.at("r1").status == 500);
}

// Guards against a caller's request that is held back: it has not run, and its caller can come
// again.
TEST_CASE_FIXTURE(mesh_stop_fixture, "request of a caller, no upstream, refused at once")
{
    w.beat("a1", upstream_state::draining);
    w.beat("b1", upstream_state::draining);
    w.run_for(milliseconds(10));
    w.request("s1", "r1", "/title/x", plenty);
    w.run_for(milliseconds(10));
    CHECK(w.results.at("r1").status == 503);
}

// Guards against an upstream's error that is replaced by one of the node's own, since no other
// upstream is left to try.
TEST_CASE_FIXTURE(mesh_stop_fixture, "error of an upstream, no other is left, passed on")
{
    w.beat("b1", upstream_state::draining);
    w.run_for(milliseconds(10));
    w.request("s1", "r1", "/index/x", plenty);
    w.run_for(milliseconds(500));
    CHECK(w.results.at("r1").status == 500);
}

// Shows that the two tests above fail without what they test.
TEST_CASE_FIXTURE(mesh_stop_fixture, "stops in any order, calls that don't wait, lose orders")
{
    switch_off(&mesh::mesh_switches::ordered_stops);
    switch_off(&mesh::mesh_switches::waiting_calls);
    stop_both();
    order_for(milliseconds(2500));
    CHECK(count_serving() == 0);
    CHECK(count_failed() > 0);
}
