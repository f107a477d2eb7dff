#include <doctest/doctest.h>

#include "test/support/crash_load.hpp"

using namespace gullstall;

namespace {

/// A small site at which one request crashes upstreams.
struct kept_suspects_fixture
{
    test::crash_world site{test::crash_experiment{}};
    test::mesh_simulation &w = site.world;

    kept_suspects_fixture()
    {
        w.crashing = {{"/read/crash"}};
    }

    void send(const std::string &path, int times)
    {
        for (int i = 0; i < times; ++i) {
            last_id = "r" + std::to_string(++sent);
            w.send_request("shop-0", last_id, path, seconds(2));
            w.run_for(milliseconds(500));
        }
    }

    void restart(const std::vector<std::string> &names)
    {
        for (const std::string &name : names) {
            w.start_node(name, w.nodes.at(name).settings.node.zone);
        }
        w.run_for(milliseconds(300));
        send_heartbeats(names);
        w.run_for(seconds(1));
    }

    void send_heartbeats(const std::vector<std::string> &names)
    {
        for (const std::string &name : names) {
            if (!w.is_dead(name)) {
                w.send_heartbeat(name);
            }
        }
    }

    std::vector<std::string> all_nodes() const
    {
        std::vector<std::string> out;
        for (const auto &[name, node] : w.nodes) {
            out.push_back(name);
        }
        return out;
    }

    std::string last_id;
    int sent = 0;
};

}  // namespace

// Guards against a crashing request that costs three upstreams more each time all nodes stop.
TEST_CASE_FIXTURE(kept_suspects_fixture, "request, quarantined before all nodes stop, is not run")
{
    send("/read/crash", 12);
    CHECK(w.crashes.size() == 3);
    for (int i = 0; i < 2; ++i) {
        restart(all_nodes());
        send("/read/crash", 12);
        CHECK(w.crashes.size() == 3);
    }
    CHECK(w.results.at(last_id).status == 503);
    CHECK(w.results.at(last_id).refusal_reason == mesh_wire::reason::crashes_upstreams);
    send("/read/other", 1);
    CHECK(w.results.at(last_id).status == 200);
}

// Guards against a crashing request that costs more upstreams where half of the nodes stop.
TEST_CASE_FIXTURE(kept_suspects_fixture,
                  "request, quarantined before half of the nodes stop, is not run")
{
    send("/read/crash", 12);
    restart({"books-0", "books-1", "shop-0", "shop-1", "shop-2", "shop-3", "shop-4"});
    send("/read/crash", 12);
    CHECK(w.crashes.size() == 3);
}

// Guards against runs of suspects before the store has told which those are.
TEST_CASE_FIXTURE(kept_suspects_fixture, "suspects, read later than the policy, hold runs back")
{
    send("/read/crash", 12);
    w.run_for(seconds(3));
    w.store_delay = milliseconds(800);
    for (const std::string &name : all_nodes()) {
        w.start_node(name, w.nodes.at(name).settings.node.zone);
    }
    send_heartbeats(all_nodes());
    w.run_for(milliseconds(10));
    send("/read/crash", 4);
    CHECK(w.crashes.size() == 3);
    CHECK(w.results.at(last_id).status == 503);
}

// Guards against nodes that serve nothing as long as the store is away.
TEST_CASE_FIXTURE(kept_suspects_fixture,
                  "suspects, store away after the start, don't hold runs back")
{
    send("/read/crash", 12);
    w.store_away_until = w.now + seconds(5);
    restart(all_nodes());
    send("/read/other", 1);
    CHECK(w.results.at(last_id).status == 200);
    w.run_for(seconds(5));
    send("/read/crash", 4);
    CHECK(w.crashes.size() == 3);
    CHECK(w.results.at(last_id).refusal_reason == mesh_wire::reason::crashes_upstreams);
}

// Guards against a write for each crash or each request.
TEST_CASE_FIXTURE(kept_suspects_fixture, "suspects, many upstreams crash, are written rarely")
{
    for (int i = 0; i < 3; ++i) {
        for (int k = 0; k < 20; ++k) {
            w.send_request("shop-0", "p" + std::to_string(++sent), "/read/poll", seconds(2));
        }
        w.run_for(milliseconds(20));
        for (int k = 0; k < 5; ++k) {
            w.crash_upstream("books-" + std::to_string(k));
        }
        w.run_for(seconds(6));
    }
    CHECK(w.crashes.size() == 15);
    CHECK(w.suspect_writes <= 15);
}

// Guards against a quarantine that outlives the mended request.
TEST_CASE_FIXTURE(kept_suspects_fixture, "request, mended after its quarantine, leaves the store")
{
    send("/read/crash", 12);
    CHECK(w.stored_suspects.size() == 1);
    w.crashing.clear();
    w.run_for(seconds(40));
    send("/read/crash", 1);
    w.run_for(seconds(1));
    CHECK(w.results.at(last_id).status == 200);
    w.run_for(seconds(3));
    CHECK(w.stored_suspects.empty());
    restart(all_nodes());
    send("/read/crash", 1);
    CHECK(w.results.at(last_id).status == 200);
}

// Guards against a suspect that comes back with a row that was read after it was cleared.
TEST_CASE_FIXTURE(kept_suspects_fixture,
                  "row, holds what the node has cleared, does not bring it back")
{
    std::vector<kept_suspect> row{{request_signature{7}, 3, 1, seconds(1)}};
    w.run_node("shop-0", [&](mesh::mesh_turn &t) { handle_stored_suspects(t, row); });
    w.run_node("shop-0",
               [&](mesh::mesh_turn &t) { record_completed_run(t, request_signature{7}); });
    row.push_back({request_signature{8}, 2, 0, seconds(1)});
    w.run_node("shop-0", [&](mesh::mesh_turn &t) { handle_stored_suspects(t, row); });
    const crash_suspects &known = w.nodes.at("shop-0").suspects;
    CHECK(known.by_signature.count(request_signature{7}) == 0);
    CHECK(known.by_signature.count(request_signature{8}) == 1);
}
