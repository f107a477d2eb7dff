#ifndef GULLSTALL_TEST_SUPPORT_LIMIT_LOAD_HPP
#define GULLSTALL_TEST_SUPPORT_LIMIT_LOAD_HPP

#include <array>
#include <string>
#include <vector>

#include "test/support/mesh_load.hpp"

namespace gullstall::test {

/// A change of what an upstream says of itself.
struct notice_change
{
    duration at{};  ///< from the start of the load
    int upstream = 0;
    mesh::upstream_notice notice;
};

/// Kinds of requests to the limited service, the most urgent one first. Those of the first kind
/// reach it by a nested call.
constexpr std::array<const char *, 3> limit_load_kinds{"order", "lookup", "browse"};

/// Shape of a deployment and its load.
struct limit_experiment
{
    std::uint64_t seed = 1;
    int upstreams = 5;                          ///< of the service that is limited, in three zones
    int desks = 4;                              ///< upstreams whose runs call that service
    int callers = 6;                            ///< further nodes where requests enter
    int extra_nodes = 0;                        ///< further nodes without requests
    std::array<double, 3> per_s{130, 280, 60};  ///< requests of each kind
    duration length = seconds(20);
    std::vector<notice_change> changes{};
    /// When the processes of nodes beside limited upstreams restart, and which.
    std::vector<std::pair<duration, int>> restarts{};
    mesh::mesh_features features;
};

/// Requests of one kind and their outcome.
struct kind_outcome
{
    std::size_t sent = 0;
    std::size_t served = 0;
    std::size_t refused = 0;
};

/// What an experiment has shown.
struct limit_outcome
{
    /// Largest number of requests in 4 s at a limited upstream, later than the contact time
    /// after it was limited, as a fraction of what the rules allow.
    double worst_window = 0;
    /// Requests that the limited upstreams got, as a fraction of their limits.
    double used = 0;
    std::array<kind_outcome, 3> kinds;
    double sends_per_request = 0;  ///< frames with a call, and local calls
    double slowest_s = 0;          ///< longest time to the answer of a served request
};

constexpr duration limit_contact_time = seconds(3);
constexpr duration limit_window = seconds(4);

/// A deployment whose upstreams limit the requests that they take.
class limit_world
{
public:
    explicit limit_world(const limit_experiment &what) : world(what.seed), what_(what)
    {
        world.policy =
            policy_of(1, {route_of("order", "/order/", "desk", idempotency::non_idempotent, 0),
                          route_of("stock", "/stock/", "books", idempotency::idempotent, 0),
                          route_of("lookup", "/lookup/", "books", idempotency::idempotent, 1),
                          route_of("browse", "/browse/", "books", idempotency::idempotent, 2)});
        world.link_delay = milliseconds(1);
        for (int i = 0; i < what.upstreams; ++i) {
            world.add_node(book(i), zone(i), upstream_model{"books", 130, milliseconds(60)});
        }
        upstream_model desk{"desk", 165, milliseconds(20)};
        desk.calls["/order/x"] = nested_calls{"h", "/stock/x", 1};
        for (int i = 0; i < what.desks; ++i) {
            add_entry("desk-" + std::to_string(i), i, desk);
        }
        for (int i = 0; i < what.callers; ++i) {
            add_entry("shop-" + std::to_string(i), i, upstream_model{"shop"});
        }
        for (int i = 0; i < what.extra_nodes; ++i) {
            world.add_node("other-" + std::to_string(i), zone(i), upstream_model{"other"});
        }
        for (auto &[name, node] : world.nodes) {
            node.features = what.features;
        }
        world.run_for(seconds(2));
    }

    static std::string book(int i)
    {
        return "books-" + std::to_string(i);
    }

    /// Plays the load, then waits until all requests have ended.
    limit_outcome play()
    {
        begin_ = world.now;
        std::size_t sends = 0;
        world.on_send = [&](const std::string &, const std::string &,
                            const mesh_wire::frame_message &frame) {
            sends += frame.payload.Ascall() != nullptr ? 1 : 0;
        };
        for (const notice_change &it : what_.changes) {
            world.schedule_after(
                it.at, [this, it] { world.upstreams.at(book(it.upstream)).notice = it.notice; });
        }
        for (const auto &[at, upstream] : what_.restarts) {
            world.schedule_after(at, [this, node = book(upstream)] { restart(node); });
        }
        for (std::size_t i = 0; i < limit_load_kinds.size(); ++i) {
            schedule_random_requests(world, load_,
                                     request_kind{limit_load_kinds[i], what_.per_s[i], time_left},
                                     what_.length);
        }
        world.run_for(what_.length + time_left + seconds(1));
        limit_outcome out = measure();
        out.sends_per_request = static_cast<double>(sends) / std::max(1, load_.sent);
        return out;
    }

    mesh_simulation world;

private:
    static constexpr duration time_left = seconds(5);  ///< of a request

    /// Restarts the process of a node. Its upstream stays and is heard of half a second later.
    void restart(const std::string &node)
    {
        world.start_node(node, world.nodes.at(node).settings.node.zone);
        world.nodes.at(node).features = what_.features;
        world.schedule_after(milliseconds(500), [this, node] { world.send_heartbeat(node); });
    }

    static std::string zone(int i)
    {
        return std::string(1, static_cast<char>('a' + i % 3));
    }

    void add_entry(const std::string &name, int i, const upstream_model &model)
    {
        world.add_node(name, zone(i), model);
        load_.entry_nodes.push_back(name);
    }

    /// A time in which an upstream was limited without a break.
    struct limited_span
    {
        std::string node;
        time_point begin{};
        time_point end{};
        std::vector<std::pair<time_point, double>> limits;  ///< since when, per second
    };

    std::vector<limited_span> limited_spans() const
    {
        std::vector<limited_span> out;
        for (int i = 0; i < what_.upstreams; ++i) {
            bool is_limited = false;
            for (const notice_change &it : what_.changes) {
                if (it.upstream != i) {
                    continue;
                }
                time_point at = begin_ + it.at;
                if (is_limited) {
                    out.back().end = at;
                } else if (it.notice.limit_per_s) {
                    out.push_back(limited_span{book(i), at, at, {}});
                }
                is_limited = it.notice.limit_per_s.has_value();
                if (is_limited) {
                    out.back().limits.emplace_back(at, *it.notice.limit_per_s);
                }
            }
            if (is_limited) {
                out.back().end = begin_ + what_.length;
            }
        }
        return out;
    }

    /// \returns the requests that the limits of the span allow from \a from to \a to
    static double limit_between(const limited_span &it, time_point from, time_point to)
    {
        double out = 0;
        for (std::size_t i = 0; i < it.limits.size(); ++i) {
            auto [since, per_s] = it.limits[i];
            time_point until = i + 1 < it.limits.size() ? it.limits[i + 1].first : it.end;
            duration length = std::min(until, to) - std::max(since, from);
            out += std::max(0.0, to_seconds(length)) * per_s;
        }
        return out;
    }

    std::vector<time_point> arrivals(const limited_span &it) const
    {
        std::vector<time_point> out;
        for (const upstream_run &run : world.runs) {
            if (run.node == it.node && run.at >= it.begin && run.at < it.end) {
                out.push_back(run.at);
            }
        }
        return out;
    }

    static double worst_window(const limited_span &it, const std::vector<time_point> &arrivals)
    {
        constexpr double factor = 1.5;
        constexpr double slack = 5;
        double worst = 0;
        std::size_t first = 0;
        for (std::size_t last = 0; last < arrivals.size(); ++last) {
            time_point begin = arrivals[last] - limit_window;
            if (begin < it.begin + limit_contact_time) {
                continue;
            }
            while (arrivals[first] <= begin) {
                ++first;
            }
            double allowed = factor * limit_between(it, begin, arrivals[last]) + slack;
            worst = std::max(worst, static_cast<double>(last + 1 - first) / allowed);
        }
        return worst;
    }

    limit_outcome measure() const
    {
        limit_outcome out;
        double got = 0;
        double limits = 0;
        for (const limited_span &it : limited_spans()) {
            std::vector<time_point> all = arrivals(it);
            out.worst_window = std::max(out.worst_window, worst_window(it, all));
            got += static_cast<double>(all.size());
            limits += limit_between(it, it.begin, it.end);
        }
        out.used = limits > 0 ? got / limits : 0;
        for (const auto &[id, result] : world.results) {
            count(out, id, result);
        }
        return out;
    }

    static void count(limit_outcome &out, const std::string &id, const caller_result &result)
    {
        constexpr std::uint16_t ok = 200;
        for (std::size_t i = 0; i < limit_load_kinds.size(); ++i) {
            if (id.rfind(std::string(limit_load_kinds[i]) + "-", 0) != 0) {
                continue;
            }
            kind_outcome &kind = out.kinds[i];
            ++kind.sent;
            kind.served += result.status == ok ? 1 : 0;
            kind.refused += result.status == 503 ? 1 : 0;
        }
        if (result.status == ok) {
            out.slowest_s =
                std::max(out.slowest_s, to_seconds(result.answered_at - result.sent_at));
        }
    }

    limit_experiment what_;
    random_load load_;
    time_point begin_{};
};

}  // namespace gullstall::test

#endif
