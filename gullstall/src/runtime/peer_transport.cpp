#include "gullstall/src/runtime/peer_transport.hpp"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace gullstall::runtime {

namespace asio = boost::asio;
using boost::system::error_code;
using namespace asio::experimental::awaitable_operators;

namespace {

constexpr auto connect_timeout = std::chrono::seconds(1);

/// Frames that wait for a slow peer, bytes. Beyond it the peer counts as
/// unreachable, and what was queued comes back as not sent.
constexpr std::size_t max_queued_bytes = 128U << 20U;

std::uint64_t correlation_of(const wire::frame_message &frame)
{
    const auto *call = frame.payload.Ascall();
    return call == nullptr ? 0 : call->correlation;
}

/// \returns how the log calls the other side of a connection
std::string name_of_peer(const std::string &instance, const asio::ip::tcp::socket &socket)
{
    if (!instance.empty()) {
        return instance;
    }
    error_code ec;
    asio::ip::tcp::endpoint at = socket.remote_endpoint(ec);
    return ec ? "unknown peer" : "unknown peer at " + at.address().to_string();
}

}  // namespace

peer_transport::peer_transport(asio::io_context &io, const asio::ip::tcp::endpoint &at,
                               peer_handlers handlers)
    : io_(io), acceptor_(io, at), handlers_(std::move(handlers))
{
    asio::co_spawn(io_, accept_loop(), asio::detached);
}

asio::awaitable<void> peer_transport::accept_loop()
{
    while (true) {
        error_code ec;
        asio::ip::tcp::socket socket =
            co_await acceptor_.async_accept(asio::redirect_error(asio::use_awaitable, ec));
        if (ec == asio::error::operation_aborted) {
            co_return;
        }
        if (ec) {
            asio::steady_timer pause(io_, std::chrono::milliseconds(10));
            co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ec));
            continue;
        }
        socket.set_option(asio::ip::tcp::no_delay(true), ec);
        auto it = std::make_shared<connection>(std::move(socket));
        it->connected = true;
        asio::co_spawn(io_, read_loop(it), asio::detached);
    }
}

void peer_transport::send(const std::string &instance, const endpoint &to,
                          wire::frame_message &&frame)
{
    std::string key = instance.empty() ? to.address + ":" + std::to_string(to.port) : instance;
    auto [found, is_new] = connections_.try_emplace(key);
    if (is_new) {
        found->second = std::make_shared<connection>(asio::ip::tcp::socket(io_));
        found->second->instance = key;
    }
    connection_ptr it = found->second;
    outgoing entry{encode_frame(frame), correlation_of(frame)};
    it->queued_bytes += entry.bytes.size();
    waiting_ += entry.bytes.size();
    it->queue.push_back(std::move(entry));
    if (it->queued_bytes > max_queued_bytes) {
        close(it, "too many bytes wait for it");
    } else if (is_new) {
        // A connect that fails at once closes the connection before co_spawn() returns.
        asio::co_spawn(io_, connect(it, to), asio::detached);
    } else {
        start_writing(it);
    }
}

asio::awaitable<void> peer_transport::connect(connection_ptr it, endpoint to)
{
    error_code ec;
    asio::ip::address address = asio::ip::make_address(to.address, ec);
    if (!ec) {
        asio::steady_timer limit(io_, connect_timeout);
        error_code timer_ec;
        auto ended =
            co_await (it->socket.async_connect({address, to.port},
                                               asio::redirect_error(asio::use_awaitable, ec)) ||
                      limit.async_wait(asio::redirect_error(asio::use_awaitable, timer_ec)));
        if (ended.index() == 1) {
            ec = asio::error::timed_out;
        }
    } else {
        handlers_.on_bad_connection(it->instance + ": its address is not known; frames not sent");
    }
    if (ec || it->closed) {
        close(it, "connect: " + ec.message());
        co_return;
    }
    it->socket.set_option(asio::ip::tcp::no_delay(true), ec);
    it->connected = true;
    asio::co_spawn(io_, read_loop(it), asio::detached);
    start_writing(it);
}

void peer_transport::start_writing(const connection_ptr &it)
{
    if (!it->connected || it->writing || it->closed || it->queue.empty()) {
        return;
    }
    it->writing = true;
    asio::co_spawn(io_, write_loop(it), asio::detached);
}

asio::awaitable<void> peer_transport::write_loop(connection_ptr it)
{
    while (!it->queue.empty() && !it->closed) {
        // Taken out first: from here on the frame may have left.
        outgoing entry = std::move(it->queue.front());
        it->queue.pop_front();
        it->queued_bytes -= entry.bytes.size();
        error_code ec;
        co_await asio::async_write(it->socket, asio::buffer(entry.bytes),
                                   asio::redirect_error(asio::use_awaitable, ec));
        waiting_ -= entry.bytes.size();
        if (ec) {
            close(it, "write: " + ec.message());
        }
    }
    it->writing = false;
}

bool peer_transport::take_frame(const connection_ptr &it, const std::string &bytes)
{
    result<wire::frame_message> frame = decode_frame(bytes);
    if (!succeeded(frame)) {
        handlers_.on_bad_connection(name_of_peer(it->instance, it->socket) + ": " +
                                    error_of(frame).message);
        close(it, error_of(frame).message);
        return false;
    }
    const std::string &sender = value_of(frame).sender;
    if (it->instance != sender && !sender.empty()) {
        auto own = connections_.find(it->instance);
        if (own != connections_.end() && own->second == it) {
            connections_.erase(own);
        }
        it->instance = sender;
        connections_.try_emplace(sender, it);
    }
    if (!handlers_.on_frame(value_of(std::move(frame)))) {
        handlers_.on_bad_connection(it->instance + ": the ring to the decisions is full");
        close(it, "busy");
        return false;
    }
    return true;
}

asio::awaitable<void> peer_transport::read_loop(connection_ptr it)
{
    error_code ec;
    std::array<char, frame_prefix_bytes> prefix{};
    std::string bytes;
    while (!it->closed) {
        co_await asio::async_read(it->socket, asio::buffer(prefix),
                                  asio::redirect_error(asio::use_awaitable, ec));
        if (ec) {
            close(it, "read: " + ec.message());
            co_return;
        }
        result<std::size_t> n = decode_prefix(std::string_view(prefix.data(), prefix.size()));
        if (!succeeded(n)) {
            handlers_.on_bad_connection(name_of_peer(it->instance, it->socket) + ": " +
                                        error_of(n).message);
            close(it, error_of(n).message);
            co_return;
        }
        bytes.resize(value_of(n));
        co_await asio::async_read(it->socket, asio::buffer(bytes),
                                  asio::redirect_error(asio::use_awaitable, ec));
        if (ec) {
            close(it, "read: " + ec.message());
            co_return;
        }
        if (!take_frame(it, bytes)) {
            co_return;
        }
    }
}

void peer_transport::close(const connection_ptr &it, const std::string &reason)
{
    (void)reason;
    if (it->closed) {
        return;
    }
    it->closed = true;
    waiting_ -= it->queued_bytes;
    error_code ec;
    it->socket.close(ec);
    auto own = connections_.find(it->instance);
    if (own == connections_.end() || own->second != it) {
        return;  // a second connection of the pair; the first one goes on
    }
    connections_.erase(own);
    std::vector<std::uint64_t> unsent;
    for (const outgoing &entry : it->queue) {
        if (entry.correlation != 0) {
            unsent.push_back(entry.correlation);
        }
    }
    it->queue.clear();
    handlers_.on_unreachable(it->instance, std::move(unsent));
}

}  // namespace gullstall::runtime
