#include <doctest/doctest.h>

#include <algorithm>

#include "test/support/limit_load.hpp"

using namespace gullstall;

namespace {

mesh::upstream_notice limited_to(double per_s)
{
    return mesh::upstream_notice{per_s, false, ""};
}

/// The size of a small site: five upstreams in three zones.
struct limited_site_fixture
{
    test::limit_experiment what;

    test::limit_outcome play() const
    {
        test::limit_world site(what);
        test::limit_outcome out = site.play();
        MESSAGE("worst window ", out.worst_window, ", used ", out.used, ", sends ",
                out.sends_per_request, ", slowest ", out.slowest_s);
        for (std::size_t i = 0; i < out.kinds.size(); ++i) {
            MESSAGE(test::limit_load_kinds[i], ": served ", out.kinds[i].served, " of ",
                    out.kinds[i].sent, ", refused ", out.kinds[i].refused);
        }
        return out;
    }
};

}  // namespace

// Guards against an upstream that gets more requests than it takes from all nodes together.
TEST_CASE_FIXTURE(limited_site_fixture, "upstream, names a limit, gets no more than that")
{
    what.changes = {{seconds(3), 3, limited_to(38.1)}, {seconds(3), 4, limited_to(16.3)}};
    for (std::uint64_t seed : {1, 2, 3, 4, 5}) {
        what.seed = seed;
        CHECK(play().worst_window <= 1);
    }
}

// Guards against callers refused, or sent twice, for the limit of one upstream while others have
// room.
TEST_CASE_FIXTURE(limited_site_fixture, "callers, others have room, are all served")
{
    what.changes = {{seconds(3), 3, limited_to(38.1)}, {seconds(3), 4, limited_to(16.3)}};
    test::limit_world site(what);
    test::limit_outcome out = site.play();
    for (const test::kind_outcome &kind : out.kinds) {
        CHECK(kind.served == kind.sent);
    }
    CHECK(out.used >= 0.95);
    CHECK(out.slowest_s < 0.5);
    for (const auto &[name, node] : site.world.nodes) {
        CHECK(node.counters.repeats == 0);
    }
}

// Guards against room that is named and not used, and against classes served out of order.
TEST_CASE_FIXTURE(limited_site_fixture, "limits of all upstreams, below the load, are used up")
{
    for (int i = 0; i < what.upstreams; ++i) {
        what.changes.push_back({seconds(2), i, limited_to(56)});
    }
    for (std::uint64_t seed : {1, 2, 3}) {
        what.seed = seed;
        test::limit_outcome out = play();
        CHECK(out.worst_window <= 1);
        CHECK(out.used >= 0.95);
        double share[3];
        for (std::size_t i = 0; i < out.kinds.size(); ++i) {
            share[i] =
                static_cast<double>(out.kinds[i].served) / static_cast<double>(out.kinds[i].sent);
        }
        CHECK(share[0] >= 0.98);
        CHECK(share[0] >= share[1]);
        CHECK(share[1] >= share[2]);
        CHECK(share[2] >= 0.1);
    }
}

// Guards against refused callers who are told to come back at once.
TEST_CASE_FIXTURE(limited_site_fixture, "caller, refused for a limit, is told when to come back")
{
    constexpr int per_s = 10;
    for (int i = 0; i < what.upstreams; ++i) {
        what.changes.push_back({seconds(2), i, limited_to(per_s)});
    }
    duration between_calls = seconds(1) / (per_s * what.upstreams);
    test::limit_world site(what);
    site.play();
    std::size_t refused = 0;
    for (const auto &[id, result] : site.world.results) {
        if (result.status == 503) {
            ++refused;
            REQUIRE(result.retry_after);
            CHECK(*result.retry_after >= between_calls);
        }
    }
    CHECK(refused > 0);
}

// Guards against an upstream that has named a limit of zero and is never tried again.
TEST_CASE_FIXTURE(limited_site_fixture, "upstream, limit of zero lifted, gets requests again")
{
    what.changes = {{seconds(3), 0, limited_to(0)}, {seconds(10), 0, mesh::upstream_notice{}}};
    test::limit_world site(what);
    time_point back = site.world.now + seconds(13);
    test::limit_outcome out = site.play();
    CHECK(out.worst_window <= 1);
    auto later = std::count_if(site.world.runs.begin(), site.world.runs.end(),
                               [&](const test::upstream_run &it) {
                                   return it.node == test::limit_world::book(0) && it.at > back;
                               });
    CHECK(later > 100);
}

// Guards against calls without any upstream while all of a service name a limit of zero.
TEST_CASE_FIXTURE(limited_site_fixture, "upstreams, all limits of zero lifted, serve again")
{
    for (int i = 0; i < what.upstreams; ++i) {
        what.changes.push_back({seconds(3), i, limited_to(0)});
        what.changes.push_back({seconds(8), i, mesh::upstream_notice{}});
    }
    test::limit_world site(what);
    time_point back = site.world.now + seconds(12);
    CHECK(site.play().worst_window <= 1);
    std::size_t sent = 0;
    std::size_t served = 0;
    for (const auto &[id, result] : site.world.results) {
        sent += result.sent_at > back ? 1 : 0;
        served += result.sent_at > back && result.status == 200 ? 1 : 0;
    }
    CHECK(static_cast<double>(served) >= 0.99 * static_cast<double>(sent));
}

// Guards against a node that has just started and does not know the limit of its upstream.
TEST_CASE_FIXTURE(limited_site_fixture, "node of a limited upstream, restarted, keeps the limit")
{
    what.changes = {{seconds(3), 3, limited_to(38.1)}, {seconds(3), 4, limited_to(0)}};
    what.restarts = {{seconds(8), 3}, {seconds(9), 4}, {seconds(13), 3}};
    for (std::uint64_t seed : {1, 2, 3}) {
        what.seed = seed;
        CHECK(play().worst_window <= 1);
    }
}

// Guards against a limit that is followed late when it changes each second.
TEST_CASE_FIXTURE(limited_site_fixture, "limit, changes each second, is followed")
{
    for (int i = 0; i < 15; ++i) {
        what.changes.push_back({seconds(3 + i), 1, limited_to(i % 2 == 0 ? 80 : 10)});
        what.changes.push_back({seconds(3 + i), 2, limited_to(5 * (i % 4))});
    }
    test::limit_outcome out = play();
    CHECK(out.worst_window <= 1);
    CHECK(out.used >= 0.8);
}

// Guards against a status to all nodes for each answer of an upstream that changes its limit.
TEST_CASE_FIXTURE(limited_site_fixture, "limit, changes with each answer, costs few statuses")
{
    constexpr int changes = 200;
    constexpr std::size_t most_statuses = 15;  // ten for changes, two periodic ones and a reserve
    test::limit_world site(what);
    auto &world = site.world;
    std::string node = test::limit_world::book(0);
    std::string receiver = test::limit_world::book(3);
    std::size_t statuses = 0;
    world.on_send = [&](const std::string &from, const std::string &to,
                        const mesh_wire::frame_message &frame) {
        bool is_status = frame.payload.Asnode_status() != nullptr;
        statuses += is_status && from == node && to == receiver ? 1 : 0;
    };
    for (int i = 0; i < changes; ++i) {
        world.schedule_after(seconds(1) * i / changes, [&, i] {
            world.run_node(node, [i](mesh::mesh_turn &t) {
                handle_upstream_notice(t, std::nullopt, limited_to(1000 - i));
            });
        });
    }
    world.run_for(seconds(1));
    CHECK(statuses > 0);
    CHECK(statuses <= most_statuses);
}

/// A site with an upstream that has announced its leave, and continues to say that it is ready.
struct leaving_site_fixture
{
    test::limit_experiment what;
    std::string leaving = test::limit_world::book(3);

    /// \returns the requests sent by clients later than the drain time after the announcement
    /// that have reached the upstream
    std::size_t late_requests(test::limit_world &site)
    {
        constexpr duration drain_time = seconds(2);
        what.changes = {{seconds(3), 3, mesh::upstream_notice{std::nullopt, true, ""}}};
        time_point end = site.world.now + seconds(3) + milliseconds(100) + drain_time;
        site.play();
        std::size_t late = 0;
        for (const test::upstream_run &it : site.world.runs) {
            auto sent = site.world.results.find(it.request_id);
            bool is_late = sent != site.world.results.end() && sent->second.sent_at > end;
            late += is_late && it.node == leaving && it.upstream == "u-" + leaving ? 1 : 0;
        }
        return late;
    }

    leaving_site_fixture()
    {
        what.changes = {{seconds(3), 3, mesh::upstream_notice{std::nullopt, true, ""}}};
    }
};

// Guards against an upstream that gets client requests after it has said that it leaves.
TEST_CASE_FIXTURE(leaving_site_fixture, "upstream, announces its leave, gets no later requests")
{
    test::limit_world site(what);
    for (int i = 0; i < 15; ++i) {
        site.world.schedule_after(seconds(i), [&] { site.world.send_heartbeat(leaving); });
    }
    CHECK(late_requests(site) == 0);
    for (const auto &[id, result] : site.world.results) {
        CHECK(result.status == 200);
    }
}

// Guards against a restarted node that believes the heartbeats of an upstream that leaves.
TEST_CASE_FIXTURE(leaving_site_fixture, "node of a leaving upstream, restarted, sends it nothing")
{
    what.restarts = {{seconds(7), 3}, {seconds(12), 3}};
    test::limit_world site(what);
    CHECK(late_requests(site) == 0);
}

// Guards against a leave that ends with the connection to the node that told of it.
TEST_CASE_FIXTURE(leaving_site_fixture,
                  "node of a leaving upstream, restarted alone, gets no calls")
{
    test::limit_world site(what);
    auto &world = site.world;
    world.schedule_after(seconds(7), [&] {
        for (const auto &[name, node] : world.nodes) {
            world.partitions.insert({name, leaving});
        }
        world.start_node(leaving, "a");
        world.send_heartbeat(leaving);
    });
    CHECK(late_requests(site) == 0);
}

// Guards against a new incarnation that is held to what an earlier one has said.
TEST_CASE_FIXTURE(leaving_site_fixture, "upstream, new incarnation after a leave, gets requests")
{
    test::limit_world site(what);
    auto &world = site.world;
    world.schedule_after(seconds(8), [&] {
        world.upstreams.at(leaving).notice = mesh::upstream_notice{};
        world.crash_upstream(leaving);
    });
    CHECK(late_requests(site) == 0);
    auto later =
        std::count_if(world.runs.begin(), world.runs.end(), [&](const test::upstream_run &it) {
            return it.node == leaving && it.upstream != "u-" + leaving;
        });
    CHECK(later > 100);
}

// Guards against a leave that one peer remembers and another one has not heard of.
TEST_CASE("notices of several peers, one tells of a leave, are all kept")
{
    std::optional<mesh_wire::upstream_notice_message> known;
    auto tell = [&](const char *upstream, std::uint64_t started_ms, bool leaving) {
        mesh_wire::upstream_notice_message heard;
        heard.upstream = upstream;
        heard.started_ms = started_ms;
        heard.leaving = leaving;
        mesh::merge_notice(known, heard);
    };
    tell("a", 10, true);
    tell("a", 10, false);
    tell("b", 9, false);
    CHECK(mesh::is_notice_of(*known, "a", 10));
    CHECK(known->leaving);
    tell("a", 11, false);
    CHECK(mesh::is_notice_of(*known, "a", 11));
    CHECK_FALSE(known->leaving);
}

// Guards against an answer that overtakes a newer one and lifts its limit.
TEST_CASE("limit, answer to an earlier request, is not lifted or raised")
{
    std::optional<mesh::named_limit> limit;
    auto apply = [&](std::optional<double> per_s, std::optional<int> requested_at, int now) {
        std::optional<time_point> sent;
        if (requested_at) {
            sent = time_point(seconds(*requested_at));
        }
        return apply_limit(limit, mesh::upstream_notice{per_s, false, ""}, sent, "r",
                           time_point(seconds(now)));
    };
    CHECK(apply(20, 1, 10));
    CHECK_FALSE(apply(std::nullopt, 9, 11));
    CHECK_FALSE(apply(std::nullopt, std::nullopt, 11));
    CHECK_FALSE(apply(40, 10, 11));
    CHECK(apply(5, 2, 12));
    CHECK(apply(40, 13, 14));
    CHECK_FALSE(apply(40, 3, 16));
    CHECK_FALSE(apply(std::nullopt, 15, 17));
    CHECK(limit->per_s == 40);
    CHECK(apply(std::nullopt, 17, 18));
    CHECK_FALSE(limit);
}

// Guards against a text that can't be read and lifts the limit.
TEST_CASE("limit, unreadable text, keeps the last good value")
{
    std::optional<mesh::named_limit> limit;
    apply_limit(limit, {20.0, false, ""}, std::nullopt, "r", time_point(seconds(1)));
    CHECK_FALSE(apply_limit(limit, {std::nullopt, false, "Limit: many"}, time_point(seconds(2)),
                            "r", time_point(seconds(3))));
    CHECK(limit->per_s == 20);
}
