/// gullstall-worker: stand-in for a worker. It has slots, a service time, and
/// makes calls to other services through its node.

#include <CLI/CLI.hpp>
#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <deque>
#include <fstream>
#include <iostream>
#include <map>
#include <set>

#include "gullstall/core.hpp"
#include "gullstall/src/runtime/callers_http.hpp"
#include "gullstall/src/runtime/http_client.hpp"
#include "gullstall/src/runtime/http_server.hpp"

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace rt = gullstall::runtime;
using gullstall::milliseconds;

struct worker_options
{
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    std::uint16_t node_port = 0;
    std::uint32_t slots = 1;
    std::uint32_t service_ms = 10;
    std::string run_log;              ///< file that gets a line for each run that starts
    std::string crash_on;             ///< request id that kills the process
    std::vector<std::string> chains;  ///< operation=service/operation
};

class worker
{
public:
    worker(asio::io_context &io, worker_options options)
        : io_(io),
          options_(std::move(options)),
          random_(options_.port),
          server_(io, {asio::ip::make_address(options_.address), options_.port},
                  rt::http_limits{64U << 20U, 65536, 100000, gullstall::seconds(30)},
                  rt::http_handlers{[this](std::uint64_t id, rt::http_request &&request) {
                                        on_request(id, std::move(request));
                                    },
                                    [this](std::uint64_t id) { abandoned_.insert(id); }}),
          node_(io, {asio::ip::make_address(options_.address), options_.node_port}, 64U << 20U)
    {
        for (const std::string &it : options_.chains) {
            std::size_t equals = it.find('=');
            chains_.emplace(it.substr(0, equals), it.substr(equals + 1));
        }
        asio::co_spawn(io_, announce(), asio::detached);
    }

    /// Says that it leaves, finishes what runs and ends the process's work.
    asio::awaitable<void> leave()
    {
        asio::steady_timer pause(io_);
        constexpr int tries = 5;
        for (int i = 0; i < tries && !co_await notify("/worker/leave"); ++i) {
            pause.expires_after(std::chrono::milliseconds(100));
            co_await pause.async_wait(asio::use_awaitable);
        }
        // What the node has queued still comes; it is over when nothing runs and
        // nothing has come for a while.
        constexpr auto quiet_time = std::chrono::milliseconds(500);
        last_request_ = std::chrono::steady_clock::now();
        while (running_ > 0 || std::chrono::steady_clock::now() - last_request_ < quiet_time) {
            pause.expires_after(std::chrono::milliseconds(20));
            co_await pause.async_wait(asio::use_awaitable);
        }
        io_.stop();
    }

private:
    asio::awaitable<bool> notify(const char *target)
    {
        rt::http_request request{http::verb::post, target, 11};
        request.set(rt::header::slots, std::to_string(options_.slots));
        rt::exchange it = co_await node_.send(std::move(request), gullstall::seconds(2), nullptr);
        co_return it.end == rt::exchange_end::answered;
    }

    asio::awaitable<void> announce()
    {
        asio::steady_timer pause(io_);
        while (!co_await notify("/worker/announce")) {
            pause.expires_after(std::chrono::milliseconds(100));
            co_await pause.async_wait(asio::use_awaitable);
        }
    }

    void on_request(std::uint64_t id, rt::http_request &&request)
    {
        std::string target(request.target());
        if (target.rfind("/control/service-ms/", 0) == 0) {
            options_.service_ms =
                static_cast<std::uint32_t>(std::stoul(target.substr(target.rfind('/') + 1)));
            reply(id, http::status::ok, {});
            return;
        }
        if (target == "/control/health") {
            reply(id, http::status::ok, {});
            return;
        }
        if (!options_.crash_on.empty() && request[rt::header::request_id] == options_.crash_on) {
            std::_Exit(1);
        }
        last_request_ = std::chrono::steady_clock::now();
        if (running_ >= options_.slots) {
            queue_.emplace_back(id, std::move(request));
            return;
        }
        ++running_;
        asio::co_spawn(io_, run(id, std::move(request)), asio::detached);
    }

    /// Runs the call: the service time, then the calls that it makes in turn.
    asio::awaitable<void> run(std::uint64_t id, rt::http_request request)
    {
        log_run(request);
        double jitter = 0.5 + gullstall::draw_fraction(random_);
        asio::steady_timer timer(io_);
        timer.expires_after(std::chrono::microseconds(
            static_cast<std::int64_t>(options_.service_ms * 1000.0 * jitter)));
        co_await timer.async_wait(asio::use_awaitable);
        std::string operation = std::string(request.target()).substr(1);
        std::string failure;
        auto [begin, end] = chains_.equal_range(operation);
        for (auto it = begin; it != end && failure.empty(); ++it) {
            failure = co_await call_on(it->second, request, abandoned_.count(id) > 0);
        }
        if (failure.empty()) {
            reply(id, http::status::ok, std::move(request.body()));
        } else {
            reply(id, http::status::bad_gateway, {failure.begin(), failure.end()});
        }
        abandoned_.erase(id);
        --running_;
        if (!queue_.empty()) {
            auto [next, waiting] = std::move(queue_.front());
            queue_.pop_front();
            ++running_;
            asio::co_spawn(io_, run(next, std::move(waiting)), asio::detached);
        }
    }

    /// The line is on disk before the run has any effect, so that a kill at any
    /// moment leaves no run unseen.
    void log_run(const rt::http_request &request)
    {
        if (options_.run_log.empty()) {
            return;
        }
        std::ofstream out(options_.run_log, std::ios::app);
        out << std::string(request.target()) + " " + std::string(request[rt::header::key]) + "\n"
            << std::flush;
    }

    /// \returns why the call failed, empty when it did not
    asio::awaitable<std::string> call_on(const std::string &target, const rt::http_request &parent,
                                         bool abandoned)
    {
        if (abandoned) {
            co_return "abandoned";
        }
        rt::http_request request{http::verb::post, "/call/" + target, 11};
        request.set(rt::header::context, parent[rt::header::context]);
        rt::exchange it = co_await node_.send(std::move(request), gullstall::seconds(30), nullptr);
        if (it.end != rt::exchange_end::answered) {
            co_return it.end == rt::exchange_end::lost ? "cut-off" : "not-sent";
        }
        if (it.response.result() == http::status::ok) {
            co_return "";
        }
        if (it.response.result() == http::status::bad_gateway) {
            co_return std::string(it.response.body().begin(), it.response.body().end());
        }
        co_return std::string(it.response[rt::header::outcome]) + "/" +
            std::string(it.response[rt::header::reason]);
    }

    void reply(std::uint64_t id, http::status status, std::vector<std::uint8_t> body)
    {
        rt::http_response response{status, 11};
        response.set(http::field::content_type, "application/octet-stream");
        response.body() = std::move(body);
        response.prepare_payload();
        server_.answer(id, std::move(response));
    }

    asio::io_context &io_;
    worker_options options_;
    gullstall::random_source random_;
    std::multimap<std::string, std::string> chains_;
    std::uint32_t running_ = 0;
    std::chrono::steady_clock::time_point last_request_;
    std::deque<std::pair<std::uint64_t, rt::http_request>> queue_;
    std::set<std::uint64_t> abandoned_;
    rt::http_server server_;
    rt::http_client node_;
};

}  // namespace

int main(int argc, char **argv)
{
    CLI::App app{"Stand-in for a worker."};
    worker_options options;
    app.add_option("--address", options.address);
    app.add_option("--port", options.port)->required();
    app.add_option("--node-port", options.node_port, "callers' port of its node")->required();
    app.add_option("--slots", options.slots);
    app.add_option("--service-ms", options.service_ms);
    app.add_option("--run-log", options.run_log);
    app.add_option("--crash-on", options.crash_on);
    app.add_option("--chain", options.chains, "OPERATION=SERVICE/OPERATION");
    CLI11_PARSE(app, argc, argv);

    asio::io_context io(1);
    worker it(io, options);
    asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code &, int) {
        asio::co_spawn(io, it.leave(), asio::detached);
        // A second signal ends it at once.
        signals.async_wait([&](const boost::system::error_code &, int) { io.stop(); });
    });
    io.run();
    return 0;
}
