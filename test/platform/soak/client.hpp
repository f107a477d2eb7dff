#ifndef GULLSTALL_TEST_PLATFORM_SOAK_CLIENT_HPP
#define GULLSTALL_TEST_PLATFORM_SOAK_CLIENT_HPP

#include <deque>
#include <memory>
#include <optional>

#include "test/platform/soak/upstream.hpp"

namespace gullstall::standin {

/// How a request ended for its client.
enum class request_end
{
    open,
    answered,      ///< with a whole answer
    cut_off,       ///< the connection ended without a whole answer
    behind_close,  ///< sent behind an answer that closes the connection
    given_up       ///< the client closed at its deadline
};

/// A request as its client saw it.
struct sent_request
{
    std::string id;
    std::string target;
    std::size_t node = 0;
    std::uint64_t connection = 0;
    bool is_safe = true;
    bool behind_another = false;  ///< sent before the answer to an earlier one
    int earlier_on_connection = 0;
    time_point written_at;
    time_point ended_at;
    request_end end = request_end::open;
    unsigned status = 0;
    bool sealed = false;  ///< the answer is an upstream's
    bool is_whole = true;
    std::string error;
};

/// All requests of a run, in the order in which they were sent.
using request_log = std::deque<std::shared_ptr<sent_request>>;

struct client_settings
{
    std::size_t node = 0;
    boost::asio::ip::tcp::endpoint at;
    duration mean_pause = milliseconds(300);
    duration longest_pause = seconds(5);
    std::size_t pipeline = 1;
    double unsafe_share = 0.4;
    duration longest_run = seconds(1);  ///< of the few long ones
    std::uint64_t seed = 0;
};

/// A client that keeps its connection until the node closes it.
class kept_client
{
public:
    kept_client(boost::asio::io_context &io, client_settings settings, request_log &log);

    /// Sends requests until stop().
    boost::asio::awaitable<void> run();
    void stop();

private:
    struct connection;

    boost::asio::awaitable<std::shared_ptr<connection>> connect();
    boost::asio::awaitable<void> read_answers(std::shared_ptr<connection> it);
    boost::asio::awaitable<void> send(std::shared_ptr<connection> it);
    work_order draw_work();
    const char *draw_prefix(bool is_safe);
    std::shared_ptr<sent_request> draw_request(const connection &it);

    boost::asio::io_context &io_;
    client_settings settings_;
    request_log &log_;
    random_source random_;
    bool stopped_ = false;
};

/// Sends one request over a connection of its own and logs it.
/// \returns whether it was answered with success
boost::asio::awaitable<bool> send_once(boost::asio::io_context &io, client_settings from,
                                       std::string id, std::string target, request_log &log);

}  // namespace gullstall::standin

#endif
