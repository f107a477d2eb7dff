#include <doctest/doctest.h>

#include "gullstall/src/mesh/return_time.hpp"
#include "test/support/mesh_world.hpp"

using namespace gullstall;

TEST_CASE("return, too much load, is soon, spread and within the caller's time")
{
    random_source random(7);
    mesh::refusal it{seconds(5), duration{}};
    duration least = seconds(5);
    duration most{};
    for (int i = 0; i < 1000; ++i) {
        duration drawn = draw_retry_delay(it, random);
        least = std::min(least, drawn);
        most = std::max(most, drawn);
    }
    CHECK(least >= milliseconds(100));
    CHECK(most <= milliseconds(500));
    CHECK(most - least > milliseconds(300));
    CHECK(mesh::max_retry_delay({milliseconds(-5), duration{}}) == duration{});
}

TEST_CASE("return, upstreams not heard yet, is when they will be, if the caller has the time")
{
    CHECK(mesh::max_retry_delay({seconds(5), milliseconds(1200)}) == milliseconds(1200));
    CHECK(mesh::max_retry_delay({seconds(1), milliseconds(1200)}) == milliseconds(300));
}

namespace {

/// Lists make eight calls to a deep service. All nodes lose power and restart; the deep
/// upstream announces itself a second after the others.
struct power_back_fixture
{
    test::mesh_simulation w{91};

    power_back_fixture()
    {
        w.policy = test::policy_of(
            1, {test::route_of("list", "/list/", "front", idempotency::idempotent, 2),
                test::route_of("call", "/call/", "deep", idempotency::idempotent, 1)});
        test::upstream_model front{"front", 100, milliseconds(30)};
        front.calls["/list/x"] = {"h", "/call/x", 8};
        w.add_node("f1", "a", front);
        w.add_node("f2", "a", front);
        w.add_node("d1", "a", test::upstream_model{"deep", 20, milliseconds(10)});
        w.run_for(seconds(1));
    }

    void ask_lists(int from, int to)
    {
        for (int i = from; i < to; ++i) {
            w.schedule_at(w.now + milliseconds(10 * (i - from)), [this, i] {
                w.send_request(i % 2 == 0 ? "f1" : "f2", "list-" + std::to_string(i), "/list/x",
                               seconds(5));
            });
        }
    }
};

}  // namespace

// Guards against failed requests after a power failure, when the deep service announces
// itself a second after the others. Lists that are admitted before fail with 500 at their
// first call, and their callers must not retry. With the calls per run restored from the
// store, they are refused at once, with the time at which the deep service is expected.
TEST_CASE_FIXTURE(power_back_fixture,
                  "power back, deep service missing, lists are refused, not failed")
{
    bool kept = true;
    SUBCASE("chains kept in the store") {}
    SUBCASE("chains to be learned anew")
    {
        kept = false;
    }
    ask_lists(0, 100);
    w.run_for(seconds(3));
    REQUIRE(w.stored_calls.count("list") == 1);
    CHECK(w.stored_calls["list"].at("call") > 7);
    for (const char *name : {"f1", "f2", "d1"}) {
        w.start_node(name, "a");
        if (kept) {
            w.run_node(name, [&](mesh::mesh_turn &t) {
                restore_chain(t, "list", w.stored_calls["list"]);
            });
        }
    }
    w.send_heartbeat("f1");
    w.send_heartbeat("f2");
    w.run_for(milliseconds(200));
    ask_lists(100, 150);
    w.run_for(seconds(2));
    int refused = 0;
    for (int i = 100; i < 150; ++i) {
        const test::caller_result &it = w.results.at("list-" + std::to_string(i));
        refused += it.status == 503 ? 1 : 0;
        if (it.status == 503 && kept) {
            REQUIRE(it.retry_after);
            CHECK(*it.retry_after <= milliseconds(1500));
        }
    }
    MESSAGE("kept ", kept, " refused ", refused);
    CHECK((refused == 50) == kept);
    // Runs that failed at their first call must not lower the learned calls per run.
    CHECK(w.stored_calls["list"].at("call") > 7);
}
