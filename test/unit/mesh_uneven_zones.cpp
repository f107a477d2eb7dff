#include <doctest/doctest.h>

#include "test/support/mesh_load.hpp"

using namespace gullstall;

namespace {

/// Three zones whose callers ask for a different amount of one service, which has one or two
/// upstreams of unequal speed in each. A request makes four sequential calls to it.
struct uneven_zones_fixture
{
    static constexpr double calls_per_s = 4 * 22 / 0.055;  // of all four upstreams

    test::mesh_simulation w{23};
    std::map<std::string, test::random_load> loads;

    uneven_zones_fixture()
    {
        traffic_route view = test::route_of("view", "/view/", "desk", idempotency::idempotent, 2);
        view.latency_objective = milliseconds(1500);
        traffic_route call =
            test::route_of("call", "/call/", "coverage", idempotency::idempotent, 1);
        call.latency_objective = milliseconds(300);
        call.timeout = milliseconds(700);
        w.policy = test::policy_of(1, {view, call});
        test::upstream_model desk{"desk", 400, milliseconds(100)};
        desk.calls["/view/x"] = {"h", "/call/x", 4};
        for (const char *zone : {"a", "b", "c"}) {
            loads[zone].sent = 1000000 * static_cast<int>(loads.size());
            for (const char *n : {"1", "2"}) {
                std::string name = std::string("desk-") + zone + n;
                w.add_node(name, zone, desk);
                loads[zone].entry_nodes.push_back(name);
            }
        }
        add_coverage("cov-a1", "a", 1.5);
        add_coverage("cov-a2", "a", 1);
        add_coverage("cov-b1", "b", 0.5);
        add_coverage("cov-c1", "c", 1);
        w.run_for(seconds(1));
    }

    void add_coverage(const std::string &name, const std::string &zone, double speed)
    {
        auto us = static_cast<std::int64_t>(55000 / speed);
        w.add_node(name, zone, test::upstream_model{"coverage", 24, duration(us)});
    }

    /// Sends \a times what the upstreams of the service can run together.
    void send_load(duration length, double times)
    {
        double per_s = times * calls_per_s / 4;
        for (auto [zone, share] :
             {std::pair("a", 0.3), std::pair("b", 0.405), std::pair("c", 0.295)}) {
            schedule_random_requests(w, loads[zone], {"view", share * per_s, seconds(5)}, length);
        }
        w.run_for(length);
    }

    /// \returns the share of the requests sent since \a since that ended with \a status
    double share_of_status(std::uint16_t status, time_point since) const
    {
        double all = 0;
        double with_status = 0;
        for (const auto &[id, it] : w.results) {
            if (it.sent_at >= since) {
                ++all;
                with_status += it.status == status ? 1 : 0;
            }
        }
        return with_status / all;
    }

    /// \returns the calls to the service in the last \a length, relative to what its upstreams
    /// can run
    double used_capacity(duration length) const
    {
        auto n = std::count_if(w.runs.begin(), w.runs.end(), [&](const test::upstream_run &it) {
            return it.path == "/call/x" && it.at >= w.now - length;
        });
        return static_cast<double>(n) / to_seconds(length) / calls_per_s;
    }
};

}  // namespace

// Guards against requests that are admitted beyond the capacity of a service and fail at their
// second or third call: failed chains make fewer calls, so that the demand seemed lower than
// it was, and the calls that waited did not lower the share of the most urgent class.
TEST_CASE_FIXTURE(uneven_zones_fixture, "one class beyond the capacity, admitted, is not failed")
{
    bool drains = true;
    SUBCASE("urgent calls that wait count") {}
    SUBCASE("urgent calls that wait do not count")
    {
        drains = false;
    }
    for (auto &[name, node] : w.nodes) {
        node.features.urgent_drain = drains;
    }
    send_load(seconds(4), 0.6);
    send_load(seconds(4), 1.5);
    time_point steady_since = w.now;
    send_load(seconds(6), 1.5);
    double used = used_capacity(seconds(4));
    w.run_for(seconds(5));
    double failed = 1 - share_of_status(200, steady_since) - share_of_status(503, steady_since);
    MESSAGE("drains ", drains, " failed ", failed, " served ", share_of_status(200, steady_since),
            " used ", used);
    if (drains) {
        CHECK(failed < 0.01);
        CHECK(used > 0.9);
    } else {
        CHECK(failed > 0.1);
    }
}
