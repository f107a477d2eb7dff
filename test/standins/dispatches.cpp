/// gullstall-dispatches: stand-in for callers of a non-idempotent operation.
/// Each has a key of its own, sends the call to nodes in turn until it is told
/// the outcome, and prints one line: key, last outcome, tries.

#include <CLI/CLI.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <iostream>

#include "gullstall/core.hpp"
#include "gullstall/src/runtime/callers_http.hpp"
#include "gullstall/src/runtime/http_client.hpp"

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace rt = gullstall::runtime;

struct options
{
    std::vector<std::uint16_t> ports;
    std::string target = "dispatcher/dispatch";
    std::string prefix = "key";
    int rounds = 200;
    int tries = 4;
    int gap_ms = 50;
};

asio::awaitable<void> pause(asio::io_context &io, int ms)
{
    asio::steady_timer timer(io);
    timer.expires_after(std::chrono::milliseconds(ms));
    co_await timer.async_wait(asio::use_awaitable);
}

/// One caller: tries until it is told `ran`, or its tries are used up. What it
/// was told last counts; `unknown` once heard is kept, since a later `not run`
/// speaks of the later try only.
asio::awaitable<void> caller(asio::io_context &io, const options &opt, int nth)
{
    std::string key = opt.prefix + "-" + std::to_string(nth);
    std::string last = "none";
    bool unknown = false;
    int tries = 0;
    while (tries < opt.tries && last != "ran") {
        std::uint16_t port = opt.ports[static_cast<std::size_t>(nth + tries) % opt.ports.size()];
        rt::http_client client(io, {asio::ip::make_address("127.0.0.1"), port}, 1U << 20U);
        rt::http_request request{http::verb::post, "/call/" + opt.target, 11};
        request.set(rt::header::key, key);
        request.set(rt::header::request_id, key);
        request.set(rt::header::time_left, "1500");
        rt::exchange it =
            co_await client.send(std::move(request), gullstall::seconds(4), nullptr);
        ++tries;
        last = it.end == rt::exchange_end::answered ? std::string(it.response[rt::header::outcome])
                                                    : "no-answer";
        unknown = unknown || last == "unknown" ||
                  (last == "no-answer" && it.end == rt::exchange_end::lost);
        if (last != "ran") {
            co_await pause(io, opt.gap_ms);
        }
    }
    if (last != "ran" && unknown) {
        last = "unknown";
    }
    std::cout << key + " " + last + " " + std::to_string(tries) + "\n" << std::flush;
}

asio::awaitable<void> run(asio::io_context &io, const options &opt)
{
    for (int i = 0; i < opt.rounds; ++i) {
        asio::co_spawn(io, caller(io, opt, i), asio::detached);
        co_await pause(io, opt.gap_ms);
    }
}

}  // namespace

int main(int argc, char **argv)
{
    CLI::App app{"Stand-in for callers of a non-idempotent operation."};
    options opt;
    app.add_option("--port", opt.ports)->required();
    app.add_option("--target", opt.target);
    app.add_option("--prefix", opt.prefix);
    app.add_option("--rounds", opt.rounds);
    app.add_option("--tries", opt.tries);
    app.add_option("--gap-ms", opt.gap_ms);
    CLI11_PARSE(app, argc, argv);
    asio::io_context io(1);
    asio::co_spawn(io, run(io, opt), asio::detached);
    io.run();
    return 0;
}
