#include <doctest/doctest.h>

#include "test/support/crash_load.hpp"

using namespace gullstall;

namespace {

/// Requests that nodes may still run of one that has crashed three upstreams.
constexpr std::size_t allowed_runs = 3;

/// The size of a small site: five upstreams in three zones.
struct small_site_fixture
{
    test::crash_experiment what;

    test::crash_outcome play() const
    {
        test::crash_world site(what);
        test::crash_outcome out = site.play();
        MESSAGE("upstreams crashed ", out.crashes, ", runs beyond the limit ", out.runs_after_limit,
                ", served ", out.served, " of ", out.innocent, ", refused ", out.refused, " in ",
                out.refused_s, " s, slowest ", out.slowest_s, " s");
        return out;
    }
};

}  // namespace

// Guards against a request that crashes each upstream it reaches, again and again.
TEST_CASE_FIXTURE(small_site_fixture, "request, three upstreams crashed, is not run again")
{
    what.crashing = {{"/read/crash"}};
    for (std::uint64_t seed : {1, 2, 3, 4, 5}) {
        what.seed = seed;
        CHECK(play().runs_after_limit <= allowed_runs);
    }
}

// Guards against several crashing requests of one service that hide each other.
TEST_CASE_FIXTURE(small_site_fixture, "requests, three that crash often, are not run again")
{
    for (const char *path : {"/read/crash0", "/read/crash1", "/read/crash2"}) {
        what.crashing.push_back({path, milliseconds(50)});
    }
    for (std::uint64_t seed : {1, 2, 3, 4, 5}) {
        what.seed = seed;
        test::crash_outcome out = play();
        CHECK(out.runs_after_limit <= allowed_runs);
        CHECK(out.refused == 0);
    }
}

// Guards against a crashing request that all upstreams run again as soon as they are back.
TEST_CASE_FIXTURE(small_site_fixture,
                  "request, all upstreams crashed at once, is tried by one of them")
{
    what.crashing = {{"/read/crash", milliseconds(10), milliseconds(60)}};
    what.upstreams = 9;
    what.polls_per_s = 400;
    what.link_delay = milliseconds(30);
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        what.seed = seed;
        test::crash_outcome out = play();
        CHECK(out.runs_after_limit <= allowed_runs);
        CHECK(out.crashes <= 10);
        CHECK(out.refused == 0);
    }
}

// Guards against frequent requests that are refused because they run at each crash.
TEST_CASE_FIXTURE(small_site_fixture, "polls, all upstreams crashed three times, are not refused")
{
    what.polls_per_s = 200;
    what.herds = {{seconds(3), 5}, {seconds(9), 5}, {seconds(15), 5}};
    for (std::uint64_t seed : {1, 2, 3, 4, 5}) {
        what.seed = seed;
        CHECK(play().refused == 0);
    }
}

// Guards against a frequent request that is blamed because it runs alone on an upstream that
// ends a moment after two others.
TEST_CASE_FIXTURE(small_site_fixture, "polls, upstreams end milliseconds apart, are not refused")
{
    what.polls_per_s = 100;
    what.herds = {{seconds(3), 5}, {seconds(9), 5}, {seconds(15), 5}};
    what.herd_gap = milliseconds(5);
    for (std::uint64_t seed : {1, 2, 3, 4, 5}) {
        what.seed = seed;
        CHECK(play().refused == 0);
    }
}

/// A site at which one request has been quarantined.
struct quarantine_fixture
{
    test::crash_world site{test::crash_experiment{}};
    test::mesh_simulation &w = site.world;

    quarantine_fixture()
    {
        w.crashing = {{"/read/crash"}};
        send_crashing("shop-0", 12);
    }

    void send_crashing(const std::string &node, int times)
    {
        for (int i = 0; i < times; ++i) {
            last_id = node + "-" + std::to_string(++sent);
            w.send_request(node, last_id, "/read/crash", seconds(2));
            w.run_for(milliseconds(500));
        }
    }

    std::string last_id;
    int sent = 0;
};

// Guards against a node that has just started and lets a quarantined request through.
TEST_CASE_FIXTURE(quarantine_fixture, "node, restarted during a quarantine, refuses the request")
{
    CHECK(w.crashes.size() == 3);
    for (const char *name : {"shop-1", "books-0"}) {
        w.start_node(name, w.nodes.at(name).settings.node.zone);
    }
    w.send_heartbeat("books-0");
    w.run_for(seconds(1));
    send_crashing("shop-1", 5);
    CHECK(w.crashes.size() == 3);
    CHECK(w.results.at(last_id).status == 503);
    CHECK(w.results.at(last_id).refusal_reason == mesh_wire::reason::crashes_upstreams);
}

// Guards against a quarantine that an operator can't lift.
TEST_CASE_FIXTURE(quarantine_fixture, "request, mended and its quarantine lifted, is served")
{
    w.crashing.clear();
    send_crashing("shop-2", 1);
    CHECK(w.results.at(last_id).status == 503);
    for (auto &[name, node] : w.nodes) {
        node.settings.limits.quarantine_s = 0;
    }
    w.run_for(milliseconds(200));
    send_crashing("shop-2", 1);
    CHECK(w.results.at(last_id).status == 200);
}

// Guards against trials that cost more upstreams the longer a request goes on crashing them.
TEST_CASE_FIXTURE(quarantine_fixture, "request, crashed for ten minutes, costs few upstreams")
{
    send_crashing("shop-3", 1200);
    CHECK(w.crashes.size() <= 6);
}

// Guards against a frame that ends the connection to a node of an earlier version.
TEST_CASE_FIXTURE(quarantine_fixture, "news, node of an earlier version, is not sent")
{
    std::set<std::string> told;
    w.on_send = [&](const std::string &, const std::string &to,
                    const mesh_wire::frame_message &frame) {
        if (frame.payload.Ascrash_news() != nullptr) {
            told.insert(to);
        }
    };
    w.nodes.at("shop-4").features.crash_guard = false;
    w.start_node("shop-5", "a");
    for (auto &[name, node] : w.nodes) {
        for (auto &[link, peer] : node.links) {
            peer.reads_crash_news = peer.reads_crash_news && peer.node != "shop-4";
        }
    }
    w.send_request("shop-0", "other", "/read/other", seconds(2));
    w.run_for(milliseconds(20));
    for (int i = 0; i < 5; ++i) {
        w.crash_upstream("books-" + std::to_string(i));
    }
    w.run_for(seconds(5));
    CHECK(told.count("shop-5") == 1);
    CHECK(told.count("shop-4") == 0);
}

// Guards against a frame of a faulty peer that fills the table or ends the process.
TEST_CASE_FIXTURE(small_site_fixture, "news, far too long, is cut to the bound")
{
    test::crash_world site(what);
    mesh_wire::crash_news_message news;
    for (std::uint64_t i = 1; i <= 10 * max_crash_suspects; ++i) {
        news.running.push_back(i);
        news.cleared.push_back(i);
        auto known = std::make_unique<mesh_wire::known_suspect_message>();
        known->signature = i;
        known->blamed = 1000000;
        known->age_us = ~0ULL;
        news.known.push_back(std::move(known));
    }
    news.blamed = 77777777;
    site.world.run_node("shop-0", [&](mesh::mesh_turn &t) { handle_crash_news(t, "x", news); });
    CHECK(site.world.nodes.at("shop-0").suspects.by_signature.size() <= max_crash_suspects);
    CHECK(site.play().served > 0);
}
