#include "gullstall/src/runtime/http_server.hpp"

#include <sys/socket.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <cerrno>

#include "gullstall/src/runtime/accept_waiting.hpp"
#include "gullstall/src/runtime/read_buffer.hpp"
#include "gullstall/src/runtime/tcp_options.hpp"

namespace gullstall::runtime {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using namespace asio::experimental::awaitable_operators;

namespace {

constexpr std::chrono::seconds idle_timeout = std::chrono::minutes(5);
constexpr auto write_timeout = std::chrono::seconds(30);

/// Time for which a refused client's bytes are still read.
constexpr std::chrono::milliseconds drain_time = std::chrono::seconds(2);
constexpr std::chrono::milliseconds stop_drain_time = std::chrono::milliseconds(500);

/// Time in which a client that has begun to connect completes the handshake: several
/// round trips.
constexpr std::chrono::milliseconds handshake_time(50);

http_response make_refusal(http::status status, const std::string &reason)
{
    http_response out{status, 11};
    std::string text = reason + "\n";
    out.set(http::field::content_type, "text/plain");
    out.set("Gullstall-Outcome", "not-run");
    out.set("Gullstall-Reason", reason);
    out.body().assign(text.begin(), text.end());
    out.keep_alive(false);
    out.prepare_payload();
    return out;
}

struct read_refusal
{
    http::status status;
    const char *reason;
};

/// \returns how an unreadable request is refused, none when nobody is there to
/// be told
std::optional<read_refusal> refusal_for(const error_code &ec)
{
    if (ec == http::error::body_limit) {
        return read_refusal{http::status::payload_too_large, "body-too-large"};
    }
    if (ec == http::error::header_limit || ec == http::error::buffer_overflow) {
        return read_refusal{http::status::request_header_fields_too_large, "header-too-large"};
    }
    if (ec == http::error::partial_message) {
        return read_refusal{http::status::bad_request, "request-cut-short"};
    }
    if (ec == http::error::end_of_stream ||
        ec.category() != http::make_error_code(http::error::bad_method).category()) {
        return std::nullopt;
    }
    return read_refusal{http::status::bad_request, "bad-request"};
}

/// Breaks off reads of a stream after a time. The stream's own timeout would
/// close the socket, and a slow sender would see a reset in place of the reason.
class read_limit
{
public:
    read_limit(beast::tcp_stream &stream, duration limit)
        : state_(std::make_shared<state>(state{asio::steady_timer(stream.get_executor(), limit)}))
    {
        state_->stream = &stream;
        state_->timer.async_wait([held = state_](const error_code &ec) {
            if (!ec && held->stream != nullptr) {
                held->passed = true;
                held->stream->cancel();
            }
        });
    }

    read_limit(const read_limit &) = delete;
    read_limit &operator=(const read_limit &) = delete;

    ~read_limit()
    {
        // The timer's handler may be queued already: it must not touch the stream.
        state_->stream = nullptr;
        state_->timer.cancel();
    }

    bool passed() const
    {
        return state_->passed;
    }

private:
    struct state
    {
        asio::steady_timer timer;
        beast::tcp_stream *stream = nullptr;
        bool passed = false;
    };
    std::shared_ptr<state> state_;
};

/// \returns whether the client waits for a word before it sends the body
bool expects_continue(const http_request &request)
{
    return beast::iequals(request[http::field::expect], "100-continue");
}

/// \returns whether the other side has closed the connection
bool is_closed(asio::ip::tcp::socket &socket)
{
    char byte = 0;
    ssize_t n = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

}  // namespace

http_server::http_server(asio::io_context &io, const asio::ip::tcp::endpoint &at,
                         http_limits limits, http_handlers handlers)
    : io_(io), acceptor_(io, at), limits_(limits), handlers_(std::move(handlers))
{
    asio::co_spawn(io_, accept_loop(), asio::detached);
}

void http_server::answer(std::uint64_t id, http_response &&response)
{
    auto it = waiting_.find(id);
    if (it == waiting_.end()) {
        return;
    }
    it->second->response = std::move(response);
    // Not cancel(): the answer may come before the wait has begun, and a wait
    // that begins later would then never end. A time in the past ends both.
    it->second->signal.expires_at(asio::steady_timer::time_point::min());
}

void http_server::stop()
{
    stopping_ = true;
    asio::co_spawn(io_, close_acceptor(), asio::detached);
    for (beast::tcp_stream *it : idle_) {
        it->cancel();
    }
}

/// Closes the listening socket once no client is connecting. The close resets clients
/// that are not accepted yet, and they can't tell whether the request that they sent ran.
asio::awaitable<void> http_server::close_acceptor()
{
    error_code ec;
    ignore_new_clients(acceptor_);
    asio::steady_timer timer(io_);
    std::uint64_t before = 0;
    do {
        before = accepted_;
        timer.expires_after(handshake_time);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    } while (accepted_ != before);
    accept_waiting();
    acceptor_.close(ec);
}

/// Serves the clients in the accept queue.
void http_server::accept_waiting()
{
    runtime::accept_waiting(acceptor_, [this](asio::ip::tcp::socket &&socket) {
        asio::co_spawn(io_, serve(beast::tcp_stream(std::move(socket))), asio::detached);
    });
}

asio::awaitable<void> http_server::accept_loop()
{
    while (acceptor_.is_open()) {
        error_code ec;
        asio::ip::tcp::socket socket =
            co_await acceptor_.async_accept(asio::redirect_error(asio::use_awaitable, ec));
        if (ec == asio::error::operation_aborted) {
            break;
        }
        if (ec) {
            // Out of descriptors: the accept fails at once again, so wait a moment.
            asio::steady_timer pause(io_, std::chrono::milliseconds(10));
            co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ec));
            continue;
        }
        ++accepted_;
        socket.set_option(asio::ip::tcp::no_delay(true), ec);
        asio::co_spawn(io_, serve(beast::tcp_stream(std::move(socket))), asio::detached);
    }
    // An accept that had succeeded before the stop is served above; only after
    // the last one has begun may an open count of none be believed.
    asio::post(io_, [this] { closed_ = true; });
}

asio::awaitable<void> http_server::refuse(beast::tcp_stream &stream, http::status status,
                                          const std::string &reason)
{
    error_code ec;
    http_response response = make_refusal(status, reason);
    stream.expires_after(write_timeout);
    co_await http::async_write(stream, response, asio::redirect_error(asio::use_awaitable, ec));
    // What the client still sends is read for a moment: closing with unread
    // bytes would reset the connection, and the client would not see the reason.
    stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ec);
    constexpr std::size_t drain_bytes = 65536;
    constexpr std::uint64_t drain_limit = 64U << 20U;
    std::vector<char> sink(drain_bytes);
    stream.expires_after(stopping_ ? stop_drain_time : drain_time);
    std::uint64_t total = 0;
    while (!ec && total < drain_limit) {
        total += co_await stream.async_read_some(asio::buffer(sink),
                                                 asio::redirect_error(asio::use_awaitable, ec));
    }
}

asio::awaitable<void> http_server::read_whole(beast::tcp_stream &stream, beast::flat_buffer &buf,
                                              request_parser &parser, error_code &ec)
{
    co_await http::async_read_header(stream, buf, parser,
                                     asio::redirect_error(asio::use_awaitable, ec));
    if (!ec && expects_continue(parser.get())) {
        constexpr unsigned http_version = 11;
        http::response<http::empty_body> go_on{http::status::continue_, http_version};
        co_await http::async_write(stream, go_on, asio::redirect_error(asio::use_awaitable, ec));
    }
    if (!ec) {
        co_await http::async_read(stream, buf, parser,
                                  asio::redirect_error(asio::use_awaitable, ec));
    }
}

asio::awaitable<std::optional<http_request>> http_server::read_request(beast::tcp_stream &stream,
                                                                       beast::flat_buffer &buf)
{
    error_code ec;
    if (buf.size() == 0) {
        // Between two requests the connection may be idle for long.
        stream.expires_after(stopping_ ? std::chrono::seconds(1) : idle_timeout);
        constexpr std::size_t first_read = 4096;
        idle_.insert(&stream);
        std::size_t n = co_await stream.async_read_some(
            buf.prepare(first_read), asio::redirect_error(asio::use_awaitable, ec));
        idle_.erase(&stream);
        if (ec && stopping_) {
            // A request may be on its way on this connection. A mere close would
            // leave its client without a word on whether it ran; so the refusal
            // goes first, and a client that has asked nothing drops it.
            co_await refuse(stream, http::status::request_timeout, "leaving");
        }
        if (ec) {
            co_return std::nullopt;
        }
        buf.commit(n);
    }
    request_parser parser;
    parser.body_limit(limits_.body_bytes);
    parser.header_limit(limits_.header_bytes);
    stream.expires_never();
    bool too_slow = false;
    {
        read_limit limit(stream, limits_.read_timeout);
        co_await read_whole(stream, buf, parser, ec);
        too_slow = limit.passed();
    }
    if (ec) {
        std::optional<read_refusal> refusal = refusal_for(ec);
        if (too_slow) {
            refusal = read_refusal{http::status::request_timeout, "request-too-slow"};
        }
        if (refusal) {
            co_await refuse(stream, refusal->status, refusal->reason);
        }
        co_return std::nullopt;
    }
    co_return parser.release();
}

asio::awaitable<std::optional<http_response>> http_server::wait_answer(beast::tcp_stream &stream,
                                                                       http_request &&request)
{
    std::uint64_t id = ++last_id_;
    auto entry = std::make_shared<waiter>(waiter{asio::steady_timer(io_), std::nullopt});
    entry->signal.expires_at(asio::steady_timer::time_point::max());
    waiting_[id] = entry;
    handlers_.on_request(id, std::move(request));
    error_code ec;
    error_code read_ec;
    while (!entry->response) {
        co_await (entry->signal.async_wait(asio::redirect_error(asio::use_awaitable, ec)) ||
                  stream.socket().async_wait(asio::ip::tcp::socket::wait_read,
                                             asio::redirect_error(asio::use_awaitable, read_ec)));
        if (entry->response) {
            break;
        }
        if (read_ec || is_closed(stream.socket())) {
            waiting_.erase(id);
            handlers_.on_abandoned(id);
            co_return std::nullopt;
        }
        // Bytes of a further request are there: it waits for its turn.
        co_await entry->signal.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
    waiting_.erase(id);
    co_return std::move(entry->response);
}

asio::awaitable<void> http_server::serve(beast::tcp_stream stream)
{
    if (open_ >= limits_.connections) {
        // The refusals hold descriptors too: beyond their own limit the
        // connection is only closed.
        constexpr std::uint32_t refusals_at_once = 256;
        if (refusing_ < refusals_at_once) {
            ++refusing_;
            co_await refuse(stream, http::status::service_unavailable, "too-many-connections");
            --refusing_;
        }
        co_return;
    }
    ++open_;
    beast::flat_buffer buf(read_buffer_limit(limits_.header_bytes));
    error_code ec;
    bool keep = true;
    while (keep && !ec) {
        std::optional<http_request> request = co_await read_request(stream, buf);
        if (!request) {
            break;
        }
        keep = request->keep_alive();
        std::optional<http_response> response = co_await wait_answer(stream, std::move(*request));
        if (!response) {
            break;
        }
        keep = keep && !stopping_ && response->keep_alive();
        response->keep_alive(keep);
        stream.expires_after(write_timeout);
        co_await http::async_write(stream, *response,
                                   asio::redirect_error(asio::use_awaitable, ec));
    }
    --open_;
    stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ec);
}

}  // namespace gullstall::runtime
