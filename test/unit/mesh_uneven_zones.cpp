#include <doctest/doctest.h>

#include "test/support/mesh_load.hpp"

using namespace gullstall;

namespace {

constexpr duration view_objective = milliseconds(1500);
constexpr duration check_objective = milliseconds(300);

/// Three zones whose callers ask for a different amount of one service, which has one or two
/// upstreams of unequal speed in each. Checks go to it directly and have a short objective;
/// views make four sequential calls to it and are less urgent.
struct uneven_zones_fixture
{
    static constexpr double calls_per_s = 4 * 22 / 0.055;  // of all four upstreams

    test::mesh_simulation w{23};
    std::map<std::string, test::random_load> loads;
    std::vector<traffic_route> routes;

    uneven_zones_fixture()
    {
        traffic_route view = test::route_of("view", "/view/", "desk", idempotency::idempotent, 2);
        view.latency_objective = view_objective;
        traffic_route call =
            test::route_of("call", "/call/", "coverage", idempotency::idempotent, 1);
        call.latency_objective = milliseconds(300);
        call.timeout = milliseconds(700);
        traffic_route check =
            test::route_of("check", "/check/", "coverage", idempotency::idempotent, 1);
        check.latency_objective = check_objective;
        routes = {view, call, check};
        w.policy = test::policy_of(1, routes);
        test::upstream_model desk{"desk", 400, milliseconds(100)};
        desk.calls["/view/x"] = {"h", "/call/x", 4};
        for (const char *zone : {"a", "b", "c"}) {
            // Request ids differ between zones, see zone_of_id.
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
    /// \param checks share of that which is asked by checks
    void send_load(duration length, double times, double checks = 0)
    {
        double views_per_s = times * (1 - checks) * calls_per_s / 4;
        double checks_per_s = times * checks * calls_per_s;
        for (auto [zone, share] :
             {std::pair("a", 0.3), std::pair("b", 0.405), std::pair("c", 0.295)}) {
            test::random_load &load = loads[zone];
            schedule_random_requests(w, load, {"view", share * views_per_s, seconds(5)}, length);
            schedule_random_requests(w, load, {"check", share * checks_per_s, seconds(1)}, length);
        }
        w.run_for(length);
    }

    /// \returns the shares of the requests of a kind sent since \a since that were answered
    /// within \a objective, by zone
    std::map<std::string, double> in_time(const std::string &kind, duration objective,
                                          time_point since) const
    {
        std::map<std::string, double> all;
        std::map<std::string, double> good;
        for (const auto &[id, it] : w.results) {
            if (id.compare(0, kind.size() + 1, kind + "-") == 0 && it.sent_at >= since) {
                std::string zone = zone_of_id(id);
                ++all[zone];
                good[zone] += it.status == 200 && it.answered_at - it.sent_at <= objective ? 1 : 0;
            }
        }
        for (auto &[zone, n] : good) {
            n /= all[zone];
        }
        return good;
    }

    static std::string zone_of_id(const std::string &id)
    {
        return std::string(1, static_cast<char>('a' + id[id.find('-') + 1] - '1'));
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
            return it.path != "/view/x" && it.at >= w.now - length;
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
    traffic_policy one_class = test::policy_of(2, {routes[0], routes[1]});
    for (auto &[name, node] : w.nodes) {
        node.features.urgent_drain = drains;
        w.run_node(name, [&](mesh::mesh_turn &t) {
            apply_policy(t, one_class, "text", mesh::policy_source::store);
        });
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

namespace {

double lowest(const std::map<std::string, double> &it)
{
    auto less = [](const auto &a, const auto &b) { return a.second < b.second; };
    return std::min_element(it.begin(), it.end(), less)->second;
}

double highest(const std::map<std::string, double> &it)
{
    auto less = [](const auto &a, const auto &b) { return a.second < b.second; };
    return std::max_element(it.begin(), it.end(), less)->second;
}

}  // namespace

// Guards against zones that are served worse because their own upstreams are slow or few.
TEST_CASE_FIXTURE(uneven_zones_fixture, "usual load, all zones, are served in time")
{
    send_load(seconds(3), 0.9, 0.1);
    time_point since = w.now;
    send_load(seconds(6), 0.9, 0.1);
    w.run_for(seconds(5));
    CHECK(lowest(in_time("view", view_objective, since)) > 0.99);
    CHECK(lowest(in_time("check", check_objective, since)) > 0.99);
}

// Guards against a peak that one zone pays for, and against checks that wait behind the calls
// of views.
TEST_CASE_FIXTURE(uneven_zones_fixture, "peak beyond the capacity, zones, are served alike")
{
    send_load(seconds(6), 1.3, 0.1);
    time_point since = w.now;
    send_load(seconds(20), 1.3, 0.1);
    double used = used_capacity(seconds(10));
    w.run_for(seconds(5));
    auto views = in_time("view", view_objective, since);
    MESSAGE("used ", used, " views a ", views["a"], " b ", views["b"], " c ", views["c"]);
    CHECK(highest(views) - lowest(views) < 0.05);
    CHECK(lowest(in_time("check", check_objective, since)) > 0.97);
    CHECK(used > 0.95);
}
