/// What membership costs a node, over growing numbers of nodes. Messages, bytes
/// and times of spread are of virtual time; processor time is that of step()
/// and of the codec on this machine.

#include <array>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <queue>
#include <vector>

#include "gullstall/node.hpp"
#include "test/support/world.hpp"

using namespace gullstall;

namespace {

constexpr std::array<std::size_t, 6> sizes{10, 60, 120, 200, 350, 560};
constexpr std::size_t zones = 7;
constexpr std::size_t services = 21;
constexpr duration link_delay = microseconds(500);
constexpr duration tick_every = milliseconds(20);
constexpr duration measure_for = seconds(20);
constexpr std::size_t transport_bytes = 66;  // Ethernet, IP and TCP headers of a packet
constexpr double us_per_second = 1e6;

/// What was measured at one number of nodes, per node unless it says otherwise.
struct measurement
{
    std::size_t nodes = 0;
    double messages_per_second = 0;
    double bytes_per_second = 0;  ///< sent, with the headers of the packets
    double cpu_percent = 0;       ///< of one core, control alone
    double state_kb = 0;          ///< of the member table and the gossip
    double connections = 0;
    double table_writes_per_second = 0;  ///< of the whole fleet
    double table_reads_per_second = 0;   ///< of the whole fleet, a row each
    double spread_ms = 0;                ///< until a leave was known everywhere
    double crash_ms = 0;                 ///< until a silent crash was known everywhere
    double meet_ms = 0;                  ///< until all knew all, after a start of all at once
    double join_peak_bytes = 0;          ///< sent in the busiest second of a start of all at once
    bool met = false;
};

/// Nodes joined by a queue of frames that are encoded, as on the wire.
class fleet
{
public:
    explicit fleet(std::size_t n)
    {
        publisher_.publish(platform_, bundle);
        for (std::size_t i = 0; i < n; ++i) {
            add(i);
        }
    }

    void run_for(duration d)
    {
        time_point end = now_ + d;
        while (!queue_.empty() && queue_.top().when <= end) {
            item next = queue_.top();
            queue_.pop();
            now_ = next.when;
            deliver(next);
        }
        now_ = end;
    }

    void feed(std::size_t to, event what)
    {
        if (silent_[to]) {
            return;
        }
        auto begin = std::chrono::steady_clock::now();
        actions done = step(nodes_[to], now_, std::move(what));
        std::vector<std::pair<std::size_t, std::string>> sent;
        for (action &it : done) {
            if (auto *frame = std::get_if<send_frame>(&it)) {
                sent.emplace_back(index_of(*frame), encode_frame(frame->frame));
            }
        }
        cpu_ += std::chrono::steady_clock::now() - begin;
        for (auto &[receiver, bytes] : sent) {
            send(to, receiver, std::move(bytes));
        }
        for (action &it : done) {
            if (auto *ask = std::get_if<request_platform>(&it)) {
                answer(to, *ask);
            }
        }
    }

    std::size_t count_seeing(std::size_t about, wire::member_state state) const
    {
        const std::string &name = nodes_[about].settings.node.instance;
        std::size_t n = 0;
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            auto found = nodes_[i].members.members.find(name);
            bool known = found != nodes_[i].members.members.end();
            n += i != about && known && found->second.state == state ? 1 : 0;
        }
        return n;
    }

    double spread_ms(std::size_t about, wire::member_state state)
    {
        constexpr duration look = milliseconds(10);
        constexpr duration limit = seconds(30);
        time_point begin = now_;
        while (count_seeing(about, state) < nodes_.size() - 1 && now_ - begin < limit) {
            run_for(look);
        }
        return static_cast<double>((now_ - begin).count()) / 1000;
    }

    bool all_met() const
    {
        for (const node &it : nodes_) {
            if (it.members.members.size() != nodes_.size()) {
                return false;
            }
        }
        return true;
    }

    void silence(std::size_t i)
    {
        silent_[i] = true;
    }

    void reset_counts()
    {
        cpu_ = {};
        messages_ = bytes_ = writes_ = reads_ = 0;
    }

    measurement measure(duration d)
    {
        reset_counts();
        run_for(d);
        measurement out;
        out.nodes = nodes_.size();
        double s = static_cast<double>(d.count()) / us_per_second;
        double n = static_cast<double>(nodes_.size());
        out.messages_per_second = static_cast<double>(messages_) / s / n;
        out.bytes_per_second = static_cast<double>(bytes_) / s / n;
        out.cpu_percent = std::chrono::duration<double>(cpu_).count() / s / n * 100;
        out.table_writes_per_second = static_cast<double>(writes_) / s;
        out.table_reads_per_second = static_cast<double>(reads_) / s;
        std::size_t connections = 0;
        for (const node &it : nodes_) {
            connections += it.gossip.neighbours.size();
        }
        out.connections = static_cast<double>(connections) / n;
        out.met = all_met();
        return out;
    }

    std::size_t size() const
    {
        return nodes_.size();
    }
    std::uint64_t bytes() const
    {
        return bytes_;
    }

private:
    struct item
    {
        time_point when;
        std::uint64_t order;
        std::size_t to;
        std::shared_ptr<std::string> frame;  ///< none: a tick or an answer
        std::shared_ptr<platform_answered> answer;

        bool operator<(const item &other) const
        {
            return std::tie(when, order) > std::tie(other.when, other.order);
        }
    };

    void add(std::size_t i)
    {
        constexpr std::uint16_t first_port = 20000;
        node_settings it;
        it.node.instance = "instance-" + std::to_string(i);
        it.node.zone = "zone-" + std::to_string(i % zones);
        it.node.region = i % zones < zones / 2 ? "region-1" : "region-2";
        it.node.service = "service-" + std::to_string(i % services);
        it.listen.address = "10.0.0.1";
        it.listen.peers_port = static_cast<std::uint16_t>(first_port + i);
        it.worker.slots = 100;
        it.worker.connections = 800;
        it.trusted_keys = publisher_.trusted();
        nodes_.push_back(value_of(make_node(it, 1000 + i, 7 * i + 1)));
        silent_.push_back(false);
        // Ticks of different nodes do not fall on the same moment.
        push(now_ + microseconds(37 * i % tick_every.count()), i, nullptr, nullptr);
        feed(i, worker_announced{100});
    }

    void push(time_point when, std::size_t to, std::shared_ptr<std::string> frame,
              std::shared_ptr<platform_answered> answer)
    {
        queue_.push(item{when, ++last_, to, std::move(frame), std::move(answer)});
    }

    void deliver(item &next)
    {
        if (next.answer) {
            feed(next.to, std::move(*next.answer));
            return;
        }
        if (!next.frame) {
            push(now_ + tick_every, next.to, nullptr, nullptr);
            feed(next.to, tick{});
            return;
        }
        auto begin = std::chrono::steady_clock::now();
        std::string_view bytes(*next.frame);
        bytes.remove_prefix(frame_prefix_bytes);
        result<wire::frame_message> frame = decode_frame(bytes);
        cpu_ += std::chrono::steady_clock::now() - begin;
        feed(next.to, frame_arrived{value_of(std::move(frame))});
    }

    static std::size_t index_of(const send_frame &it)
    {
        if (!it.instance.empty()) {
            return std::stoul(it.instance.substr(it.instance.find('-') + 1));
        }
        constexpr std::uint16_t first_port = 20000;
        return static_cast<std::size_t>(it.to.port - first_port);
    }

    void send(std::size_t from, std::size_t to, std::string &&bytes)
    {
        ++messages_;
        bytes_ += bytes.size() + transport_bytes;
        if (!silent_[from] && !silent_[to]) {
            push(now_ + link_delay, to, std::make_shared<std::string>(std::move(bytes)), nullptr);
        }
    }

    void answer(std::size_t from, const request_platform &asked)
    {
        const auto *commit = std::get_if<table_commit>(&asked.what);
        bool writes =
            commit != nullptr && commit->rows.front().key.rfind(member_row_prefix, 0) == 0;
        bool reads = std::holds_alternative<table_scan>(asked.what);
        platform_answer answer = platform_.ask(asked.what);
        writes_ += writes ? 1 : 0;  // of membership alone
        reads_ += reads ? std::max<std::size_t>(1, answer.rows.size()) : 0;
        auto held = std::make_shared<platform_answered>(
            platform_answered{asked.request, std::move(answer)});
        push(now_ + milliseconds(2), from, nullptr, std::move(held));
    }

    static constexpr const char *bundle =
        "[bundle]\nversion = 1\nprevious = none\nauthor = bench\nreference = CB-1\n";

    test::test_publisher publisher_;
    time_point now_{seconds(1000)};
    std::vector<node> nodes_;
    std::vector<bool> silent_;
    standin::platform_store platform_;
    std::priority_queue<item> queue_;
    std::uint64_t last_ = 0;
    std::chrono::steady_clock::duration cpu_{};
    std::uint64_t messages_ = 0;
    std::uint64_t bytes_ = 0;
    std::uint64_t writes_ = 0;
    std::uint64_t reads_ = 0;
};

/// \returns the resident memory of this process, kilobytes
double resident_kb()
{
    double pages = 0;
    if (std::FILE *file = std::fopen("/proc/self/statm", "r")) {
        double all = 0;
        if (std::fscanf(file, "%lf %lf", &all, &pages) != 2) {
            pages = 0;
        }
        std::fclose(file);
    }
    constexpr double page_kb = 4;
    return pages * page_kb;
}

/// Starts all nodes at once and lets them meet, then rest.
void meet(fleet &it, measurement &out)
{
    constexpr duration limit = seconds(180);
    constexpr duration rest = seconds(20);
    for (duration passed{}; passed < limit && !it.all_met(); passed += seconds(1)) {
        std::uint64_t before = it.bytes();
        it.run_for(seconds(1));
        double sent = static_cast<double>(it.bytes() - before) / static_cast<double>(it.size());
        out.join_peak_bytes = std::max(out.join_peak_bytes, sent);
        out.meet_ms = static_cast<double>(to_ms(passed + seconds(1)));
    }
    it.run_for(rest);
}

measurement measure_size(std::size_t n)
{
    double before = resident_kb();
    fleet it(n);
    measurement met;
    meet(it, met);
    measurement out = it.measure(measure_for);
    out.join_peak_bytes = met.join_peak_bytes;
    out.meet_ms = met.meet_ms;
    out.state_kb = (resident_kb() - before) / static_cast<double>(n);
    it.feed(n / 2, worker_leaving{});
    out.spread_ms = it.spread_ms(n / 2, wire::member_state::leaving);
    it.silence(n / 3);
    out.crash_ms = it.spread_ms(n / 3, wire::member_state::dead);
    return out;
}

void print_fit(const char *name, const std::vector<measurement> &rows, double measurement::*value,
               bool logarithmic)
{
    double n = static_cast<double>(rows.size());
    double sx = 0;
    double sy = 0;
    double sxx = 0;
    double sxy = 0;
    auto place = [&](const measurement &it) {
        double nodes = static_cast<double>(it.nodes);
        return logarithmic ? std::log2(nodes) : nodes;
    };
    for (const measurement &it : rows) {
        double x = place(it);
        sx += x;
        sy += it.*value;
        sxx += x * x;
        sxy += x * it.*value;
    }
    double slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
    double base = (sy - slope * sx) / n;
    double residual = 0;
    for (const measurement &it : rows) {
        residual = std::max(residual, std::abs(it.*value - base - slope * place(it)));
    }
    std::printf("fit %-12s = %.4g + %.4g * %s, largest residual %.3g\n", name, base, slope,
                logarithmic ? "log2(nodes)" : "nodes", residual);
}

}  // namespace

int main()
{
    std::printf("membership, per node, at rest for %lld s of virtual time after all have met\n",
                static_cast<long long>(duration_cast<seconds>(measure_for).count()));
    std::printf(
        "nodes  msg/s  bytes/s  cpu%%   state KB  connections  table w/s  r/s   leave ms  "
        "crash ms  meet ms  join peak B/s  met\n");
    measure_size(sizes.front());  // the allocator's first pages are no state of a node
    std::vector<measurement> rows;
    for (std::size_t n : sizes) {
        measurement it = measure_size(n);
        rows.push_back(it);
        std::printf(
            "%5zu  %5.1f  %7.0f  %5.3f  %8.0f  %11.1f  %9.2f  %4.1f  %8.0f  %8.0f  %7.0f  %13.0f  "
            "%s\n",
            it.nodes, it.messages_per_second, it.bytes_per_second, it.cpu_percent, it.state_kb,
            it.connections, it.table_writes_per_second, it.table_reads_per_second, it.spread_ms,
            it.crash_ms, it.meet_ms, it.join_peak_bytes, it.met ? "yes" : "NO");
        std::fflush(stdout);
    }
    print_fit("msg/s", rows, &measurement::messages_per_second, true);
    print_fit("bytes/s", rows, &measurement::bytes_per_second, true);
    print_fit("cpu%", rows, &measurement::cpu_percent, false);
    print_fit("state KB", rows, &measurement::state_kb, false);
    print_fit("connections", rows, &measurement::connections, true);
    print_fit("table w/s", rows, &measurement::table_writes_per_second, false);
    print_fit("leave ms", rows, &measurement::spread_ms, true);
    return 0;
}
