#ifndef GULLSTALL_TEST_SUPPORT_QUOTA_ZONES_HPP
#define GULLSTALL_TEST_SUPPORT_QUOTA_ZONES_HPP

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "test/support/mesh_zones.hpp"

namespace gullstall::test {

inline constexpr double quota_overage = 0.1;
inline constexpr double quota_slack = 20;
inline constexpr duration quota_window = seconds(5);

inline customer_declaration declared(const std::string &name, double rate, double burst)
{
    return customer_declaration{customer{name, std::nullopt, request_quota{rate, burst}},
                                {name + "-key"}};
}

/// Four zones of six nodes and customers with quotas.
struct quota_fixture : zones_fixture
{
    static constexpr double big_rate = 120;
    static constexpr double small_rate = 6;

    std::map<std::string, int> sent;

    quota_fixture()
    {
        publish(1, big_rate);
        start();
        for (auto &[name, node] : world.nodes) {
            set_limits(node);
        }
        world.run_for(seconds(3));
    }

    static void set_limits(mesh::mesh_node &node)
    {
        node.settings.limits.quota_overage = quota_overage;
        node.settings.limits.quota_slack = quota_slack;
    }

    /// Puts a policy in force at all nodes that are not cut off.
    void publish(std::uint64_t version, double rate)
    {
        std::vector<traffic_route> routes{
            route_of("read", "/read/", "reads", idempotency::idempotent)};
        world.policy =
            policy_of(version, routes,
                      {declared("big", rate, rate), declared("small", small_rate, small_rate)});
        for (auto &[name, node] : world.nodes) {
            world.run_node(name, [&](mesh::mesh_turn &t) {
                apply_policy(t, world.policy, "text", mesh::policy_source::store);
            });
        }
    }

    /// Sends requests of a customer at random times to random nodes.
    void send(const std::string &customer, double per_s, duration length,
              const std::vector<std::string> &entries)
    {
        auto n = static_cast<int>(per_s * to_seconds(length));
        for (int i = 0; i < n; ++i) {
            auto when = duration(static_cast<std::int64_t>(draw_fraction(world.random) *
                                                           static_cast<double>(length.count())));
            world.schedule_at(world.now + when, [this, customer, entries] {
                const std::string &node = entries[draw_below(world.random, entries.size())];
                world.api_key = customer + "-key";
                world.send_request(node, customer + "-" + std::to_string(++sent[customer]),
                                   "/read/x", seconds(2));
            });
        }
    }

    std::vector<std::string> all_nodes()
    {
        std::vector<std::string> out;
        for (int zone = 0; zone < zone_count; ++zone) {
            std::vector<std::string> nodes = nodes_of(zone);
            out.insert(out.end(), nodes.begin(), nodes.end());
        }
        return out;
    }

    /// \returns the most requests of a customer that ran within one window
    std::size_t highest_sum(const std::string &customer, time_point since = {})
    {
        std::vector<time_point> runs;
        for (const upstream_run &it : world.runs) {
            if (it.customer == customer && world.results[it.request_id].sent_at >= since) {
                runs.push_back(it.at);
            }
        }
        std::sort(runs.begin(), runs.end());
        std::size_t out = 0;
        for (auto it = runs.begin(); it != runs.end(); ++it) {
            auto end = std::lower_bound(it, runs.end(), *it + quota_window);
            out = std::max(out, static_cast<std::size_t>(end - it));
        }
        return out;
    }

    /// \returns the most requests of a customer that were both sent and run within one window
    std::size_t highest_sum_by_rule(const std::string &customer) const
    {
        std::map<std::string, time_point> run_at;  // by request id
        for (const upstream_run &it : world.runs) {
            if (it.customer == customer) {
                run_at.try_emplace(it.request_id, it.at);
            }
        }
        std::vector<std::pair<time_point, time_point>> runs;  // sent, run
        runs.reserve(run_at.size());
        for (const auto &[id, at] : run_at) {
            runs.emplace_back(world.results.at(id).sent_at, at);
        }
        std::sort(runs.begin(), runs.end());
        std::size_t out = 0;
        for (auto begin = runs.begin(); begin != runs.end(); ++begin) {
            time_point end = begin->first + quota_window;
            auto last = std::upper_bound(begin, runs.end(), std::pair(end, end));
            out = std::max(out, static_cast<std::size_t>(std::count_if(
                                    begin, last, [&](const auto &it) { return it.second < end; })));
        }
        return out;
    }

    /// Restarts the process of a node, whose upstream stays.
    void restart(const std::string &node)
    {
        world.paused_nodes.erase(node);
        world.start_node(node, world.nodes.at(node).settings.node.zone);
        set_limits(world.nodes.at(node));
        world.send_heartbeat(node);
    }

    static double allowed_sum(double rate)
    {
        return (rate * to_seconds(quota_window) + rate) * (1 + quota_overage) + quota_slack;
    }

    /// \returns the number of a customer's requests sent since then for which \a holds is true
    template <class Predicate>
    double count_requests(const std::string &customer, time_point since, Predicate holds) const
    {
        return static_cast<double>(
            std::count_if(world.results.begin(), world.results.end(), [&](const auto &entry) {
                const auto &[id, it] = entry;
                return id.rfind(customer + "-", 0) == 0 && it.sent_at >= since && holds(it);
            }));
    }

    /// \returns the share of a customer's requests sent since then that were refused for its quota
    double over_quota(const std::string &customer, time_point since) const
    {
        double all = count_requests(customer, since, [](const caller_result &) { return true; });
        double refused = count_requests(customer, since, [](const caller_result &it) {
            return it.refusal_reason == mesh_wire::reason::over_quota;
        });
        return all > 0 ? refused / all : 0;
    }

    /// \returns the share of a customer's requests sent since then that were served
    double served(const std::string &customer, time_point since) const
    {
        double all = count_requests(customer, since, [](const caller_result &) { return true; });
        double good = count_requests(customer, since,
                                     [](const caller_result &it) { return it.status == 200; });
        return all > 0 ? good / all : 1;
    }
};

}  // namespace gullstall::test

#endif
