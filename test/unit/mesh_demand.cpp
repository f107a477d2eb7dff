#include <doctest/doctest.h>

#include "test/support/mesh_load.hpp"

using namespace gullstall;

namespace {

/// What callers got of one kind of request.
struct kind_share
{
    double served = 0;
    double refused = 0;
    double failed = 0;
};

/// Three services one behind the other. Half a second passes between the moment
/// a request is let in and the last of the deep calls that it causes. The deep
/// upstreams differ in speed and run 3,000 calls a second together.
struct long_chain_fixture
{
    test::mesh_world w{31};
    test::random_load load{{"f1", "f2", "f3", "f4", "m1", "d3"}};

    long_chain_fixture()
    {
        w.policy = test::policy_of(
            1, {test::route_of("order", "/order/", "front", repeatability::non_idempotent, 0),
                test::route_of("list", "/list/", "front", repeatability::idempotent, 2),
                test::route_of("lookup", "/lookup/", "deep", repeatability::idempotent, 1),
                test::route_of("mid-call", "/mid/", "mid", repeatability::idempotent, 1),
                test::route_of("deep-call", "/deep/", "deep", repeatability::idempotent, 1)});
        test::upstream_model front{"front", 200, milliseconds(150)};
        front.calls["/order/x"] = {"h", "/mid/x", 2};
        front.calls["/list/x"] = {"h", "/mid/x", 1};
        test::upstream_model mid{"mid", 200, milliseconds(15)};
        mid.calls["/mid/x"] = {"h", "/deep/x", 4};
        for (const char *name : {"f1", "f2", "f3", "f4"}) {
            w.add(name, "a", front);
        }
        for (const char *name : {"m1", "m2", "m3"}) {
            w.add(name, "a", mid);
        }
        for (const char *name : {"d1", "d2"}) {
            w.add(name, "a", test::upstream_model{"deep", 21, milliseconds(20)});
        }
        for (const char *name : {"d3", "d4"}) {
            w.add(name, "a", test::upstream_model{"deep", 21, milliseconds(40)});
        }
        w.run_for(seconds(1));
    }

    /// Asks for \a times what the deep service runs, at random moments.
    void play(duration length, double times)
    {
        ask_at_random(w, load, {"order", times * 100}, length);
        ask_at_random(w, load, {"list", times * 500}, length);
        ask_at_random(w, load, {"lookup", times * 200}, length);
        w.run_for(length);
    }

    kind_share outcome(const std::string &kind, time_point since) const
    {
        kind_share out;
        double all = 0;
        for (const auto &[id, it] : w.results) {
            if (id.compare(0, kind.size() + 1, kind + "-") == 0 && it.asked_at >= since) {
                ++all;
                out.served += it.status == 200 ? 1 : 0;
                out.refused += it.status == 503 ? 1 : 0;
            }
        }
        out.served /= all;
        out.refused /= all;
        out.failed = 1 - out.served - out.refused;
        return out;
    }

    /// \returns the share of the time that the deep slots were in use
    double deep_use(time_point since) const
    {
        double busy_ms = 0;
        for (const test::upstream_run &it : w.runs) {
            if (it.at >= since && it.node[0] == 'd') {
                busy_ms += it.node == "d1" || it.node == "d2" ? 20 : 40;
            }
        }
        return busy_ms / (4 * 21 * std::chrono::duration<double>(w.now - since).count() * 1000);
    }
};

}  // namespace

// Story: requests are let in by what the deep service can run, and the calls that
// they cause arrive there half a second later. A level that answers the queue of
// the moment is cut until the queue is gone and raised while too little is under
// way: the deep upstreams idle and overflow in turns, and callers are refused that
// could have been served. With such a level 76 in 100 slots were in use and 79 in
// 100 orders served; with the demand measured at the gates 88 and 99.
TEST_CASE_FIXTURE(long_chain_fixture, "long chain, half as much again as it runs, keeps it busy")
{
    play(seconds(4), 1.5);
    time_point settled = w.now;
    play(seconds(8), 1.5);
    double use = deep_use(settled);
    w.run_for(seconds(4));
    kind_share order = outcome("order", settled);
    kind_share list = outcome("list", settled);
    kind_share lookup = outcome("lookup", settled);
    MESSAGE("use ", use, " order ", order.served, " lookup ", lookup.served, " list ", list.served,
            " failed ", list.failed);
    CHECK(use > 0.86);  // the gate leaves 2 of 21 slots free
    CHECK(order.served > 0.97);
    CHECK(lookup.served > 0.97);
    CHECK(list.failed < 0.02);
}

// Story: a burst is over, and the load is one tenth below what the deep service
// runs. Callers go on being refused, as the level swings around.
TEST_CASE_FIXTURE(long_chain_fixture, "long chain, burst is over, serves all again")
{
    play(seconds(3), 0.9);
    play(seconds(3), 1.8);
    play(seconds(2), 0.9);
    time_point calm = w.now;
    play(seconds(8), 0.9);
    w.run_for(seconds(4));
    kind_share list = outcome("list", calm);
    MESSAGE("list served ", list.served, " refused ", list.refused);
    CHECK(outcome("order", calm).served > 0.99);
    CHECK(list.served > 0.97);
}
