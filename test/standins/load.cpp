/// gullstall-load: stand-in for callers. Open-loop arrivals in phases, clients
/// that repeat refused calls, and a table of what came of them.

#include <CLI/CLI.hpp>
#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/histogram.hpp>
#include <cmath>
#include <cstdio>
#include <iostream>
#include <map>

#include "gullstall/core.hpp"
#include "gullstall/src/runtime/callers_http.hpp"
#include "gullstall/src/runtime/http_client.hpp"

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace histogram = boost::histogram;
namespace rt = gullstall::runtime;

/// One kind of call with its rate in calls a second.
struct traffic
{
    std::string target;  ///< service/operation
    double rate;
    std::size_t body_bytes;
};

/// One stretch of the run: rates are multiplied by \a factor.
struct phase
{
    std::string name;
    double seconds;
    double factor;
    std::string slow_url;  ///< unused when empty
};

using latency_histogram = decltype(histogram::make_histogram(
    histogram::axis::regular<double, histogram::axis::transform::log>(120, 0.1, 100000)));

latency_histogram make_latencies()
{
    return histogram::make_histogram(
        histogram::axis::regular<double, histogram::axis::transform::log>(120, 0.1, 100000));
}

double quantile(const latency_histogram &it, double q)
{
    double total = 0;
    for (double n : it) {
        total += n;
    }
    double sum = 0;
    for (int i = 0; i < static_cast<int>(it.axis().size()); ++i) {
        sum += it.at(i);
        if (sum >= total * q) {
            return it.axis().bin(i).upper();
        }
    }
    return 0;
}

struct tally
{
    std::uint64_t requests = 0;  ///< by callers, repeats not counted
    std::uint64_t attempts = 0;
    std::uint64_t whole = 0;
    std::uint64_t wrong = 0;  ///< answers with another body than the request's
    std::map<std::string, std::uint64_t> failures;
    latency_histogram latencies = make_latencies();
};

class load
{
public:
    load(asio::io_context &io, const std::vector<std::uint16_t> &ports, int repeats)
        : io_(io), random_(1), repeats_(repeats)
    {
        for (std::uint16_t port : ports) {
            clients_.push_back(std::make_unique<rt::http_client>(
                io, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), port),
                64U << 20U));
        }
    }

    asio::awaitable<void> arrivals(traffic of, phase during)
    {
        asio::steady_timer timer(io_);
        auto next = std::chrono::steady_clock::now();
        auto end = next + std::chrono::duration_cast<std::chrono::steady_clock::duration>(
                              std::chrono::duration<double>(during.seconds));
        double rate = of.rate * during.factor;
        while (rate > 0) {
            double gap = -std::log(1.0 - gullstall::draw_fraction(random_)) / rate;
            next += std::chrono::duration_cast<std::chrono::steady_clock::duration>(
                std::chrono::duration<double>(gap));
            if (next >= end || stopping_) {
                break;
            }
            timer.expires_at(next);
            co_await timer.async_wait(asio::use_awaitable);
            asio::co_spawn(io_, request(of, during.name), asio::detached);
        }
    }

    asio::awaitable<void> request(traffic of, std::string in_phase)
    {
        tally &count = tallies_[in_phase][of.target];
        ++count.requests;
        ++open_;
        std::string id = "load-" + std::to_string(++last_);
        // Keys of an earlier process must not come back: their claims are still known.
        std::string key =
            id + "-" + std::to_string(std::chrono::system_clock::now().time_since_epoch().count());
        std::vector<std::uint8_t> body(of.body_bytes);
        for (std::uint8_t &it : body) {
            it = static_cast<std::uint8_t>(random_());
        }
        auto start = std::chrono::steady_clock::now();
        std::string tries;
        for (int i = 0; i <= repeats_; ++i) {
            ++count.attempts;
            rt::http_request message{http::verb::post, "/call/" + of.target, 11};
            message.set(rt::header::request_id, id);
            message.set(rt::header::key, key);
            message.set(rt::header::attempt, std::to_string(i + 1));
            message.body() = body;
            std::size_t chosen = gullstall::draw_below(random_, clients_.size());
            rt::http_client &client = *clients_[chosen];
            rt::exchange it =
                co_await client.send(std::move(message), gullstall::seconds(10), nullptr);
            if (it.end == rt::exchange_end::lost) {
                std::fprintf(stderr, "cut-off %s %s@%zu: %s\n", id.c_str(), of.target.c_str(),
                             chosen, it.error.message().c_str());
            }
            if (note(count, it, body)) {
                std::chrono::duration<double, std::milli> took =
                    std::chrono::steady_clock::now() - start;
                count.latencies(took.count());
                ++good_by_second_[second_of(std::chrono::steady_clock::now())];
                tries.clear();
                break;
            }
            tries += " " + failure_of(it) + "@" + std::to_string(chosen);
        }
        if (!tries.empty()) {
            std::fprintf(stderr, "unanswered %s %s:%s\n", id.c_str(), of.target.c_str(),
                         tries.c_str());
        }
        --open_;
    }

    /// No further request arrives; those that are open go on.
    void stop()
    {
        stopping_ = true;
    }

    bool stopping() const
    {
        return stopping_;
    }

    std::size_t open() const
    {
        return open_;
    }

    std::uint64_t good_in(std::int64_t second)
    {
        return good_by_second_[second];
    }

    std::int64_t second_of(std::chrono::steady_clock::time_point at) const
    {
        return std::chrono::duration_cast<std::chrono::seconds>(at - start_).count();
    }

    bool print(const std::vector<phase> &phases)
    {
        bool right = true;
        std::printf("%-8s %-24s %8s %8s %8s %6s %9s %9s  %s\n", "phase", "call", "requests",
                    "whole", "attempts", "wrong", "p50 ms", "p99 ms", "failures");
        for (const phase &during : phases) {
            for (const auto &[target, count] : tallies_[during.name]) {
                std::string failures;
                for (const auto &[reason, n] : count.failures) {
                    failures += reason + "=" + std::to_string(n) + " ";
                }
                std::printf("%-8s %-24s %8lu %8lu %8lu %6lu %9.1f %9.1f  %s\n", during.name.c_str(),
                            target.c_str(), count.requests, count.whole, count.attempts,
                            count.wrong, quantile(count.latencies, 0.5),
                            quantile(count.latencies, 0.99), failures.c_str());
                right = right && count.wrong == 0;
            }
        }
        return right;
    }

private:
    /// \returns what a failed exchange is counted as: who cut it off, or the
    /// outcome with its reason
    static std::string failure_of(const rt::exchange &it)
    {
        if (it.end != rt::exchange_end::answered) {
            return it.end == rt::exchange_end::lost ? "cut-off" : "not-sent";
        }
        if (it.response.result() == http::status::bad_gateway) {
            // A worker's own answer: a call that it made failed.
            return "below:" + std::string(it.response.body().begin(), it.response.body().end());
        }
        std::string reason(it.response[rt::header::reason]);
        if (reason.empty()) {
            return std::to_string(it.response.result_int());
        }
        bool unknown = it.response[rt::header::outcome] == "unknown";
        return (unknown ? "unknown/" : "") + reason;
    }

    static bool note(tally &count, const rt::exchange &it, const std::vector<std::uint8_t> &body)
    {
        if (it.end != rt::exchange_end::answered || it.response.result() != http::status::ok) {
            ++count.failures[failure_of(it)];
            return false;
        }
        if (it.response.body() != body) {
            ++count.wrong;
            return false;
        }
        ++count.whole;
        return true;
    }

    asio::io_context &io_;
    gullstall::random_source random_;
    int repeats_;
    std::vector<std::unique_ptr<rt::http_client>> clients_;
    std::map<std::string, std::map<std::string, tally>> tallies_;
    std::map<std::int64_t, std::uint64_t> good_by_second_;
    std::chrono::steady_clock::time_point start_ = std::chrono::steady_clock::now();
    std::uint64_t last_ = 0;
    std::size_t open_ = 0;
    bool stopping_ = false;
};

asio::awaitable<void> wait(asio::io_context &io, double seconds)
{
    asio::steady_timer timer(io);
    timer.expires_after(std::chrono::milliseconds(static_cast<std::int64_t>(seconds * 1000)));
    co_await timer.async_wait(asio::use_awaitable);
}

/// Sets the service time of workers by their control page.
asio::awaitable<void> set_service_ms(asio::io_context &io, std::vector<std::uint16_t> ports,
                                     std::uint32_t ms)
{
    for (std::uint16_t port : ports) {
        rt::http_client client(
            io, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), port), 1U << 20U);
        rt::http_request message{http::verb::post, "/control/service-ms/" + std::to_string(ms), 11};
        co_await client.send(std::move(message), gullstall::seconds(2), nullptr);
    }
}

struct slow_workers
{
    std::vector<std::uint16_t> ports;
    std::uint32_t usual_ms = 0;
    std::uint32_t slow_ms = 0;
};

asio::awaitable<void> run(asio::io_context &io, load &it, std::vector<traffic> of,
                          std::vector<phase> phases, slow_workers slow)
{
    std::int64_t surge_end = 0;
    for (std::size_t i = 0; i < phases.size(); ++i) {
        const phase &during = phases[i];
        bool surge = during.factor > 1;
        co_await set_service_ms(io, slow.ports, surge ? slow.slow_ms : slow.usual_ms);
        std::fprintf(stderr, "phase %zu of %zu: %s for %.0f s at %.1f times the load\n", i + 1,
                     phases.size(), during.name.c_str(), during.seconds, during.factor);
        for (const traffic &one : of) {
            asio::co_spawn(io, it.arrivals(one, during), asio::detached);
        }
        constexpr double step_seconds = 0.1;
        for (double spent = 0; spent < during.seconds && !it.stopping(); spent += step_seconds) {
            co_await wait(io, std::min(step_seconds, during.seconds - spent));
        }
        if (surge) {
            surge_end = it.second_of(std::chrono::steady_clock::now());
        }
    }
    for (int i = 0; i < 50 && it.open() > 0; ++i) {
        co_await wait(io, 0.2);
    }
    double before = 0;
    auto first = static_cast<std::int64_t>(phases.front().seconds);
    for (std::int64_t s = 1; s < first; ++s) {
        before += static_cast<double>(it.good_in(s)) / static_cast<double>(first - 1);
    }
    std::int64_t recovered = surge_end;
    std::int64_t last = it.second_of(std::chrono::steady_clock::now());
    constexpr double recovered_share = 0.95;
    while (recovered < last &&
           static_cast<double>(it.good_in(recovered)) < before * recovered_share) {
        ++recovered;
    }
    bool right = it.print(phases);
    std::printf(
        "goodput before %.0f whole answers a second; 95 %% of it again %ld s after the "
        "surge%s\n",
        before, recovered - surge_end, recovered == last ? " (not reached)" : "");
    std::exit(right ? 0 : 1);
}

}  // namespace

int main(int argc, char **argv)
{
    CLI::App app{"Stand-in for callers."};
    std::vector<std::uint16_t> ports;
    std::vector<std::string> calls;
    std::vector<std::string> phase_texts;
    int repeats = 0;
    slow_workers slow;
    app.add_option("--port", ports, "callers' ports of the nodes")->required();
    app.add_option("--call", calls, "SERVICE/OPERATION:RATE[:BODY_BYTES]")->required();
    app.add_option("--phase", phase_texts, "NAME:SECONDS:FACTOR")->required();
    app.add_option("--repeats", repeats, "times that a client repeats a refused call at once");
    app.add_option("--slow-port", slow.ports, "workers that are slow while the factor is above 1");
    app.add_option("--usual-ms", slow.usual_ms);
    app.add_option("--slow-ms", slow.slow_ms);
    CLI11_PARSE(app, argc, argv);

    std::vector<traffic> of;
    for (const std::string &it : calls) {
        std::vector<std::string> parts;
        boost::algorithm::split(parts, it, boost::algorithm::is_any_of(":"));
        of.push_back(
            {parts.at(0), std::stod(parts.at(1)), parts.size() > 2 ? std::stoul(parts[2]) : 64});
    }
    std::vector<phase> phases;
    for (const std::string &it : phase_texts) {
        std::vector<std::string> parts;
        boost::algorithm::split(parts, it, boost::algorithm::is_any_of(":"));
        phases.push_back({parts.at(0), std::stod(parts.at(1)), std::stod(parts.at(2)), ""});
    }
    asio::io_context io(1);
    load it(io, ports, repeats);
    asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code &, int) { it.stop(); });
    asio::co_spawn(io, run(io, it, of, phases, slow), asio::detached);
    io.run();
    return 0;
}
