#ifndef GULLSTALL_TEST_PLATFORM_SOAK_UPSTREAM_HPP
#define GULLSTALL_TEST_PLATFORM_SOAK_UPSTREAM_HPP

#include <functional>
#include <memory>
#include <set>

#include "test/platform/soak/fleet.hpp"

namespace gullstall::standin {

/// What a request asks of its upstream, told in its target.
struct work_order
{
    duration time{};
    std::size_t body_bytes = 0;
    bool calls = false;  ///< makes a call of its own through the node

    /// \returns the target below \a prefix
    std::string print(const std::string &prefix) const;
    static work_order parse(const std::string &target);
};

/// \returns the body that the run of request \a id answers with
std::string body_of(const std::string &id, std::size_t bytes);

/// An upstream instance: announces itself to its node, runs requests and answers them.
class http_upstream
{
public:
    /// Makes the call of a run. \returns whether it was answered with success
    using nested_call = std::function<boost::asio::awaitable<bool>(const std::string &run)>;

    http_upstream(boost::asio::io_context &io, const instance_address &self, run_book &book,
                  nested_call call);

    /// Starts a new incarnation.
    void start();

    /// Announces that the upstream leaves, serves on for the drain time and ends.
    boost::asio::awaitable<void> leave();

private:
    struct incarnation;

    boost::asio::awaitable<void> accept_clients(std::shared_ptr<incarnation> it);
    boost::asio::awaitable<void> serve(std::shared_ptr<incarnation> it,
                                       std::shared_ptr<boost::asio::ip::tcp::socket> socket);
    boost::asio::awaitable<http_response> run_request(std::shared_ptr<incarnation> it,
                                                      const http_request &request);
    boost::asio::awaitable<void> send_heartbeats(std::shared_ptr<incarnation> it);
    boost::asio::awaitable<bool> send_heartbeat(std::shared_ptr<incarnation> it);

    boost::asio::io_context &io_;
    instance_address self_;
    run_book &book_;
    nested_call call_;
    std::shared_ptr<incarnation> current_;
    int starts_ = 0;
};

}  // namespace gullstall::standin

#endif
