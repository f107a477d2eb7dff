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
        for (const std::string &name : names) {
            if (!w.is_dead(name)) {
                w.send_heartbeat(name);
            }
        }
        w.run_for(seconds(1));
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
