#ifndef GULLSTALL_TEST_PLATFORM_SOAK_DEPLOYMENT_HPP
#define GULLSTALL_TEST_PLATFORM_SOAK_DEPLOYMENT_HPP

#include <boost/asio/signal_set.hpp>

#include "test/platform/soak/store.hpp"
#include "test/platform/soak/verdict.hpp"

namespace gullstall::standin {

struct soak_settings
{
    std::string program;  ///< of the node
    std::string folder;   ///< of settings and logs
    std::uint64_t seed = 1;
    duration length = seconds(20);
    duration mean_gap = milliseconds(700);  ///< between two disruptions
    std::size_t clients = 12;               ///< connections to each node
    duration longest_run = seconds(1);
    bool pauses = false;       ///< processes are stopped and continued, too
    std::uint32_t subnet = 1;  ///< second byte of the loopback addresses
};

/// Fifteen instances of four services in three availability zones, with their nodes as
/// processes, clients on kept connections, and planned work on all of them.
class deployment
{
public:
    deployment(boost::asio::io_context &io, soak_settings settings);
    ~deployment();
    deployment(const deployment &) = delete;
    deployment &operator=(const deployment &) = delete;

    /// Starts all, disrupts it for the time of the settings and lets it come to rest.
    boost::asio::awaitable<void> run();

    const soak_record &record() const
    {
        return record_;
    }

private:
    struct instance;

    boost::asio::awaitable<bool> wait_ready();
    boost::asio::awaitable<void> disrupt();
    boost::asio::awaitable<void> disrupt_once();
    void restart_several();
    boost::asio::awaitable<void> restart_node(std::size_t i);
    boost::asio::awaitable<void> replace_instance(std::size_t i);
    boost::asio::awaitable<void> pause_node(std::size_t i);
    boost::asio::awaitable<void> stop_clients();
    void start_node(std::size_t i);
    bool has_begun(std::size_t i) const;
    void start_clients(std::size_t i);
    void reload(std::size_t i, bool with_signal);
    void change_policy();
    void collect_ended();
    void spawn(boost::asio::awaitable<void> work);

    boost::asio::io_context &io_;
    soak_settings settings_;
    random_source random_;
    soak_record record_;
    std::string store_address_;
    std::unique_ptr<http_store> store_;
    std::vector<std::unique_ptr<instance>> instances_;
    std::vector<std::unique_ptr<kept_client>> clients_;
    std::uint64_t policy_version_ = 0;
    std::uint64_t nested_calls_ = 0;
    int open_work_ = 0;
};

}  // namespace gullstall::standin

#endif
