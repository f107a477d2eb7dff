#ifndef GULLSTALL_TEST_SUPPORT_MESH_WORLD_HPP
#define GULLSTALL_TEST_SUPPORT_MESH_WORLD_HPP

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "gullstall/mesh.hpp"

namespace gullstall::test {

/// Nested calls that a run makes sequentially before it answers.
struct nested_calls
{
    std::string host;
    std::string path;
    int times = 0;
};

/// Behaviour of a simulated upstream.
struct upstream_model
{
    std::string service;
    std::uint32_t slots = 10;
    duration run_time = milliseconds(10);
    double shed = 0;                              ///< share of the calls that it sheds
    double lost = 0;                              ///< share of the calls whose answer is lost
    double errors = 0;                            ///< share of the calls answered 500 at once
    std::map<std::string, duration> run_times{};  ///< by path, where not run_time
    std::map<std::string, nested_calls> calls{};  ///< by the path of the run
    duration restart_time = seconds(3);           ///< from a crash to the successor's heartbeat
    mesh::upstream_notice notice{};               ///< in the header of each of its responses
};

/// A request that crashes each upstream that runs it.
struct crashing_request
{
    std::string path;
    duration crash_delay = milliseconds(40);  ///< from the start of its run
};

/// Crash of an upstream.
struct upstream_crash
{
    std::string node;
    std::string path;  ///< of the run that caused it, empty if none did
    time_point at{};
};

/// Outcome of a caller's request.
struct caller_result
{
    std::uint16_t status = 0;
    mesh_wire::reason refusal_reason = mesh_wire::reason::none;
    std::optional<duration> retry_after;
    time_point sent_at{};
    time_point answered_at{};
};

/// A run as received by the upstream.
struct upstream_run
{
    std::string node;
    std::string request_id;
    std::string upstream;
    std::string customer;
    std::string path;
    duration time_left{};
    time_point at{};
};

/// Simulation of nodes, upstreams and callers in virtual time, connected by links that can
/// be partitioned.
class mesh_simulation
{
public:
    explicit mesh_simulation(std::uint64_t seed) : random(seed) {}

    time_point now{seconds(1000)};
    random_source random;
    duration link_delay = microseconds(500);
    std::map<std::string, mesh::mesh_node> nodes;
    std::map<std::string, upstream_model> upstreams;  ///< by node
    std::map<std::string, caller_result> results;     ///< by request id
    std::vector<upstream_run> runs;
    std::vector<crashing_request> crashing;
    std::vector<upstream_crash> crashes;
    std::vector<mesh::write_line> log_lines;
    std::map<std::string, mesh::calls_per_run>
        stored_calls;              ///< calls per run in the store, by route
    mesh::mesh_features features;  ///< of the nodes started from now on
    /// Suspects in the store, read by each node that starts, and when they were written.
    std::vector<kept_suspect> stored_suspects;
    time_point suspects_stored_at{};
    std::uint64_t suspect_writes = 0;
    std::map<std::string, mesh::announced_end> stored_ends;  ///< in the store, by node
    std::vector<std::string> acknowledged_ends;              ///< upstreams, as they were kept
    duration store_delay = milliseconds(5);                  ///< of a read or write of the suspects
    time_point store_away_until{};     ///< until then no read or write of them succeeds
    bool policy_in_store = false;      ///< so that a node that starts then has none
    bool nodes_await_suspects = true;  ///< upstreams get no calls before they are read
    /// Pairs (from, to) whose frames are held back until the pair is removed.
    std::set<std::pair<std::string, std::string>> partitions;
    std::set<std::string> paused_nodes;  ///< nodes whose process is paused
    /// Observes each frame and its sender and receiver, if set.
    std::function<void(const std::string &, const std::string &, const mesh_wire::frame_message &)>
        on_send;
    traffic_policy policy;
    std::string api_key;  ///< of the requests sent from now on; empty: none
    std::map<std::uint64_t, traffic_policy> published;  ///< that nodes may fetch, by version

    void schedule_at(time_point when, std::function<void()> action)
    {
        queue_.push(event{when, ++last_id_, std::move(action)});
    }
    void schedule_after(duration d, std::function<void()> action)
    {
        schedule_at(now + d, std::move(action));
    }
    void run_for(duration d)
    {
        time_point end = now + d;
        while (!queue_.empty() && queue_.top().when <= end) {
            event next = queue_.top();
            queue_.pop();
            now = std::max(now, next.when);
            next.action();
        }
        now = end;
    }

    /// Starts a node whose upstream announces itself as ready at once.
    void add_node(const std::string &name, const std::string &zone, const upstream_model &model)
    {
        upstreams[name] = model;
        start_node(name, zone);
        send_heartbeat(name);
    }

    /// Starts or restarts the process of a node.
    void start_node(const std::string &name, const std::string &zone)
    {
        mesh::mesh_settings settings;
        settings.node.name = name;
        settings.node.zone = zone;
        settings.node.service = upstreams[name].service;
        settings.listen.peers = "10.0.0.1:" + std::to_string(++last_port_);
        auto incarnation = static_cast<std::uint64_t>(now.time_since_epoch().count());
        lose_links_of(name);
        nodes.insert_or_assign(name, make_mesh_node(settings, incarnation, random(), now));
        nodes.at(name).features = features;
        nodes.at(name).stored_suspects.expected = nodes_await_suspects;
        nodes.at(name).expects_stored_end = true;
        read_stored_end(name, incarnation);
        read_suspects(name, incarnation);
        if (policy_in_store && now < store_away_until) {
            schedule_at(store_away_until,
                        [this, name, incarnation] { read_policy(name, incarnation); });
        } else {
            read_policy(name, incarnation);
        }
        for (auto &[other, n] : nodes) {
            mesh::node_address address = nodes.at(name).nodes.nodes.at(name).address;
            mesh::node_address other_address = n.nodes.nodes.at(other).address;
            run_node(other, [address](mesh::mesh_turn &t) { handle_address(t, address); });
            run_node(name,
                     [other_address](mesh::mesh_turn &t) { handle_address(t, other_address); });
        }
        tick(name, incarnation);
    }

    /// Delivers a heartbeat of the node's upstream.
    mesh::heartbeat_verdict send_heartbeat(
        const std::string &name, mesh_wire::upstream_state state = mesh_wire::upstream_state::ready)
    {
        std::uint64_t started_ms = 1 + restarts_[name];
        std::string upstream = "u-" + name + (started_ms > 1 ? std::to_string(started_ms) : "");
        mesh::upstream_heartbeat it{
            upstream, upstreams[name].service, "",        started_ms, ++heartbeats_,
            state,    upstreams[name].slots,   duration{}};
        // A paused node gets it later.
        auto verdict = std::make_shared<mesh::heartbeat_verdict>();
        run_node(name, [verdict, it](mesh::mesh_turn &t) { *verdict = handle_heartbeat(t, it); });
        return *verdict;
    }

    /// Sends a caller's request to a node.
    void send_request(const std::string &node, const std::string &id, const std::string &path,
                      duration left)
    {
        submit(node, id, path, left, [this, id](const mesh::caller_answer &answer) {
            caller_result &result = results[id];
            result.status = answer.status;
            result.refusal_reason = answer.why;
            result.retry_after = answer.retry_after;
            result.answered_at = now;
        });
        results[id].sent_at = results[id].sent_at == time_point{} ? now : results[id].sent_at;
    }

    /// Closes the connection of a request's caller.
    void close_caller(const std::string &node, const std::string &id)
    {
        call_ref call = calls_.at(id);
        run_node(node, [call](mesh::mesh_turn &t) { abandon_request(t, call); });
    }

    /// Closes the links between two nodes in both directions.
    void break_links(const std::string &a, const std::string &b)
    {
        for (auto [from, to] : {std::pair(a, b), std::pair(b, a)}) {
            drop_link(from, to);
        }
    }

    void run_node(const std::string &name, const std::function<void(mesh::mesh_turn &)> &action)
    {
        if (paused_nodes.count(name) > 0) {
            schedule_after(milliseconds(10), [this, name, action] { run_node(name, action); });
            return;
        }
        mesh::mesh_actions out;
        mesh::mesh_turn turn{nodes.at(name), now, out};
        action(turn);
        for (mesh::mesh_action &it : out) {
            std::visit([&](auto &output) { perform(name, output); }, it);
        }
        arm_expiry(name);
    }

    /// Ends a run on a node's upstream.
    void end_run(const std::string &node, run_ref run, mesh::run_end end, std::uint16_t status)
    {
        bool has_header = end == mesh::run_end::answered || end == mesh::run_end::not_executed;
        if (has_header) {
            mesh::upstream_notice notice = upstreams.at(node).notice;
            run_node(node,
                     [run, notice](mesh::mesh_turn &t) { handle_upstream_notice(t, run, notice); });
        }
        run_node(node, [run, end, status](mesh::mesh_turn &t) {
            handle_run_result(t, run, mesh::run_result{end, status, "", "", {}});
        });
    }

    /// Ends a node's upstream with all of its runs. A successor starts later.
    void crash_upstream(const std::string &node, const std::string &path = "")
    {
        crashes.push_back(upstream_crash{node, path, now});
        dead_upstreams_.insert(node);
        ++restarts_[node];
        std::vector<run_ref> lost;
        for (auto it = open_runs_.lower_bound({node, run_ref{}});
             it != open_runs_.end() && it->first == node;) {
            lost.push_back(it->second);
            it = open_runs_.erase(it);
        }
        for (run_ref run : lost) {
            schedule_after(duration(0),
                           [this, node, run] { end_run(node, run, mesh::run_end::lost, 0); });
        }
        schedule_after(upstreams.at(node).restart_time, [this, node] {
            dead_upstreams_.erase(node);
            send_heartbeat(node);
        });
    }

    /// \returns whether the upstream of a node has crashed and not started again
    bool is_dead(const std::string &node) const
    {
        return dead_upstreams_.count(node) > 0;
    }

    std::size_t runs_of(const std::string &id) const
    {
        return static_cast<std::size_t>(std::count_if(
            runs.begin(), runs.end(), [&](const upstream_run &it) { return it.request_id == id; }));
    }

private:
    struct event
    {
        time_point when;
        std::uint64_t order;
        std::function<void()> action;
        bool operator<(const event &other) const
        {
            return std::pair(when, order) > std::pair(other.when, other.order);
        }
    };
    struct link
    {
        std::string from;
        std::string to;
    };

    /// Schedules the next expiry of a node unless an earlier one is scheduled.
    void arm_expiry(const std::string &name)
    {
        std::optional<time_point> next = next_expiry(nodes.at(name));
        auto armed = expiry_at_.find(name);
        if (!next || (armed != expiry_at_.end() && armed->second <= *next)) {
            return;
        }
        time_point at = std::max(now, *next);
        expiry_at_[name] = at;
        schedule_at(at, [this, name, at] {
            auto found = expiry_at_.find(name);
            if (found != expiry_at_.end() && found->second == at) {
                expiry_at_.erase(found);
            }
            run_node(name, [](mesh::mesh_turn &t) {
                expire_calls(t);
                expire_runs(t);
            });
        });
    }

    using answer_function = std::function<void(const mesh::caller_answer &)>;

    void submit(const std::string &node, const std::string &id, const std::string &path,
                duration left, answer_function answered)
    {
        call_ref call{++last_id_};
        calls_[id] = call;
        answer_handlers_[call] = std::move(answered);
        auto shared = std::make_shared<mesh::caller_request>();
        mesh::caller_request &it = *shared;
        it.request_id = id;
        it.host = "h";
        it.method = "GET";
        it.target = path;
        it.time_left = left;
        if (!api_key.empty()) {
            it.credentials = {caller_credentials::state::present, api_key};
        }
        run_node(node, [call, shared](mesh::mesh_turn &t) {
            handle_request(t, call, std::move(*shared));
        });
    }

    void tick(const std::string &name, std::uint64_t incarnation)
    {
        if (nodes.at(name).incarnation != incarnation) {
            return;  // the process was restarted meanwhile
        }
        run_node(name, [](mesh::mesh_turn &t) { members_tick(t); });
        schedule_after(mesh::mesh_tick_interval,
                       [this, name, incarnation] { tick(name, incarnation); });
    }

    void deliver(const std::string &from, const std::string &to,
                 const std::function<void()> &action)
    {
        schedule_after(link_delay, [this, from, to, action] {
            if (partitions.count({from, to}) > 0) {
                schedule_after(milliseconds(10),
                               [this, from, to, action] { deliver(from, to, action); });
                return;
            }
            action();
        });
    }

    void perform(const std::string &name, mesh::connect_node &it)
    {
        const std::string &to = it.address.node;
        drop_link(name, to);
        mesh::link_ref ref{++last_id_};
        links_[ref] = link{name, to};
        link_between_[{name, to}] = ref;
        deliver(name, to, [this, ref, name, to] {
            if (links_.count(ref) == 0) {
                return;
            }
            mesh_wire::hello_message hello = own_hello(nodes.at(name), to, now - link_delay);
            run_node(to, [ref, hello](mesh::mesh_turn &t) { handle_hello(t, ref, hello); });
        });
    }

    void perform(const std::string &name, mesh::send_to_node &it)
    {
        auto found = link_between_.find({name, it.node});
        if (found != link_between_.end()) {
            send(name, it.node, found->second, std::move(it.frame), true);
        }
    }

    void perform(const std::string &name, mesh::send_to_link &it)
    {
        auto found = links_.find(it.link);
        if (found != links_.end()) {
            send(name, found->second.from, it.link, std::move(it.frame), false);
        }
    }

    void perform(const std::string &name, mesh::send_to_links &it)
    {
        auto shared = std::make_shared<mesh_wire::frame_message>(std::move(it.frame));
        for (mesh::link_ref ref : it.links) {
            auto found = links_.find(ref);
            if (found != links_.end()) {
                send_shared(name, found->second.from, ref, shared, false);
            }
        }
    }

    void send(const std::string &from, const std::string &to, mesh::link_ref ref,
              mesh_wire::frame_message &&frame, bool is_to_server)
    {
        send_shared(from, to, ref, std::make_shared<mesh_wire::frame_message>(std::move(frame)),
                    is_to_server);
    }

    void send_shared(const std::string &from, const std::string &to, mesh::link_ref ref,
                     const std::shared_ptr<mesh_wire::frame_message> &shared, bool is_to_server)
    {
        if (on_send) {
            on_send(from, to, *shared);
        }
        deliver(from, to, [this, from, to, ref, shared, is_to_server] {
            if (links_.count(ref) > 0) {
                is_to_server ? receive_at_server(to, ref, shared)
                             : receive_at_dialer(from, to, shared);
            }
        });
    }

    void receive_at_server(const std::string &node, mesh::link_ref ref,
                           const std::shared_ptr<mesh_wire::frame_message> &shared)
    {
        run_node(node, [ref, shared](mesh::mesh_turn &t) {
            mesh_wire::frame_message &frame = *shared;
            if (mesh_wire::call_message *call = frame.payload.Ascall()) {
                handle_call(t, ref, std::move(*call));
            } else if (const mesh_wire::cancel_message *it = frame.payload.Ascancel()) {
                handle_cancel(t, ref, it->correlation);
            } else if (const mesh_wire::quota_ask_message *ask = frame.payload.Asquota_ask()) {
                handle_quota_ask(t, ref, *ask);
            } else if (const mesh_wire::end_notice_message *end = frame.payload.Asend_notice()) {
                handle_end_notice(t, ref, *end);
            } else if (frame.payload.Asping() != nullptr) {
                handle_ping(t, ref);
            } else if (frame.payload.Aspolicy_fetch() != nullptr) {
                handle_policy_fetch(t, ref);
            }
        });
    }

    void receive_at_dialer(const std::string &from, const std::string &node,
                           const std::shared_ptr<mesh_wire::frame_message> &shared)
    {
        run_node(node, [this, from, shared](mesh::mesh_turn &t) {
            mesh_wire::frame_message &frame = *shared;
            if (mesh_wire::reply_message *reply = frame.payload.Asreply()) {
                handle_reply(t, from, *reply);
            } else if (const mesh_wire::node_status_message *it = frame.payload.Asnode_status()) {
                handle_status(t, *it);
                if (!t.n.nodes.nodes.at(from).linked) {
                    handle_node_connected(t, from);
                }
            } else if (const auto *batch = frame.payload.Asstatus_batch()) {
                handle_status_batch(t, from, *batch);
            } else if (const auto *crash = frame.payload.Ascrash_news()) {
                handle_crash_news(t, from, *crash);
            } else if (const auto *remembered = frame.payload.Asend_remembered()) {
                handle_end_remembered(t, from, *remembered);
            } else if (const auto *grant = frame.payload.Asquota_grant()) {
                handle_quota_grant(t, from, *grant);
            } else if (const auto *content = frame.payload.Aspolicy_content()) {
                auto known = published.find(content->version);
                if (known != published.end()) {
                    apply_policy(t, known->second, "text", mesh::policy_source::peer);
                }
            } else if (const mesh_wire::chain_news_message *news = frame.payload.Aschain_news()) {
                handle_chain_news(t, *news);
            }
        });
    }

    void drop_link(const std::string &from, const std::string &to)
    {
        auto found = link_between_.find({from, to});
        if (found == link_between_.end()) {
            return;
        }
        mesh::link_ref ref = found->second;
        link_between_.erase(found);
        links_.erase(ref);
        // A paused node handles it later.
        run_node(from, [to](mesh::mesh_turn &t) { handle_node_lost(t, to, {}); });
        run_node(to, [ref](mesh::mesh_turn &t) { handle_link_closed(t, ref); });
    }

    void lose_links_of(const std::string &name)
    {
        if (nodes.count(name) == 0) {
            return;
        }
        for (const auto &[other, n] : nodes) {
            break_links(name, other);
        }
    }

    void perform(const std::string &name, mesh::start_run &it)
    {
        if (dead_upstreams_.count(name) > 0) {
            schedule_after(connect_time, [this, name, run = it.run] {
                end_run(name, run, mesh::run_end::not_sent, 0);
            });
            return;
        }
        runs.push_back(upstream_run{name, it.call.request_id, it.upstream, it.call.customer,
                                    it.call.target, it.left, now});
        const upstream_model &model = upstreams.at(name);
        if (draw_fraction(random) < model.shed) {
            schedule_after(milliseconds(1), [this, name, run = it.run] {
                end_run(name, run, mesh::run_end::not_executed, 503);
            });
            return;
        }
        if (model.errors > 0 && draw_fraction(random) < model.errors) {
            schedule_after(milliseconds(1), [this, name, run = it.run] {
                end_run(name, run, mesh::run_end::answered, 500);
            });
            return;
        }
        if (model.lost > 0 && draw_fraction(random) < model.lost) {
            schedule_after(model.run_time, [this, name, run = it.run] {
                end_run(name, run, mesh::run_end::lost, 0);
            });
            return;
        }
        open_runs_.insert({name, it.run});
        auto crasher =
            std::find_if(crashing.begin(), crashing.end(),
                         [&](const crashing_request &each) { return each.path == it.call.target; });
        if (crasher != crashing.end()) {
            schedule_after(crasher->crash_delay, [this, name, run = it.run, path = crasher->path] {
                if (open_runs_.count({name, run}) > 0) {
                    crash_upstream(name, path);
                }
            });
            return;
        }
        auto calls = model.calls.find(it.call.target);
        nested_calls inner = calls == model.calls.end() ? nested_calls{} : calls->second;
        auto own_time = model.run_times.find(it.call.target);
        duration run_time = own_time == model.run_times.end() ? model.run_time : own_time->second;
        time_point expires = now + it.left;
        schedule_after(run_time, [this, name, run = it.run, id = it.call.request_id, inner,
                                  expires] { make_calls(name, run, id, inner, expires); });
    }

    /// Makes the nested calls of a run sequentially; the run fails with the first call
    /// that fails.
    void make_calls(const std::string &name, run_ref run, const std::string &id, nested_calls rest,
                    time_point expires)
    {
        if (open_runs_.count({name, run}) == 0) {
            return;  // cancelled
        }
        if (rest.times == 0) {
            open_runs_.erase({name, run});
            end_run(name, run, mesh::run_end::answered, 200);
            return;
        }
        --rest.times;
        std::string child = id + "." + std::to_string(++last_id_);
        submit(name, child, rest.path, expires - now,
               [this, name, run, id, rest, expires](const mesh::caller_answer &answer) {
                   if (answer.status == 200) {
                       make_calls(name, run, id, rest, expires);
                       return;
                   }
                   open_runs_.erase({name, run});
                   schedule_after(duration(0), [this, name, run] {
                       end_run(name, run, mesh::run_end::answered, 500);
                   });
               });
    }

    void perform(const std::string &name, mesh::cancel_run &it)
    {
        open_runs_.erase({name, it.run});
    }

    void perform(const std::string &, mesh::answer_caller &it)
    {
        auto found = answer_handlers_.find(it.call);
        if (found == answer_handlers_.end()) {
            return;
        }
        answer_function answered = std::move(found->second);
        answer_handlers_.erase(found);
        auto shared = std::make_shared<mesh::caller_answer>(std::move(it.answer));
        schedule_after(duration(0), [answered, shared] { answered(*shared); });
    }

    void perform(const std::string &, mesh::write_line &it)
    {
        log_lines.push_back(it);
    }

    void perform(const std::string &, mesh::upstream_replaced &) {}

    void perform(const std::string &name, mesh::probe_upstream &)
    {
        schedule_after(connect_time, [this, name] {
            bool is_dead = dead_upstreams_.count(name) > 0;
            run_node(name, [is_dead](mesh::mesh_turn &t) {
                handle_upstream_probe(
                    t, is_dead ? mesh::upstream_probe::refused : mesh::upstream_probe::accepted);
            });
        });
    }

    void perform(const std::string &, mesh::store_chain &it)
    {
        stored_calls[it.route] = it.calls;
    }

    void read_policy(const std::string &name, std::uint64_t incarnation)
    {
        if (nodes.at(name).incarnation == incarnation) {
            run_node(name, [this](mesh::mesh_turn &t) {
                apply_policy(t, policy, "text", mesh::policy_source::store);
            });
        }
    }

    std::vector<kept_suspect> read_stored_suspects() const
    {
        std::vector<kept_suspect> out = stored_suspects;
        for (kept_suspect &it : out) {
            it.age += now - suspects_stored_at;
        }
        return out;
    }

    void read_suspects(const std::string &name, std::uint64_t incarnation)
    {
        schedule_at(std::max(now + store_delay, store_away_until), [this, name, incarnation] {
            if (nodes.at(name).incarnation == incarnation) {
                run_node(name, [row = read_stored_suspects()](mesh::mesh_turn &t) {
                    handle_stored_suspects(t, row);
                });
            }
        });
    }

    void read_stored_end(const std::string &name, std::uint64_t incarnation)
    {
        schedule_at(std::max(now + store_delay, store_away_until), [this, name, incarnation] {
            if (nodes.at(name).incarnation == incarnation) {
                auto found = stored_ends.find(name);
                std::optional<mesh::announced_end> end;
                if (found != stored_ends.end()) {
                    end = found->second;
                }
                run_node(name, [end](mesh::mesh_turn &t) { handle_stored_end(t, end); });
            }
        });
    }

    /// The process writes until the store has the row; the next one does not.
    void perform(const std::string &name, mesh::store_end &it)
    {
        schedule_at(std::max(now + store_delay, store_away_until),
                    [this, name, end = it.end, incarnation = nodes.at(name).incarnation] {
                        if (nodes.at(name).incarnation == incarnation) {
                            stored_ends[name] = end;
                            run_node(name,
                                     [end](mesh::mesh_turn &t) { handle_end_stored(t, end); });
                        }
                    });
    }

    void perform(const std::string &, mesh::end_kept &it)
    {
        acknowledged_ends.push_back(it.upstream);
    }

    void perform(const std::string &name, mesh::store_suspects &it)
    {
        bool works = now >= store_away_until;
        if (works) {
            ++suspect_writes;
            stored_suspects = it.suspects;
            suspects_stored_at = now;
        }
        schedule_after(store_delay, [this, name, works] {
            run_node(name, [works](mesh::mesh_turn &t) { handle_suspects_saved(t, works); });
        });
    }

    static constexpr duration connect_time = microseconds(100);

    std::priority_queue<event> queue_;
    std::map<std::string, time_point> expiry_at_;  ///< of the scheduled expiry, by node
    std::uint64_t last_id_ = 0;
    std::uint64_t heartbeats_ = 0;
    std::set<std::string> dead_upstreams_;  ///< by node
    std::map<std::string, std::uint64_t> restarts_;
    std::uint16_t last_port_ = 1000;
    std::map<mesh::link_ref, link> links_;
    std::map<std::pair<std::string, std::string>, mesh::link_ref> link_between_;  ///< from, to
    std::map<std::string, call_ref> calls_;
    std::map<call_ref, answer_function> answer_handlers_;
    std::set<std::pair<std::string, run_ref>> open_runs_;
};

/// \returns a route of the host "h"
inline traffic_route route_of(const std::string &name, const std::string &prefix,
                              const std::string &service, idempotency repeats,
                              std::uint32_t priority = 0)
{
    return traffic_route{name,       "h",      prefix, repeats,       seconds(5),
                         seconds(1), priority, 2,      {{service, 1}}};
}

/// \returns a policy with the given routes and customers
inline traffic_policy policy_of(std::uint64_t version, std::vector<traffic_route> routes,
                                std::vector<customer_declaration> customers)
{
    return value_of(
        make_policy(version, std::move(routes), {}, caller_limits{},
                    value_of(make_customer_index(std::move(customers), digest_secret{}))));
}

/// \returns a policy with the given routes
inline traffic_policy policy_of(std::uint64_t version, std::vector<traffic_route> routes)
{
    return value_of(make_policy(version, std::move(routes), {}, caller_limits{}));
}

}  // namespace gullstall::test

#endif
