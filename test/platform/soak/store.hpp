#ifndef GULLSTALL_TEST_PLATFORM_SOAK_STORE_HPP
#define GULLSTALL_TEST_PLATFORM_SOAK_STORE_HPP

#include <boost/asio/steady_timer.hpp>
#include <boost/json/array.hpp>
#include <set>

#include "test/platform/soak/fleet.hpp"

namespace gullstall::standin {

/// The platform's store as its nodes meet it: rows in tables over HTTP, in memory.
class http_store
{
public:
    http_store(boost::asio::io_context &io, const boost::asio::ip::tcp::endpoint &at);

    void put(const std::string &table, const std::string &key, const std::string &value);

private:
    struct row
    {
        std::string value;  ///< base64
        std::uint64_t version = 0;
    };

    using row_name = std::pair<std::string, std::string>;
    using query = std::map<std::string, std::string>;

    boost::asio::awaitable<void> accept_clients();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);
    boost::asio::awaitable<http_response> answer(const http_request &request);
    boost::asio::awaitable<http_response> feed(const query &asked);
    http_response read_rows(const query &asked) const;
    http_response change_rows(const std::string &body);
    boost::json::array rows_after(const std::string &table, std::uint64_t version) const;
    http_response print_rows(unsigned status, boost::json::array rows) const;

    boost::asio::io_context &io_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::map<row_name, row> rows_;
    std::uint64_t version_ = 0;
    std::set<boost::asio::steady_timer *> waiting_;  ///< of feeds without news
};

}  // namespace gullstall::standin

#endif
