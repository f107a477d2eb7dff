/// gullstall-platform: stand-in for the platform's table and object store.

#include <CLI/CLI.hpp>
#include <boost/asio/signal_set.hpp>

#include "test/standins/platform_server.hpp"

namespace asio = boost::asio;

int main(int argc, char **argv)
{
    CLI::App app{"Stand-in for the platform: table, object store and their faults."};
    std::uint16_t port = 0;
    app.add_option("--port", port)->required();
    CLI11_PARSE(app, argc, argv);

    asio::io_context io(1);
    gullstall::standin::platform_store store;
    gullstall::standin::platform_server server(io, port, store);
    asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code &, int) { io.stop(); });
    io.run();
    return 0;
}
