/// gullstall-platform: stand-in for the platform's table and object store.

#include <CLI/CLI.hpp>
#include <boost/asio/signal_set.hpp>
#include <iostream>
#include <map>

#include "gullstall/src/runtime/platform_http.hpp"
#include "test/standins/platform_store.hpp"

namespace {

namespace asio = boost::asio;
using gullstall::runtime::http_request;

/// Switches faults by POST /fault/NAME/VALUE.
bool set_fault(gullstall::standin::platform_store &store, const std::string &target)
{
    const std::string prefix = "/fault/";
    if (target.compare(0, prefix.size(), prefix) != 0) {
        return false;
    }
    std::string rest = target.substr(prefix.size());
    std::size_t slash = rest.find('/');
    bool on = slash != std::string::npos && rest.substr(slash + 1) == "on";
    std::string name = rest.substr(0, slash);
    if (name == "outage") {
        store.outage = on;
    } else if (name == "lost-answers") {
        store.lose_answers = on;
    } else {
        return false;
    }
    return true;
}

}  // namespace

int main(int argc, char **argv)
{
    CLI::App app{"Stand-in for the platform: table, object store and their faults."};
    std::uint16_t port = 0;
    app.add_option("--port", port)->required();
    CLI11_PARSE(app, argc, argv);

    asio::io_context io(1);
    gullstall::standin::platform_store store;
    gullstall::runtime::http_server *server = nullptr;
    gullstall::runtime::http_limits limits{64U << 20U, 16384, 10000, gullstall::seconds(10)};
    gullstall::runtime::http_server it(
        io, {asio::ip::make_address("127.0.0.1"), port}, limits,
        {[&](std::uint64_t id, http_request &&request) {
             gullstall::platform_answer answer{gullstall::platform_status::done, {}, {}};
             if (!set_fault(store, std::string(request.target()))) {
                 auto what = gullstall::runtime::decode_platform_request(request);
                 answer =
                     gullstall::succeeded(what)
                         ? store.ask(gullstall::value_of(what))
                         : gullstall::platform_answer{gullstall::platform_status::missing, {}, {}};
             }
             auto response = gullstall::runtime::encode_platform_answer(answer);
             response.prepare_payload();
             server->answer(id, std::move(response));
         },
         [](std::uint64_t) {}});
    server = &it;
    asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code &, int) { io.stop(); });
    io.run();
    return 0;
}
