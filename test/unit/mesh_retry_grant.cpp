#include <doctest/doctest.h>

#include "test/support/mesh_load.hpp"

using namespace gullstall;

namespace {

constexpr int entry_nodes = 24;
constexpr double retry_ratio = 0.2;
constexpr std::uint32_t retry_slack = 60;
constexpr duration retry_window = seconds(10);
constexpr double direct_per_s = 40;  ///< callers' requests to the service below

/// Requests enter at many nodes. The runs of a few of these call a service of three
/// upstreams, which loses answers for a while.
struct lost_answers_fixture
{
    test::mesh_simulation world{2026};
    test::random_load load;

    void start(bool gate_grants)
    {
        world.policy = test::policy_of(
            1, {test::route_of("order", "/order/", "front", idempotency::non_idempotent, 0),
                test::route_of("list", "/list/", "front", idempotency::idempotent, 2),
                test::route_of("below", "/below/", "deep", idempotency::idempotent, 1)});
        test::upstream_model front{"front", 100, milliseconds(20)};
        front.calls["/order/x"] = {"h", "/below/x", 4};
        front.calls["/list/x"] = {"h", "/below/x", 2};
        for (int i = 0; i < entry_nodes; ++i) {
            std::string name = "entry-" + std::to_string(i);
            world.add_node(name, "a", {"other"});
            load.entry_nodes.push_back(name);
        }
        for (int i = 0; i < 4; ++i) {
            world.add_node("front-" + std::to_string(i), "a", front);
        }
        for (int i = 0; i < 3; ++i) {
            world.add_node("deep-" + std::to_string(i), "a", {"deep", 200, milliseconds(10)});
        }
        for (auto &[name, node] : world.nodes) {
            node.settings = limits_of(node.settings);
            node.features.gate_grants = gate_grants;
        }
    }

    static mesh::mesh_settings limits_of(mesh::mesh_settings settings)
    {
        settings.limits.retry_ratio = retry_ratio;
        settings.limits.retry_slack = retry_slack;
        settings.limits.retry_window_s = 10;
        return settings;
    }

    void set_lost(double share)
    {
        for (int i = 0; i < 3; ++i) {
            world.upstreams["deep-" + std::to_string(i)].lost = share;
        }
    }

    /// Plays 30 s; answers are lost from 18 to 24 s.
    void play()
    {
        constexpr duration length = seconds(30);
        schedule_random_requests(world, load, {"order", 20}, length);
        schedule_random_requests(world, load, {"list", 40}, length);
        schedule_random_requests(world, load, {"below", direct_per_s}, length);
        world.schedule_after(seconds(18), [this] { set_lost(0.2); });
        world.schedule_after(seconds(24), [this] { set_lost(0); });
        world.run_for(length + seconds(6));
    }

    /// \returns requests of a kind that were not answered with success
    int failed(const std::string &kind)
    {
        int out = 0;
        for (const auto &[id, result] : world.results) {
            out += id.starts_with(kind) && result.status != 200 ? 1 : 0;
        }
        return out;
    }

    /// \returns the most arrivals at the service beyond the first of each request, in any
    /// window
    std::size_t most_retries()
    {
        std::set<std::string> seen;
        std::vector<time_point> retries;
        for (const test::upstream_run &it : world.runs) {
            bool is_deep = it.node.starts_with("deep");
            if (is_deep && !seen.insert(it.request_id).second) {
                retries.push_back(it.at);
            }
        }
        std::size_t most = 0;
        for (std::size_t i = 0, first = 0; i < retries.size(); ++i) {
            while (retries[i] - retries[first] > retry_window) {
                ++first;
            }
            most = std::max(most, i - first + 1);
        }
        return most;
    }
};

/// Retries that the limit allows in one window.
constexpr double allowed_retries = retry_ratio * direct_per_s * 10 + retry_slack;

}  // namespace

// The nodes that lose answers have no tokens, and those that have tokens lose none: a fifth
// of the answers lost below cost most requests above.
TEST_CASE_FIXTURE(lost_answers_fixture, "lost answers, limit shared by the gates, serves more")
{
    start(true);
    play();
    int orders = failed("order");
    int lists = failed("list");
    CHECK(static_cast<double>(most_retries()) <= allowed_retries);
    CHECK(static_cast<double>(most_retries()) >= allowed_retries / 2);

    lost_answers_fixture alone;
    alone.start(false);
    alone.play();
    MESSAGE("failed orders ", orders, ", lists ", lists, ", retries ", most_retries(),
            "; limit shared by entry nodes ", alone.failed("order"), ", ", alone.failed("list"),
            ", ", alone.most_retries(), "; allowed ", allowed_retries);
    CHECK(orders < alone.failed("order"));
    CHECK(orders + lists < alone.failed("order") + alone.failed("list"));
}

// A caller must not send an order again that may have run; lookups can be sent again.
TEST_CASE("retries of less urgent classes, many, leave half of the limit to orders")
{
    mesh::retry_quota quota;
    mesh::retry_quota_limit limit{0, 10, seconds(10)};
    time_point now{seconds(100)};
    int others = 0;
    int urgent = 0;
    for (int i = 0; i < 20; ++i) {
        others += grant(quota, limit, false, now) ? 1 : 0;
    }
    for (int i = 0; i < 20; ++i) {
        urgent += grant(quota, limit, true, now) ? 1 : 0;
    }
    CHECK(others == 5);
    CHECK(urgent == 5);
    CHECK(grant(quota, limit, false, now + seconds(10)));
}

// Each side of a cut would otherwise grant all that the limit allows.
TEST_CASE_FIXTURE(lost_answers_fixture, "upstreams cut off, share of the limit, stays the same")
{
    start(true);
    world.run_for(retry_window);
    world.break_links("deep-0", "deep-1");
    world.break_links("deep-0", "deep-2");
    mesh::mesh_actions out;
    mesh::mesh_turn turn{world.nodes.at("deep-0"), world.now, out};
    mesh_wire::call_message order;
    int granted = 0;
    while (grant_retry(turn, order)) {
        ++granted;
    }
    CHECK(granted > 0);
    CHECK(granted <= retry_slack / 3);
}

// A node that is killed forgets its grants; its successor would grant them once more.
TEST_CASE_FIXTURE(lost_answers_fixture, "gates restarted while answers are lost, keep to the limit")
{
    start(true);
    for (int at_s : {21, 23}) {
        world.schedule_after(seconds(at_s), [this] {
            for (int i = 0; i < 3; ++i) {
                std::string name = "deep-" + std::to_string(i);
                world.start_node(name, "a");
                world.nodes.at(name).settings = limits_of(world.nodes.at(name).settings);
                world.send_heartbeat(name);
            }
        });
    }
    play();
    CHECK(static_cast<double>(most_retries()) <= allowed_retries);
}

// A node of an earlier version runs each retry; the entry has to limit those itself.
TEST_CASE_FIXTURE(lost_answers_fixture,
                  "gates of an earlier version, retries stay within the limit")
{
    start(true);
    for (auto &[name, node] : world.nodes) {
        node.features.gate_grants = !name.starts_with("deep");
    }
    play();
    CHECK(static_cast<double>(most_retries()) <= allowed_retries);
}
