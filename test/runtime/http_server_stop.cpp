#include <doctest/doctest.h>

#include <sys/socket.h>
#include <boost/asio/post.hpp>
#include <string_view>

#include "gullstall/src/runtime/http_server.hpp"
#include "test/support/loopback.hpp"

using namespace gullstall;

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr std::uint16_t first_port = 29700;
constexpr runtime::http_limits limits{4096, 8192, 4096, seconds(5)};

/// A server on a thread of its own that answers each request at once.
struct running_server
{
    explicit running_server(const asio::ip::tcp::endpoint &at)
        : server(thread.io, at, limits,
                 runtime::http_handlers{[this](std::uint64_t id, runtime::http_request &&) {
                                            runtime::http_response response{http::status::ok, 11};
                                            response.prepare_payload();
                                            server.answer(id, std::move(response));
                                        },
                                        [](std::uint64_t) {}})
    {
        thread.start();
    }

    /// Stops the server as a process does at its end.
    void stop_and_drain()
    {
        asio::post(thread.io, [this] { server.stop(); });
        while (!server.is_drained()) {
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        thread.finish();
    }

    test::io_thread thread;
    runtime::http_server server;
};

/// A thread that connects and sends a request again and again until a connect fails, and
/// then reads the answers.
struct connecting_client
{
    static constexpr int max_requests = 400;
    static constexpr timeval connect_timeout{0, 20000};
    static constexpr timeval answer_timeout{10, 0};
    static constexpr std::string_view request = "POST / HTTP/1.1\r\nContent-Length: 0\r\n\r\n";

    asio::ip::tcp::endpoint at;
    int answered = 0;
    int cut = 0;
    std::thread thread;

    explicit connecting_client(const asio::ip::tcp::endpoint &server)
        : at(server), thread([this] { run(); })
    {
    }

    void run()
    {
        asio::io_context io;
        std::vector<asio::ip::tcp::socket> open;
        for (int i = 0; i < max_requests; ++i) {
            asio::ip::tcp::socket socket(io, asio::ip::tcp::v4());
            set_timeout(socket, SO_SNDTIMEO, connect_timeout);
            if (::connect(socket.native_handle(), at.data(), socklen_t(at.size())) != 0) {
                break;
            }
            ::send(socket.native_handle(), request.data(), request.size(), MSG_NOSIGNAL);
            open.push_back(std::move(socket));
        }
        for (asio::ip::tcp::socket &it : open) {
            std::array<char, 512> answer{};
            set_timeout(it, SO_RCVTIMEO, answer_timeout);
            bool cut_off = ::recv(it.native_handle(), answer.data(), answer.size(), 0) <= 0;
            ++(cut_off ? cut : answered);
        }
    }

    static void set_timeout(asio::ip::tcp::socket &socket, int option, const timeval &timeout)
    {
        ::setsockopt(socket.native_handle(), SOL_SOCKET, option, &timeout, sizeof timeout);
    }
};

}  // namespace

// Guards against clients that have connected being reset by the close of the listening socket.
TEST_CASE("server stopped, clients connecting, none cut off")
{
    constexpr int rounds = 100;
    constexpr int threads = 4;
    std::uint16_t port = first_port;
    asio::ip::tcp::endpoint at{asio::ip::address_v4::loopback(), test::free_port(port)};
    int answered = 0;
    int cut = 0;
    for (int i = 0; i < rounds; ++i) {
        running_server server(at);
        std::deque<connecting_client> clients;
        while (clients.size() < threads) {
            clients.emplace_back(at);
        }
        std::this_thread::sleep_for(std::chrono::microseconds(100 * (i % 20)));
        server.stop_and_drain();
        for (connecting_client &it : clients) {
            it.thread.join();
            answered += it.answered;
            cut += it.cut;
        }
    }
    CHECK(cut == 0);
    CHECK(answered > 0);
}
