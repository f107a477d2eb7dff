/// Added time of a call: through two nodes (one entry hop, one peer hop) against
/// straight to the worker, in turn in one run. bench/added_time.sh starts the
/// programs and gives the ports.

#include <unistd.h>
#include <CLI/CLI.hpp>
#include <algorithm>
#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <map>

#include "gullstall/core.hpp"
#include "gullstall/src/runtime/callers_http.hpp"
#include "gullstall/src/runtime/http_client.hpp"

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace rt = gullstall::runtime;
using wall = std::chrono::system_clock;

struct bench_options
{
    std::uint16_t worker_port = 0;
    std::vector<std::uint16_t> entry_ports{0};
    std::vector<std::uint16_t> admin_ports;
    std::vector<int> pids;
    std::string target = "boxwatch/status";
    double rate = 825;
    double seconds = 10;
    std::size_t body_bytes = 256;
    int connections = 1000;
};

asio::ip::tcp::endpoint on_loopback(std::uint16_t port)
{
    return {asio::ip::make_address("127.0.0.1"), port};
}

double us_between(wall::time_point from, wall::time_point to)
{
    return std::chrono::duration<double, std::micro>(to - from).count();
}

double quantile(std::vector<double> values, double q)
{
    if (values.empty()) {
        return std::nan("");
    }
    std::sort(values.begin(), values.end());
    auto i = static_cast<std::size_t>(q * static_cast<double>(values.size()));
    return values[std::min(i, values.size() - 1)];
}

/// Processor time that a process has used, seconds.
double cpu_seconds(int pid)
{
    std::ifstream in("/proc/" + std::to_string(pid) + "/stat");
    std::string text((std::istreambuf_iterator<char>(in)), {});
    std::vector<std::string> parts;
    std::string rest = text.substr(text.rfind(')') + 2);
    boost::algorithm::split(parts, rest, boost::algorithm::is_any_of(" "));
    constexpr std::size_t user_time = 11;
    constexpr std::size_t system_time = 12;
    return (std::stod(parts.at(user_time)) + std::stod(parts.at(system_time))) /
           static_cast<double>(sysconf(_SC_CLK_TCK));
}

/// Resident memory of a process, KiB.
double resident_kib(int pid)
{
    std::ifstream in("/proc/" + std::to_string(pid) + "/statm");
    double size = 0;
    double resident = 0;
    in >> size >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1024;
}

struct samples
{
    std::vector<double> direct;
    std::vector<double> through;
    std::vector<double> difference;
    std::map<std::string, std::pair<double, double>> ends;  ///< by request id, when sent and back
    int failed = 0;
};

class added_time
{
public:
    explicit added_time(bench_options options)
        : options_(std::move(options)),
          straight_(io_, on_loopback(options_.worker_port), body_limit),
          entry_(io_, on_loopback(options_.entry_ports.front()), body_limit)
    {
    }

    void run()
    {
        run_now(warm_up());
        report("added time at 30 % of the worker's slots", measure(options_.rate));
        double capacity = measure_capacity();
        report("added time at 30 % of a node's capacity", measure(capacity * load_share));
        measure_memory();
    }

private:
    static constexpr std::uint64_t body_limit = 16U << 20U;
    static constexpr double load_share = 0.3;

    void run_now(asio::awaitable<void> what)
    {
        asio::co_spawn(io_, std::move(what), asio::detached);
        io_.restart();
        io_.run();
    }

    rt::http_request make_request(const std::string &target, const std::string &id) const
    {
        rt::http_request out{http::verb::post, target, 11};
        out.set(http::field::host, "bench");
        out.set(rt::header::request_id, id);
        out.body().assign(options_.body_bytes, 'x');
        return out;
    }

    asio::awaitable<bool> call(rt::http_client &client, const std::string &target,
                               const std::string &id)
    {
        rt::exchange it =
            co_await client.send(make_request(target, id), gullstall::seconds(30), nullptr);
        co_return it.end == rt::exchange_end::answered &&it.response.result() ==
            http::status::ok &&it.response.body().size() == options_.body_bytes;
    }

    /// Calls of one request id are joined by the nodes, so each has its own.
    std::string next_id(const char *kind)
    {
        return std::string(kind) + "-" + std::to_string(++last_id_);
    }

    std::string operation() const
    {
        return options_.target.substr(options_.target.find('/'));
    }

    asio::awaitable<void> warm_up()
    {
        constexpr int calls = 500;
        for (int i = 0; i < calls; ++i) {
            (void)co_await call(straight_, operation(), "warm");
            (void)co_await call(entry_, "/call/" + options_.target, next_id("warm"));
        }
    }

    /// One pair: straight to the worker, then through the nodes.
    asio::awaitable<void> measure_pair(samples &out, std::string id)
    {
        wall::time_point start = wall::now();
        bool good = co_await call(straight_, operation(), id);
        wall::time_point middle = wall::now();
        good = co_await call(entry_, "/call/" + options_.target, id) && good;
        wall::time_point end = wall::now();
        if (!good) {
            ++out.failed;
            co_return;
        }
        out.direct.push_back(us_between(start, middle));
        out.through.push_back(us_between(middle, end));
        out.difference.push_back(out.through.back() - out.direct.back());
        out.ends[id] = {us_between({}, middle), us_between({}, end)};
    }

    asio::awaitable<void> arrive(samples &out, double rate)
    {
        asio::steady_timer timer(io_);
        auto count = static_cast<int>(rate * options_.seconds);
        auto next = std::chrono::steady_clock::now();
        for (int i = 0; i < count; ++i) {
            double wait = -std::log(1 - gullstall::draw_fraction(random_)) / rate;
            next += std::chrono::nanoseconds(static_cast<std::int64_t>(wait * 1e9));
            timer.expires_at(next);
            co_await timer.async_wait(asio::use_awaitable);
            asio::co_spawn(io_, measure_pair(out, next_id("probe")), asio::detached);
        }
    }

    samples measure(double rate)
    {
        std::printf("rate %.0f pairs a second for %.0f s\n", rate, options_.seconds);
        samples out;
        run_now(arrive(out, rate));
        return out;
    }

    void report(const char *title, const samples &it)
    {
        std::printf("%s: %zu pairs, %d failed, microseconds\n", title, it.difference.size(),
                    it.failed);
        std::printf("  %-12s median %8.0f  p99 %8.0f\n", "straight", quantile(it.direct, 0.5),
                    quantile(it.direct, 0.99));
        std::printf("  %-12s median %8.0f  p99 %8.0f\n", "through", quantile(it.through, 0.5),
                    quantile(it.through, 0.99));
        std::printf("  %-12s median %8.0f  p99 %8.0f  (target: p99 960)\n", "difference",
                    quantile(it.difference, 0.5), quantile(it.difference, 0.99));
        report_hops(it);
        std::fflush(stdout);
    }

    /// Splits the time of a call by the events of the nodes' time lines.
    void report_hops(const samples &it)
    {
        std::map<std::string, std::map<std::string, double>> marks;
        for (std::uint16_t port : options_.admin_ports) {
            run_now(read_timeline(port, marks));
        }
        const std::vector<std::pair<const char *, std::pair<std::string, std::string>>> hops{
            {"caller to entry's decisions (TCP, 1 ring)", {"", "call_taken"}},
            {"taken to sent (decisions)", {"call_taken", "call_sent"}},
            {"entry to upstream's decisions (2 rings, TCP)", {"call_sent", "run_started"}},
            {"worker and back (2 rings, 2 TCP)", {"run_started", "run_finished"}},
            {"upstream to entry's decisions (2 rings, TCP)", {"run_finished", "call_answered"}},
            {"answered to caller (1 ring, TCP)", {"call_answered", ""}}};
        for (const auto &[name, ends] : hops) {
            std::vector<double> times;
            for (const auto &[id, outer] : it.ends) {
                auto found = marks.find(id);
                if (found == marks.end()) {
                    continue;
                }
                auto &mark = found->second;
                bool known = (ends.first.empty() || mark.count(ends.first) > 0) &&
                             (ends.second.empty() || mark.count(ends.second) > 0);
                if (known) {
                    double from = ends.first.empty() ? outer.first : mark[ends.first];
                    double to = ends.second.empty() ? outer.second : mark[ends.second];
                    times.push_back(to - from);
                }
            }
            std::printf("    %-46s median %6.0f  p99 %6.0f  (%zu calls)\n", name,
                        quantile(times, 0.5), quantile(times, 0.99), times.size());
        }
    }

    asio::awaitable<void> read_timeline(std::uint16_t port,
                                        std::map<std::string, std::map<std::string, double>> &marks)
    {
        rt::http_client client(io_, on_loopback(port), 256U << 20U);
        rt::exchange it = co_await client.send(rt::http_request{http::verb::get, "/timeline", 11},
                                               gullstall::seconds(30), nullptr);
        std::string text(it.response.body().begin(), it.response.body().end());
        std::vector<std::string> lines;
        boost::algorithm::split(lines, text, boost::algorithm::is_any_of("\n"));
        for (const std::string &line : lines) {
            if (line.empty()) {
                continue;
            }
            boost::json::value event = boost::json::parse(line);
            std::string id(event.at("request").as_string());
            std::string kind(event.at("kind").as_string());
            marks[id][kind] = event.at("clock").to_number<double>();
        }
    }

    asio::awaitable<void> call_until(std::chrono::steady_clock::time_point end, int &answered)
    {
        while (std::chrono::steady_clock::now() < end) {
            answered += co_await call(entry_, "/call/" + options_.target, next_id("load")) ? 1 : 0;
        }
    }

    /// Closed loop without pauses. \returns calls a second
    double measure_capacity()
    {
        constexpr int callers = 48;
        constexpr double duration_s = 3;
        std::vector<double> before;
        for (int pid : options_.pids) {
            before.push_back(cpu_seconds(pid));
        }
        int answered = 0;
        auto end = std::chrono::steady_clock::now() + std::chrono::seconds(3);
        for (int i = 0; i < callers; ++i) {
            asio::co_spawn(io_, call_until(end, answered), asio::detached);
        }
        io_.restart();
        io_.run();
        std::printf("capacity, %d callers without pauses: %.0f calls a second\n", callers,
                    answered / duration_s);
        const char *names[] = {"entry node", "serving node"};
        for (std::size_t i = 0; i < options_.pids.size(); ++i) {
            double used = cpu_seconds(options_.pids[i]) - before[i];
            std::printf("  %-14s %6.2f cores, %8.0f calls a second per core\n", names[i % 2],
                        used / duration_s, answered / used);
        }
        return answered / duration_s;
    }

    asio::awaitable<void> set_service_ms(int ms)
    {
        rt::http_request request{http::verb::post, "/control/service-ms/" + std::to_string(ms), 11};
        (void)co_await straight_.send(std::move(request), gullstall::seconds(10), nullptr);
    }

    asio::awaitable<void> hold_one()
    {
        rt::http_client client(io_, on_loopback(options_.entry_ports.front()), body_limit);
        (void)co_await call(client, "/call/" + options_.target, next_id("held"));
    }

    asio::awaitable<void> look_at_memory(std::vector<double> &out)
    {
        asio::steady_timer timer(io_, std::chrono::milliseconds(1000));
        co_await timer.async_wait(asio::use_awaitable);
        for (int pid : options_.pids) {
            out.push_back(resident_kib(pid));
        }
    }

    void measure_memory()
    {
        std::vector<double> base;
        std::vector<double> idle;
        std::vector<double> busy;
        run_now(look_at_memory(base));
        std::vector<asio::ip::tcp::socket> open;
        for (int i = 0; i < options_.connections; ++i) {
            open.emplace_back(io_);
            open.back().connect(on_loopback(options_.entry_ports.front()));
        }
        run_now(look_at_memory(idle));
        open.clear();
        run_now(set_service_ms(4000));
        run_now(look_at_memory(base_busy_));
        for (int i = 0; i < options_.connections; ++i) {
            asio::co_spawn(io_, hold_one(), asio::detached);
        }
        run_now(look_at_memory(busy));
        run_now(set_service_ms(0));
        std::printf("memory per connection, %d connections, KiB resident\n", options_.connections);
        const char *names[] = {"entry node", "serving node"};
        for (std::size_t i = 0; i < options_.pids.size(); ++i) {
            std::printf("  %-14s idle %6.1f  busy %6.1f  (process %.0f before)\n", names[i % 2],
                        (idle[i] - base[i]) / options_.connections,
                        (busy[i] - base_busy_[i]) / options_.connections, base[i]);
        }
    }

    bench_options options_;
    asio::io_context io_{1};
    rt::http_client straight_;
    rt::http_client entry_;
    gullstall::random_source random_{1};
    std::vector<double> base_busy_;
    int last_id_ = 0;
};

}  // namespace

int main(int argc, char **argv)
{
    CLI::App app{"Added time of a call through two nodes against straight to the worker."};
    bench_options options;
    app.add_option("--worker-port", options.worker_port)->required();
    app.add_option("--entry-port", options.entry_ports)->required();
    app.add_option("--admin-port", options.admin_ports)->required();
    app.add_option("--pid", options.pids, "of the entry node, then of the serving node");
    app.add_option("--target", options.target, "SERVICE/OPERATION");
    app.add_option("--rate", options.rate, "pairs of calls a second");
    app.add_option("--seconds", options.seconds);
    app.add_option("--body-bytes", options.body_bytes);
    CLI11_PARSE(app, argc, argv);
    added_time(std::move(options)).run();
    return 0;
}
