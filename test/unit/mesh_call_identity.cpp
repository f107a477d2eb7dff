#include <doctest/doctest.h>

#include "test/support/mesh_world.hpp"

using namespace gullstall;

namespace {

constexpr duration run_time = seconds(1);

/// A node whose upstream is busy with a request of id "slow", to a route that needs no key.
struct call_identity_fixture
{
    test::mesh_simulation world{7};

    call_identity_fixture()
    {
        traffic_route open = test::route_of("open", "/open/", "s", idempotency::idempotent);
        open.is_public = true;
        traffic_route keyed = test::route_of("keyed", "/keyed/", "s", idempotency::idempotent);
        world.policy = test::policy_of(
            1, {open, keyed},
            {customer_declaration{customer{"alpha", std::nullopt, {}}, {"alpha-key"}}});
        world.add_node("n", "a", test::upstream_model{"s", 20, run_time});
        world.run_for(seconds(4));
        send("slow", "/open/x", "");
    }

    void send(const std::string &id, const std::string &path, const std::string &key)
    {
        world.api_key = key;
        world.send_request("n", id, path, seconds(3));
        world.run_for(milliseconds(50));
    }

    /// \returns the customer that the open request counts for
    std::string customer_of(const std::string &id)
    {
        for (const auto &[ref, call] : world.nodes.at("n").calls) {
            if (call.call.request_id == id) {
                return call.call.customer;
            }
        }
        return "";
    }

    /// \returns the call that the upstream runs under this id, null if it does not run
    const mesh_wire::call_message *running(const std::string &id)
    {
        for (const auto &[ref, run] : world.nodes.at("n").runs) {
            if (run.call.request_id == id && run.started_at) {
                return &run.call;
            }
        }
        return nullptr;
    }
};

}  // namespace

// Guards against a client whose id looks like that of a call and whose key nobody holds.
TEST_CASE_FIXTURE(call_identity_fixture, "id of a call, unknown key, is refused")
{
    REQUIRE(running("slow") != nullptr);
    send("slow-2", "/keyed/x", "stolen-key");
    CHECK(running("slow-2") == nullptr);
    CHECK(world.results["slow-2"].status == 401);
}

// Guards against a client whose id looks like that of a call and who sends no key.
TEST_CASE_FIXTURE(call_identity_fixture, "id of a call, no key where one is needed, is refused")
{
    REQUIRE(running("slow") != nullptr);
    send("slow-2", "/keyed/x", "");
    CHECK(running("slow-2") == nullptr);
    CHECK(world.results["slow-2"].status == 401);
}

// Guards against requests of a customer that count for none.
TEST_CASE_FIXTURE(call_identity_fixture, "id of a call, known key, counts for its customer")
{
    REQUIRE(running("slow") != nullptr);
    for (const char *path : {"/keyed/x", "/open/x"}) {
        std::string id = std::string("slow-") + path[1];
        send(id, path, "alpha-key");
        REQUIRE(running(id) != nullptr);
        CHECK(customer_of(id) == "alpha");
        CHECK_FALSE(running(id)->inner);
    }
}

TEST_CASE_FIXTURE(call_identity_fixture,
                  "call of a run to a route without keys, belongs to the run")
{
    REQUIRE(running("slow") != nullptr);
    send("slow-2", "/open/x", "");
    REQUIRE(running("slow-2") != nullptr);
    CHECK(running("slow-2")->inner);
}
