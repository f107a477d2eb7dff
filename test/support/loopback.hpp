#ifndef GULLSTALL_TEST_SUPPORT_LOOPBACK_HPP
#define GULLSTALL_TEST_SUPPORT_LOOPBACK_HPP

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "gullstall/runtime.hpp"
#include "test/standins/platform_server.hpp"
#include "test/support/world.hpp"

/// Whole nodes with their threads and sockets on loopback, in one process.
namespace gullstall::test {

/// One thread with its io_context, joined on destruction.
class io_thread
{
public:
    boost::asio::io_context io{1};

    void start()
    {
        thread_ = std::thread([this] { io.run(); });
    }

    void finish()
    {
        guard_.reset();
        io.stop();
        if (thread_.joinable()) {
            thread_.join();
        }
    }

    ~io_thread()
    {
        finish();
    }

private:
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard_ =
        boost::asio::make_work_guard(io);
    std::thread thread_;
};

/// \returns a port of loopback that is free, \a from or one above it. Tests use
/// ranges below the system's own, so that no outgoing connection takes one.
inline std::uint16_t free_port(std::uint16_t &from)
{
    boost::asio::io_context io;
    while (true) {
        boost::asio::ip::tcp::endpoint at(boost::asio::ip::make_address("127.0.0.1"), from++);
        boost::asio::ip::tcp::acceptor acceptor(io);
        boost::system::error_code ec;
        acceptor.open(at.protocol(), ec);
        acceptor.set_option(boost::asio::ip::tcp::acceptor::reuse_address(true), ec);
        acceptor.bind(at, ec);
        if (!ec && !acceptor.listen(1, ec)) {
            return at.port();
        }
    }
}

/// A worker whose answers a test writes byte by byte.
class raw_worker
{
public:
    using handler = std::function<boost::asio::awaitable<void>(boost::beast::tcp_stream &stream,
                                                               runtime::http_request &request)>;

    raw_worker(boost::asio::io_context &io, std::uint16_t port, handler on_request)
        : io_(io),
          acceptor_(io, {boost::asio::ip::make_address("127.0.0.1"), port}),
          on_request_(std::move(on_request))
    {
        boost::asio::co_spawn(io_, accept_loop(), boost::asio::detached);
    }

private:
    boost::asio::awaitable<void> accept_loop()
    {
        boost::system::error_code ec;
        while (!ec) {
            auto socket = co_await acceptor_.async_accept(
                boost::asio::redirect_error(boost::asio::use_awaitable, ec));
            boost::asio::co_spawn(io_, serve(boost::beast::tcp_stream(std::move(socket))),
                                  boost::asio::detached);
        }
    }

    boost::asio::awaitable<void> serve(boost::beast::tcp_stream stream)
    {
        namespace http = boost::beast::http;
        boost::beast::flat_buffer buf;
        boost::system::error_code ec;
        while (stream.socket().is_open()) {
            http::request_parser<http::vector_body<std::uint8_t>> parser;
            parser.body_limit(64U << 20U);
            co_await http::async_read(stream, buf, parser,
                                      boost::asio::redirect_error(boost::asio::use_awaitable, ec));
            if (ec) {
                co_return;
            }
            runtime::http_request request = parser.release();
            co_await on_request_(stream, request);
        }
    }

    boost::asio::io_context &io_;
    boost::asio::ip::tcp::acceptor acceptor_;
    handler on_request_;
};

/// Platform stand-in, nodes and their workers.
class loopback_site
{
public:
    /// \param first_port of the range that this test program owns
    explicit loopback_site(std::uint16_t first_port)
        : next_port_(first_port), platform_port_(free_port(next_port_))
    {
        server_ = std::make_unique<standin::platform_server>(platform_.io, platform_port_, store_);
    }

    loopback_site(const loopback_site &) = delete;
    loopback_site &operator=(const loopback_site &) = delete;

    /// Publishes a bundle; to be called before start().
    void publish(const std::string &text)
    {
        publisher_.publish(store_, text);
    }

    /// Adds a node with a worker. \returns its settings, which may be changed
    /// until start()
    node_settings &add(const std::string &instance, const std::string &service, std::uint32_t slots,
                       raw_worker::handler on_request)
    {
        node_settings it =
            make_settings(instance, "midrand", service, 0, slots, publisher_.trusted());
        it.listen.callers_port = free_port(next_port_);
        it.listen.peers_port = free_port(next_port_);
        it.listen.admin_port = free_port(next_port_);
        it.worker.address = "127.0.0.1";
        it.worker.port = free_port(next_port_);
        it.platform.address = "127.0.0.1";
        it.platform.port = platform_port_;
        it.log.level = "warn";
        workers_.push_back(
            std::make_unique<raw_worker>(worker_.io, it.worker.port, std::move(on_request)));
        return settings_.emplace(instance, std::move(it)).first->second;
    }

    /// Starts everything and announces the workers.
    void start()
    {
        platform_.start();
        worker_.start();
        clients_.start();
        endpoint seed{"127.0.0.1", settings_.begin()->second.listen.peers_port};
        for (auto &[name, it] : settings_) {
            it.seeds = {seed};
            daemons_.emplace_back([settings = it] { (void)runtime::run_daemon(settings); });
        }
        for (auto &[name, it] : settings_) {
            runtime::http_request announce{boost::beast::http::verb::post, "/worker/announce", 11};
            announce.set(runtime::header::slots, std::to_string(it.worker.slots));
            while (exchange_with(it.listen.callers_port, announce).end !=
                   runtime::exchange_end::answered) {
                std::this_thread::sleep_for(std::chrono::milliseconds(20));
            }
        }
    }

    /// Waits until \a entry answers a call of \a target as run.
    bool wait_for(const std::string &entry, const std::string &target)
    {
        constexpr int tries = 600;
        for (int i = 0; i < tries; ++i) {
            runtime::exchange it = exchange_with(
                port_of(entry), runtime::http_request{boost::beast::http::verb::post, target, 11});
            if (it.end == runtime::exchange_end::answered &&
                it.response[runtime::header::outcome] == "ran") {
                return true;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
        }
        return false;
    }

    std::uint16_t port_of(const std::string &instance) const
    {
        return settings_.at(instance).listen.callers_port;
    }
    const node_settings &settings_of(const std::string &instance) const
    {
        return settings_.at(instance);
    }

    /// One exchange over a connection of its own.
    runtime::exchange exchange_with(std::uint16_t port, runtime::http_request request)
    {
        boost::asio::io_context io;
        runtime::http_client client(io, {boost::asio::ip::make_address("127.0.0.1"), port},
                                    64U << 20U);
        auto ended = boost::asio::co_spawn(
            io, client.send(std::move(request), seconds(30), nullptr), boost::asio::use_future);
        io.run();
        return ended.get();
    }

    /// The thread on which tests run their callers.
    boost::asio::io_context &clients()
    {
        return clients_.io;
    }

    ~loopback_site()
    {
        clients_.finish();
        for (auto &[name, it] : settings_) {
            (void)exchange_with(it.listen.admin_port,
                                runtime::http_request{boost::beast::http::verb::get, "/drain", 11});
        }
        for (std::thread &it : daemons_) {
            it.join();
        }
        worker_.finish();
        platform_.finish();
    }

private:
    std::uint16_t next_port_;
    std::uint16_t platform_port_;
    test_publisher publisher_;
    standin::platform_store store_;
    std::map<std::string, node_settings> settings_;
    io_thread platform_;
    std::unique_ptr<standin::platform_server> server_;
    io_thread worker_;
    std::vector<std::unique_ptr<raw_worker>> workers_;
    io_thread clients_;
    std::vector<std::thread> daemons_;
};

}  // namespace gullstall::test

#endif
