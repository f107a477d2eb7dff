/// gullstall-dispatches: stand-in for callers of a non-idempotent operation.
/// Each has a key of its own, sends the call to nodes in turn until it is told
/// the outcome, and prints one line: key, outcome, reason.

#include <CLI/CLI.hpp>
#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <iostream>

#include "gullstall/core.hpp"
#include "gullstall/src/runtime/caller_client.hpp"

namespace {

namespace asio = boost::asio;
namespace rt = gullstall::runtime;

struct options
{
    std::vector<std::uint16_t> ports;
    std::string target = "dispatcher/dispatch";
    std::string prefix = "key";
    int rounds = 200;
    std::uint32_t tries = 4;
    int gap_ms = 50;
};

asio::awaitable<void> pause(asio::io_context &io, int ms)
{
    asio::steady_timer timer(io);
    timer.expires_after(std::chrono::milliseconds(ms));
    co_await timer.async_wait(asio::use_awaitable);
}

/// One caller; it prints what it is told in the end.
asio::awaitable<void> caller(rt::caller_client &client, std::string target, std::string key,
                             std::atomic<int> &open)
{
    ++open;
    std::size_t slash = target.find('/');
    gullstall::call_request request{
        target.substr(0, slash), target.substr(slash + 1), key, key, "", {}, {}};
    request.time_left = gullstall::milliseconds(1500);
    gullstall::caller_answer answer = co_await client.call(std::move(request), false);
    std::cout << key + " " + gullstall::wire::EnumNameoutcome(answer.outcome) + " " +
                     gullstall::wire::EnumNamerefusal(answer.refusal) + "\n"
              << std::flush;
    --open;
}

asio::awaitable<void> run(asio::io_context &io, const options &opt)
{
    std::vector<gullstall::endpoint> nodes;
    for (std::uint16_t port : opt.ports) {
        nodes.push_back({"127.0.0.1", port});
    }
    gullstall::repeat_policy policy{opt.tries, gullstall::seconds(20)};
    rt::caller_client client(io, nodes, policy, 1);
    std::atomic<int> open = 0;
    for (int i = 0; i < opt.rounds; ++i) {
        asio::co_spawn(io, caller(client, opt.target, opt.prefix + "-" + std::to_string(i), open),
                       asio::detached);
        co_await pause(io, opt.gap_ms);
    }
    while (open > 0) {
        co_await pause(io, opt.gap_ms);  // the callers still at work use the client
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
