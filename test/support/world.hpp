#ifndef GULLSTALL_TEST_SUPPORT_WORLD_HPP
#define GULLSTALL_TEST_SUPPORT_WORLD_HPP

#include <functional>
#include <map>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "gullstall/node.hpp"
#include "test/standins/platform_store.hpp"

namespace gullstall::test {

/// Simulates a cluster of nodes in virtual time: delivers frames, platform
/// answers and timers, with delay, loss, network partitions and paused nodes. It
/// models neither topology nor machines; workers are a function of the test.
class simulation
{
public:
    /// Called when a node runs a call on its worker; completes it by answer_run().
    using worker_function = std::function<void(const std::string &instance, run_on_worker &&run)>;
    /// Called for every final answer.
    using answer_function =
        std::function<void(const std::string &instance, call_ref call, caller_answer &&answer)>;

    explicit simulation(std::uint64_t seed) : random(seed) {}

    time_point now{seconds(1000)};
    random_source random;
    standin::platform_store platform;
    std::map<std::string, node> nodes;
    worker_function on_run;
    std::function<void(const std::string &instance, run_ref run)> on_cancel;
    answer_function on_answer;

    duration link_delay = microseconds(500);
    duration platform_delay = milliseconds(2);
    double loss_rate = 0;  ///< fraction of frames that are lost
    std::set<std::pair<std::string, std::string>>
        partitions;                             ///< pairs of zones without a connection
    std::set<std::string> platform_partitions;  ///< zones without a connection to the platform
    std::set<std::string> unreachable_workers;  ///< instances whose worker accepts no connections
    std::map<std::string, std::uint64_t> bytes_sent;  ///< by instance, if count_bytes is set
    bool count_bytes = false;
    duration tick_period =
        tick_interval;  ///< can be longer in long simulations without short deadlines
    /// If set, answers instead of the platform; may call platform.ask().
    std::function<platform_answer(const platform_request &what)> on_platform_request;

    /// Calls \a what at \a when.
    void at(time_point when, std::function<void()> what)
    {
        queue_.push(entry{when, ++last_order_, std::move(what)});
    }
    void after(duration d, std::function<void()> what)
    {
        at(now + d, std::move(what));
    }

    /// Runs everything due up to \a end.
    void run_until(time_point end)
    {
        while (!queue_.empty() && queue_.top().when <= end) {
            entry next = queue_.top();
            queue_.pop();
            now = next.when;
            next.what();
        }
        now = end;
    }
    void run_for(duration d)
    {
        run_until(now + d);
    }

    duration clock_set_back{};  ///< by which the wall clock of nodes added from now on is behind

    /// Adds a node and starts its ticks. Its worker registers at once unless
    /// \a announce is false.
    node &add_node(const node_settings &settings, bool announce = true)
    {
        const std::string &name = settings.node.instance;
        time_point wall_clock = now - clock_set_back;
        auto incarnation = static_cast<std::uint64_t>(wall_clock.time_since_epoch().count());
        nodes.insert_or_assign(name, value_of(make_node(settings, incarnation, random())));
        ++generations_[name];
        paused_.erase(name);
        schedule_tick(name, generations_[name]);
        if (announce) {
            feed(name, worker_announced{settings.worker.slots});
        }
        return nodes.at(name);
    }

    /// Kills a node. It sends nothing more and the connections of its peers break.
    void kill(const std::string &name)
    {
        nodes.erase(name);
        ++generations_[name];
        paused_.erase(name);
        for (auto &[other, n] : nodes) {
            std::string peer = other;
            after(link_delay, [this, peer, name] { feed(peer, peer_unreachable{name, {}}); });
        }
    }

    /// Pauses a node. Its events are queued until resume().
    void pause(const std::string &name)
    {
        paused_[name];
    }
    /// Resumes a node without the queued events, as if its connections had broken.
    void resume_without_events(const std::string &name)
    {
        paused_.erase(name);
    }
    void resume(const std::string &name)
    {
        auto held = std::move(paused_[name]);
        paused_.erase(name);
        for (event &it : held) {
            feed(name, std::move(it));
        }
    }

    /// Passes an event to a node immediately and carries out the resulting actions.
    void feed(const std::string &name, event what)
    {
        auto it = nodes.find(name);
        if (it == nodes.end()) {
            return;
        }
        auto frozen = paused_.find(name);
        if (frozen != paused_.end()) {
            if (!std::holds_alternative<tick>(what)) {
                frozen->second.push_back(std::move(what));
            }
            return;
        }
        for (action &done : step(it->second, now, std::move(what))) {
            carry_out(name, std::move(done));
        }
    }

    /// Sends a call of a caller to the node \a entry.
    call_ref call(const std::string &entry, call_request request)
    {
        call_ref id{++last_call_};
        feed(entry, call_arrived{id, std::move(request)});
        return id;
    }

    /// Ends a run on the worker of \a instance.
    void answer_run(const std::string &instance, run_ref run, worker_end end,
                    std::uint16_t status = 200, body_bytes body = {})
    {
        feed(instance, worker_answered{run, end, status, "", std::move(body)});
    }

    bool is_partitioned(const std::string &zone_a, const std::string &zone_b) const
    {
        return partitions.count({zone_a, zone_b}) > 0 || partitions.count({zone_b, zone_a}) > 0;
    }

private:
    struct entry
    {
        time_point when;
        std::uint64_t order;
        std::function<void()> what;

        bool operator<(const entry &other) const
        {
            return std::tie(when, order) > std::tie(other.when, other.order);
        }
    };

    void schedule_tick(const std::string &name, std::uint64_t life)
    {
        after(tick_period, [this, name, life] {
            if (generations_[name] != life) {
                return;
            }
            feed(name, tick{});
            schedule_tick(name, life);
        });
    }

    void carry_out(const std::string &name, action &&what)
    {
        if (auto *frame = std::get_if<send_frame>(&what)) {
            send(name, std::move(*frame));
        } else if (auto *ask = std::get_if<request_platform>(&what)) {
            answer_platform_request(name, std::move(*ask));
        } else if (auto *run = std::get_if<run_on_worker>(&what)) {
            if (on_run) {
                on_run(name, std::move(*run));
            }
        } else if (auto *cancel = std::get_if<cancel_on_worker>(&what)) {
            if (on_cancel) {
                on_cancel(name, cancel->run);
            }
        } else if (std::holds_alternative<check_worker>(what)) {
            after(link_delay, [this, name] {
                feed(name, worker_checked{unreachable_workers.count(name) == 0});
            });
        } else if (auto *answer = std::get_if<answer_call>(&what)) {
            if (on_answer) {
                on_answer(name, answer->call, std::move(answer->answer));
            }
        }
    }

    std::string resolve(const send_frame &order) const
    {
        if (!order.instance.empty()) {
            return order.instance;
        }
        for (const auto &[name, n] : nodes) {
            const auto &listen = n.settings.listen;
            if (endpoint{listen.address, listen.peers_port} == order.to) {
                return name;
            }
        }
        return "";
    }

    void send(const std::string &from, send_frame &&order)
    {
        std::string to = resolve(order);
        if (count_bytes) {
            bytes_sent[from] += encode_frame(order.frame).size();
        }
        auto receiver = nodes.find(to);
        const std::string zone = nodes.at(from).settings.node.zone;
        if (receiver == nodes.end() || is_partitioned(zone, receiver->second.settings.node.zone)) {
            after(link_delay, [this, from, to] { feed(from, peer_unreachable{to, {}}); });
            return;
        }
        if (loss_rate > 0 && draw_fraction(random) < loss_rate) {
            return;
        }
        auto held = std::make_shared<wire::frame_message>(std::move(order.frame));
        after(link_delay, [this, to, held] { feed(to, frame_arrived{std::move(*held)}); });
    }

    void answer_platform_request(const std::string &from, request_platform &&order)
    {
        bool cut = platform_partitions.count(nodes.at(from).settings.node.zone) > 0;
        platform_answer answer = cut ? platform_answer{platform_status::unavailable, {}, {}}
                                 : on_platform_request ? on_platform_request(order.what)
                                                       : platform.ask(order.what);
        std::uint64_t life = generations_[from];
        platform_ref id = order.request;
        after(platform_delay, [this, from, life, id, answer] {
            if (generations_[from] == life) {
                feed(from, platform_answered{id, answer});
            }
        });
    }

    std::priority_queue<entry> queue_;
    std::map<std::string, std::uint64_t> generations_;
    std::map<std::string, std::vector<event>> paused_;
    std::uint64_t last_order_ = 0;
    std::uint64_t last_call_ = 0;
};

/// \returns settings of a test node; \a number must differ between nodes and selects the port
inline node_settings make_settings(const std::string &instance, const std::string &zone,
                                   const std::string &service, std::uint16_t number,
                                   std::uint32_t slots, std::vector<trusted_key> keys)
{
    constexpr std::uint16_t first_port = 20000;
    node_settings out;
    out.node.instance = instance;
    out.node.zone = zone;
    out.node.service = service;
    out.listen.address = "127.0.0.1";
    out.listen.peers_port = static_cast<std::uint16_t>(first_port + number);
    out.worker.slots = slots;
    out.worker.connections = slots;
    out.trusted_keys = std::move(keys);
    return out;
}

/// Signs bundles and publishes them directly to the platform store.
struct test_publisher
{
    key_pair keys = value_of(make_key_pair());

    std::vector<trusted_key> trusted() const
    {
        return {trusted_key{"board", keys.public_key}};
    }

    /// \returns \a text in canonical form, signed
    std::string sign(const std::string &text) const
    {
        return value_of(add_signature("test", text, "board", keys.private_key));
    }

    /// Signs and publishes \a text. Replaces `previous = none` by the digest of the
    /// version published before.
    void publish(standin::platform_store &platform, std::string text) const
    {
        const std::string none = "previous = none";
        std::size_t at = text.find(none);
        auto before = platform.rows.find(bundle_head_key);
        if (before != platform.rows.end() && at != std::string::npos) {
            text.replace(at, none.size(),
                         "previous = " + value_of(parse_head(before->second.value)).digest);
        }
        put(platform, sign(text), "test");
    }

    /// Stores a signed bundle in the platform as the published version.
    static void put(standin::platform_store &platform, const std::string &stored,
                    const std::string &token)
    {
        std::string canonical = value_of(parse_signed(stored)).text;
        bundle_head head =
            head_of(value_of(parse_bundle("test", canonical)), stored, canonical, token);
        platform.objects[bundle_object_name(head.object)] = stored;
        for (const std::string &key :
             {std::string(bundle_head_key), bundle_version_key(head.version)}) {
            table_row &row = platform.rows[key];
            row = table_row{key, row.version + 1, print_head(head)};
        }
    }
};

}  // namespace gullstall::test

#endif
