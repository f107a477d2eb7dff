#ifndef GULLSTALL_TEST_SUPPORT_CRASH_LOAD_HPP
#define GULLSTALL_TEST_SUPPORT_CRASH_LOAD_HPP

#include <string>
#include <vector>

#include "test/support/mesh_world.hpp"

namespace gullstall::test {

/// Requests that come again and again from the nodes of one service, each repeated once by its
/// client if it fails.
struct repeated_request
{
    std::string path;
    duration interval = milliseconds(700);
    duration crash_delay = milliseconds(40);  ///< from the start of its run
};

/// Shape of a deployment and its load.
struct crash_experiment
{
    std::uint64_t seed = 1;
    int upstreams = 5;           ///< of the service that is called, in three zones
    int callers = 10;            ///< nodes of the service that calls
    double lookups_per_s = 200;  ///< each of another path
    double polls_per_s = 20;     ///< all of the path "/read/poll"
    duration length = seconds(25);
    std::vector<repeated_request> crashing{};
    /// When upstreams end with no request at fault, and how many; one every \c herd_gap.
    std::vector<std::pair<duration, int>> herds{};
    duration herd_gap{};
    duration link_delay = milliseconds(1);
    std::vector<duration> losses{};  ///< when the processes of all nodes are restarted
    duration store_delay = milliseconds(5);
    bool awaits_suspects = true;  ///< nodes start no run before they have read the suspects
    mesh::mesh_features features;
    suspicion_rules rules;
};

/// What an experiment has shown.
struct crash_outcome
{
    std::size_t crashes = 0;           ///< caused by requests
    std::size_t runs_after_limit = 0;  ///< of the crashing request with the most of them
    std::size_t innocent = 0;          ///< requests that crash nothing
    std::size_t served = 0;            ///< of these
    std::size_t refused = 0;           ///< of these, because they were taken for crashing ones
    double refused_s = 0;              ///< from the first to the last of these refusals
    double slowest_s = 0;              ///< longest time to the answer of a served one
};

/// A deployment with requests that crash its upstreams.
class crash_world
{
public:
    explicit crash_world(const crash_experiment &what) : world(what.seed), what_(what)
    {
        world.policy =
            policy_of(1, {route_of("read", "/read/", "books", idempotency::idempotent, 1)});
        world.link_delay = what.link_delay;
        world.features = what.features;
        world.store_delay = what.store_delay;
        world.nodes_await_suspects = what.awaits_suspects;
        for (const repeated_request &it : what.crashing) {
            world.crashing.push_back(crashing_request{it.path, it.crash_delay});
        }
        for (int i = 0; i < what.upstreams; ++i) {
            world.add_node("books-" + std::to_string(i), zone(i),
                           upstream_model{"books", 100, milliseconds(60)});
        }
        for (int i = 0; i < what.callers; ++i) {
            callers_.push_back("shop-" + std::to_string(i));
            world.add_node(callers_.back(), zone(i), upstream_model{"shop"});
        }
        for (auto &[name, node] : world.nodes) {
            node.suspects.rules = what.rules;
        }
        world.run_for(seconds(2));
    }

    /// Plays the load and the herds, then waits until all requests have ended.
    crash_outcome play()
    {
        for (const repeated_request &it : what_.crashing) {
            for (duration at{}; at < what_.length; at += it.interval) {
                world.schedule_after(at, [this, it] { send_repeated(it, true); });
            }
        }
        schedule_lookups();
        schedule_polls();
        for (const auto &[at, n] : what_.herds) {
            for (int i = 0; i < n; ++i) {
                world.schedule_after(at + i * what_.herd_gap, [this, i] {
                    world.crash_upstream("books-" + std::to_string(i));
                });
            }
        }
        for (duration at : what_.losses) {
            world.schedule_after(at, [this] { restart_all(); });
        }
        world.run_for(what_.length + time_left + seconds(1));
        return measure();
    }

    /// Restarts the process of a node, whose upstream stays.
    void restart(const std::string &node)
    {
        world.start_node(node, world.nodes.at(node).settings.node.zone);
        world.schedule_after(milliseconds(300), [this, node] {
            if (!world.is_dead(node)) {
                world.send_heartbeat(node);
            }
        });
    }

    /// Restarts the processes of all nodes at once.
    void restart_all()
    {
        for (const auto &[name, upstream] : world.upstreams) {
            restart(name);
        }
    }

    mesh_simulation world;

private:
    static constexpr duration time_left = seconds(5);  ///< of a request

    void schedule_lookups()
    {
        auto n = static_cast<int>(what_.lookups_per_s * to_seconds(what_.length));
        for (int i = 0; i < n; ++i) {
            auto at = static_cast<std::int64_t>(draw_fraction(world.random) *
                                                static_cast<double>(what_.length.count()));
            world.schedule_after(duration(at),
                                 [this, i] { send("/read/" + std::to_string(i), time_left); });
        }
    }

    void schedule_polls()
    {
        auto n = static_cast<int>(what_.polls_per_s * to_seconds(what_.length));
        for (int i = 0; i < n; ++i) {
            world.schedule_after(what_.length / n * i, [this] { send("/read/poll", time_left); });
        }
    }

    static double to_seconds(duration it)
    {
        return std::chrono::duration<double>(it).count();
    }

    static std::string zone(int i)
    {
        return std::string(1, static_cast<char>('a' + i % 3));
    }

    const std::string &send(const std::string &path, duration left)
    {
        std::string id = "r" + std::to_string(++sent_);
        auto at = static_cast<std::size_t>(draw_fraction(world.random) *
                                           static_cast<double>(callers_.size()));
        world.send_request(callers_[at], id, path, left);
        return path_of_.emplace(id, path).first->first;
    }

    void send_repeated(const repeated_request &it, bool may_repeat)
    {
        const std::string &id = send(it.path, time_left);
        constexpr duration client_check = milliseconds(300);
        world.schedule_after(client_check, [this, it, id, may_repeat] {
            if (may_repeat && world.results.at(id).status >= 500) {
                send_repeated(it, false);
            }
        });
    }

    bool is_crashing(const std::string &path) const
    {
        return std::any_of(world.crashing.begin(), world.crashing.end(),
                           [&](const crashing_request &it) { return it.path == path; });
    }

    /// \returns the runs of a crashing request that started when all nodes could have known for
    /// `contact_time` that it had crashed three upstreams
    std::size_t runs_after_limit(const std::string &path) const
    {
        constexpr duration contact_time = seconds(3);
        constexpr std::size_t allowed_crashes = 3;
        std::vector<time_point> own;
        for (const upstream_crash &it : world.crashes) {
            if (it.path == path) {
                own.push_back(it.at);
            }
        }
        if (own.size() < allowed_crashes) {
            return 0;
        }
        time_point limit = own[allowed_crashes - 1] + contact_time;
        return static_cast<std::size_t>(std::count_if(
            world.runs.begin(), world.runs.end(),
            [&](const upstream_run &it) { return it.path == path && it.at > limit; }));
    }

    crash_outcome measure() const
    {
        crash_outcome out;
        for (const upstream_crash &it : world.crashes) {
            out.crashes += it.path.empty() ? 0 : 1;
        }
        for (const crashing_request &it : world.crashing) {
            out.runs_after_limit = std::max(out.runs_after_limit, runs_after_limit(it.path));
        }
        std::vector<time_point> refusals;
        for (const auto &[id, path] : path_of_) {
            if (!is_crashing(path)) {
                count_innocent(out, refusals, world.results.at(id));
            }
        }
        std::sort(refusals.begin(), refusals.end());
        out.refused_s = refusals.empty() ? 0 : to_seconds(refusals.back() - refusals.front());
        return out;
    }

    static void count_innocent(crash_outcome &out, std::vector<time_point> &refusals,
                               const caller_result &result)
    {
        ++out.innocent;
        if (result.status == 200) {
            ++out.served;
            out.slowest_s =
                std::max(out.slowest_s, to_seconds(result.answered_at - result.sent_at));
        }
        if (result.refusal_reason == mesh_wire::reason::crashes_upstreams) {
            ++out.refused;
            refusals.push_back(result.answered_at);
        }
    }

    crash_experiment what_;
    std::vector<std::string> callers_;
    std::map<std::string, std::string> path_of_;  ///< by request id
    int sent_ = 0;
};

}  // namespace gullstall::test

#endif
