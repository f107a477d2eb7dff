#include "gullstall/src/edge/http_edge.hpp"

#include <array>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "gullstall/src/edge/edge_connection.hpp"
#include "gullstall/src/edge/spawn.hpp"
#include "gullstall/src/runtime/accept_waiting.hpp"

namespace gullstall::edge {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

/// Delay after a failed accept, usually caused by a lack of file descriptors.
constexpr std::chrono::milliseconds accept_retry_delay(10);

bool is_hop_by_hop(http::field name)
{
    constexpr std::array names{http::field::connection,
                               http::field::keep_alive,
                               http::field::proxy_connection,
                               http::field::te,
                               http::field::transfer_encoding,
                               http::field::upgrade,
                               http::field::content_length,
                               http::field::trailer,
                               http::field::expect};
    return std::find(names.begin(), names.end(), name) != names.end();
}

}  // namespace

std::string end_to_end_lines(const http::fields &fields)
{
    std::string out;
    for (const auto &field : fields) {
        if (is_hop_by_hop(field.name())) {
            continue;
        }
        out.append(field.name_string().data(), field.name_string().size());
        out += ": ";
        out.append(field.value().data(), field.value().size());
        out += "\r\n";
    }
    return out;
}

http_edge::http_edge(asio::io_context &io, const asio::ip::tcp::endpoint &at, edge_limits limits,
                     edge_handlers handlers)
    : io_(io), acceptor_(io, at), limits_(limits), handlers_(std::move(handlers))
{
    spawn_essential(io_, accept_loop());
}

asio::awaitable<void> http_edge::accept_loop()
{
    while (true) {
        error_code ec;
        asio::ip::tcp::socket socket =
            co_await acceptor_.async_accept(asio::redirect_error(asio::use_awaitable, ec));
        if (ec == asio::error::operation_aborted || !acceptor_.is_open()) {
            if (!ec) {
                add_connection(std::move(socket));
            }
            co_return;
        }
        if (ec || connections_.size() >= limits_.connections) {
            asio::steady_timer pause(io_, accept_retry_delay);
            co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ec));
            continue;
        }
        add_connection(std::move(socket));
    }
}

void http_edge::add_connection(asio::ip::tcp::socket &&socket)
{
    std::uint64_t id = ++last_id_;
    auto connection = std::make_shared<edge_connection>(*this, id, std::move(socket));
    connections_[id] = connection;
    spawn(
        io_, [connection] { return connection->run(); },
        [this, connection](const std::string &what) {
            connection->close_connection();
            handlers_.on_exception(what);
        });
}

void http_edge::stop_listening()
{
    runtime::accept_waiting(
        acceptor_, [this](asio::ip::tcp::socket &&socket) { add_connection(std::move(socket)); });
    error_code ec;
    acceptor_.close(ec);
}

void http_edge::respond(call_ref id, edge_answer &&response)
{
    auto found = pending_.find(id);
    if (found == pending_.end()) {
        return;
    }
    std::shared_ptr<edge_connection> connection = found->second;
    connection->respond(id, std::move(response));
}

void http_edge::set_limits(const edge_limits &limits)
{
    limits_ = limits;
}

void http_edge::sweep(time_point now)
{
    std::vector<std::shared_ptr<edge_connection>> all;
    all.reserve(connections_.size());
    for (const auto &[id, connection] : connections_) {
        all.push_back(connection);
    }
    for (const auto &connection : all) {
        connection->sweep(now);
    }
}

bool http_edge::has_work() const
{
    return std::any_of(connections_.begin(), connections_.end(),
                       [](const auto &entry) { return entry.second->has_work(); });
}

void http_edge::start_draining()
{
    draining_ = true;
    std::vector<std::shared_ptr<edge_connection>> all;
    for (const auto &[id, connection] : connections_) {
        all.push_back(connection);
    }
    for (const auto &connection : all) {
        connection->start_draining();
    }
}

}  // namespace gullstall::edge
