#include <doctest/doctest.h>

#include "test/support/mesh_world.hpp"

using namespace gullstall;

namespace {

struct chain_fixture
{
    mesh::call_chain chain;
    std::uint64_t last = 0;

    /// Simulates a run of route "list" that makes \a calls calls.
    void run(int calls, bool ended_well)
    {
        run_ref id{++last};
        std::string request = "r" + std::to_string(last);
        record_run_start(chain, id, request, "list");
        for (int i = 0; i < calls; ++i) {
            record_call(chain, request, "deep");
        }
        record_run_end(chain, id, request, ended_well);
    }
};

}  // namespace

// Guards against learning too few calls per run from failed runs. A run stops at its first
// failing call; with half of the calls shed, a list would appear to need two calls instead
// of eight, and lists that cannot succeed would be admitted.
TEST_CASE_FIXTURE(chain_fixture, "call chain: failed runs do not shorten the learned chain")
{
    for (int i = 0; i < 30; ++i) {
        run(8, true);
    }
    for (int i = 0; i < 500; ++i) {
        run(1, false);
    }
    auto calls = learned_calls(chain, "list");
    REQUIRE(calls);
    CHECK(calls->at("deep") == doctest::Approx(8));
}

TEST_CASE_FIXTURE(chain_fixture, "call chain: changed calls are learned within a few hundred runs")
{
    for (int i = 0; i < 400; ++i) {
        run(8, true);
    }
    for (int i = 0; i < 800; ++i) {
        run(2, true);
    }
    auto calls = learned_calls(chain, "list");
    REQUIRE(calls);
    CHECK(calls->at("deep") < 4);
}

// Guards against a plan whose work grows with whatever the store or another node tells.
TEST_CASE("call chain: calls and routes told beyond the bounds, the most frequent calls are kept")
{
    mesh::mesh_actions out;
    mesh::mesh_node node = mesh::make_mesh_node({}, 1, 1, time_point{});
    mesh::mesh_turn turn{node, time_point{}, out};
    mesh::calls_per_run many;
    constexpr int count = 3 * static_cast<int>(mesh::max_calls_per_route);
    for (int i = 0; i < count; ++i) {
        many["called-" + std::to_string(i)] = i;
    }
    for (std::size_t i = 0; i < mesh::max_known_chains + 100; ++i) {
        restore_chain(turn, "route-" + std::to_string(i), many);
    }
    CHECK(node.plan.calls.size() == mesh::max_known_chains);
    CHECK(node.stored_calls.size() == mesh::max_known_chains);
    const mesh::calls_per_run &kept = node.plan.calls.at("route-0");
    CHECK(kept.size() == mesh::max_calls_per_route);
    CHECK(kept.count("called-" + std::to_string(count - 1)) == 1);

    mesh_wire::chain_news_message news;
    for (const auto &[child, n] : many) {
        auto entry = std::make_unique<mesh_wire::route_calls_message>();
        entry->route = "route-1";
        entry->child = child;
        entry->calls_milli = static_cast<std::uint32_t>(n);
        news.entries.push_back(std::move(entry));
    }
    handle_chain_news(turn, news);
    CHECK(node.plan.calls.at("route-1").size() == mesh::max_calls_per_route);
}

// Guards against a plan that is made on the way of a request: it takes milliseconds.
TEST_CASE("call chain: calls changed, plan, is made on the tick and not by a request")
{
    test::mesh_simulation world{7};
    world.policy =
        test::policy_of(1, {test::route_of("read", "/read/", "reads", idempotency::idempotent)});
    world.add_node("n", "a", {"reads"});
    world.run_for(seconds(1));
    world.run_node("n", [](mesh::mesh_turn &t) {
        restore_chain(t, "read", {{"read", 0.5}});
        REQUIRE(t.n.plan_outdated);
        admit_request(t, "read", "read", 0);
        CHECK(t.n.plan_outdated);
    });
    world.run_for(2 * mesh::mesh_tick_interval);
    CHECK_FALSE(world.nodes.at("n").plan_outdated);
}
