#include <doctest/doctest.h>

#include "test/support/mesh_load.hpp"

using namespace gullstall;

namespace {

/// Orders that call a leaf service four times each. One of six leaf upstreams begins to
/// answer its calls with errors at once, while its heartbeats go on.
struct failing_leaf_fixture
{
    test::mesh_simulation w{11};
    test::random_load load{{"f1", "f2"}};

    failing_leaf_fixture()
    {
        w.policy = test::policy_of(
            1, {test::route_of("order", "/order/", "front", idempotency::non_idempotent, 0),
                test::route_of("leaf-call", "/leaf/", "leaf", idempotency::idempotent, 1)});
        test::upstream_model front{"front", 200, milliseconds(20)};
        front.calls["/order/x"] = {"h", "/leaf/x", 4};
        for (const char *name : {"f1", "f2"}) {
            w.add_node(name, "a", front);
        }
        for (const char *name : {"l1", "l2", "l3", "l4", "l5", "l6"}) {
            w.add_node(name, "a", test::upstream_model{"leaf", 20, milliseconds(20)});
        }
        w.run_for(seconds(1));
    }

    void set(bool mesh::mesh_features::*flag, bool value)
    {
        for (auto &[name, node] : w.nodes) {
            node.features.*flag = value;
        }
    }

    void send_load(duration length)
    {
        schedule_random_requests(w, load, {"order", 200, seconds(2)}, length);
        w.run_for(length);
    }

    /// \returns the share of the orders sent since \a since that were answered
    double served(time_point since) const
    {
        double all = 0;
        double good = 0;
        for (const auto &[id, it] : w.results) {
            if (it.sent_at >= since) {
                ++all;
                good += it.status == 200 ? 1 : 0;
            }
        }
        return good / all;
    }

    /// \returns the share of the leaf calls since \a since that reached \a node
    double share_of(const std::string &node, time_point since) const
    {
        double all = 0;
        double here = 0;
        for (const test::upstream_run &it : w.runs) {
            if (it.at >= since && it.path == "/leaf/x") {
                ++all;
                here += it.node == node ? 1 : 0;
            }
        }
        return here / all;
    }
};

}  // namespace

// Guards against an upstream that attracts nearly all calls because its errors make it look
// fast: each order with one such call among its four fails.
TEST_CASE_FIXTURE(failing_leaf_fixture, "one upstream answers errors, orders, go elsewhere")
{
    send_load(seconds(2));
    w.upstreams["l1"].errors = 1;
    send_load(seconds(1));
    time_point since = w.now;
    send_load(seconds(5));
    w.run_for(seconds(2));
    CHECK(std::any_of(w.log_lines.begin(), w.log_lines.end(), [](const mesh::write_line &it) {
        return it.event == std::string("upstream-fails-runs");
    }));
    MESSAGE("served ", served(since), " share of l1 ", share_of("l1", since));
    CHECK(served(since) > 0.9);
    CHECK(share_of("l1", since) < 0.03);
}

// Guards against an upstream that stays idle after its errors have ended.
TEST_CASE_FIXTURE(failing_leaf_fixture,
                  "errors end, upstream, gets its share again in five seconds")
{
    send_load(seconds(1));
    w.upstreams["l1"].errors = 1;
    send_load(seconds(2));
    w.upstreams["l1"].errors = 0;
    send_load(seconds(5));
    time_point since = w.now;
    send_load(seconds(3));
    w.run_for(seconds(2));
    CHECK(share_of("l1", since) > 0.08);
    CHECK(served(since) > 0.99);
}

// Guards against front upstreams that are blamed for the errors of the services that they
// call: calls would be moved between sound upstreams.
TEST_CASE_FIXTURE(failing_leaf_fixture, "leaf answers errors, front upstreams, are not blamed")
{
    for (const char *name : {"l1", "l2", "l3", "l4", "l5", "l6"}) {
        w.upstreams[name].errors = 0.5;
    }
    send_load(seconds(3));
    CHECK(w.nodes.at("f1").gate.error_share < 0.01);
    CHECK(w.nodes.at("l1").gate.error_share > 0.2);
}
