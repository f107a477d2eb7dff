#include "gullstall/src/edge/edge_connection.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/read.hpp>
#include <utility>

#include "gullstall/src/edge/clock.hpp"
#include "gullstall/src/edge/request_rejection.hpp"
#include "gullstall/src/runtime/read_buffer.hpp"
#include "gullstall/src/runtime/tcp_options.hpp"

namespace gullstall::edge {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

/// Limit of pipelined requests per connection. At the limit reading pauses, so that a
/// client that does not read its responses can't exhaust the memory.
constexpr std::size_t max_pipelined_requests = 32;

/// Time for which input is read and discarded after the client has received the last
/// response. Closing a socket with unread input sends a reset, which can destroy the
/// response before the client reads it.
constexpr duration linger_time = seconds(1);

/// Longest time in which a client takes no byte of a response.
constexpr duration write_stall_timeout = seconds(10);

constexpr std::size_t max_write_bytes = 65536;

/// The timeout for a request with a body, as a multiple of the header timeout.
constexpr int body_timeout_factor = 4;

}  // namespace

edge_connection::edge_connection(http_edge &owner, std::uint64_t id, asio::ip::tcp::socket &&socket)
    : owner_(owner),
      id_(id),
      socket_(std::move(socket)),
      pipeline_space_(owner.io_, asio::steady_timer::time_point::max()),
      idle_since_(now())
{
}

asio::awaitable<void> edge_connection::run()
{
    auto self = shared_from_this();
    runtime::set_tcp_options(socket_);
    bool more = true;
    while (more && accepts_requests_ && !closed_) {
        more = co_await read_request();
    }
    co_await drain_input();
    close_connection();
}

asio::awaitable<bool> edge_connection::read_request()
{
    while (pipeline_.size() >= max_pipelined_requests && !closed_) {
        error_code ec;
        pipeline_space_.expires_at(asio::steady_timer::time_point::max());
        co_await pipeline_space_.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
    parser_.emplace();
    parser_->header_limit(owner_.limits_.header_bytes);
    parser_->body_limit(owner_.limits_.body_bytes);
    // Pipelined requests that have arrived stay in the buffer, whatever the limit is now.
    buf_.max_size(std::max(runtime::read_buffer_limit(owner_.limits_.header_bytes),
                           buf_.size() + runtime::max_read_bytes));
    error_code ec = co_await read_message();
    partial_request_since_.reset();
    if (closing_since_ || !accepts_requests_) {
        co_return false;
    }
    if (ec) {
        reject_unparsable(ec);
        co_return false;
    }
    co_return dispatch_request();
}

asio::awaitable<error_code> edge_connection::read_message()
{
    error_code ec;
    do {
        co_await http::async_read_header(socket_, buf_, *parser_,
                                         asio::redirect_error(asio::use_awaitable, ec));
        if (const char *why = std::exchange(closes_if_idle_, nullptr); why && is_idle()) {
            begin_lingering_close(why);
        }
    } while (ec == asio::error::operation_aborted && !closing_since_ && !closed_);
    if (!ec && !parser_->is_done()) {
        co_await send_continue();
        co_await http::async_read(socket_, buf_, *parser_,
                                  asio::redirect_error(asio::use_awaitable, ec));
    }
    co_return ec;
}

asio::awaitable<void> edge_connection::send_continue()
{
    if (!boost::beast::iequals(parser_->get()[http::field::expect], "100-continue") ||
        !pipeline_.empty()) {
        co_return;
    }
    static constexpr std::string_view continue_response = "HTTP/1.1 100 Continue\r\n\r\n";
    error_code ec;
    co_await asio::async_write(socket_, asio::buffer(continue_response),
                               asio::redirect_error(asio::use_awaitable, ec));
}

bool edge_connection::dispatch_request()
{
    auto message = parser_->release();
    parser_.reset();
    if (is_ambiguous(message)) {
        reject(400, "Bad Request");
        return false;
    }
    call_ref id{++owner_.last_id_};
    bool keep_alive = message.keep_alive();
    pipeline_.push_back(exchange{id, message.method() == http::verb::head, keep_alive});
    accepts_requests_ = accepts_requests_ && keep_alive;
    owner_.pending_[id] = shared_from_this();
    edge_request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.body = std::move(message.body());
    request.fields = std::move(message.base());
    error_code ec;
    request.remote_address = socket_.remote_endpoint(ec).address().to_string();
    owner_.handlers_.on_request(id, std::move(request));
    return true;
}

void edge_connection::reject_unparsable(const error_code &ec)
{
    if (std::optional<rejection> known = rejection_for(ec)) {
        reject(known->status, known->text);
        return;
    }
    close_connection();
}

void edge_connection::reject(std::uint16_t status, const char *text)
{
    call_ref id{++owner_.last_id_};
    pipeline_.push_back(exchange{id, false, false});
    accepts_requests_ = false;
    respond(id, edge_answer{status, text, "", {}, true});
}

void edge_connection::respond(call_ref id, edge_answer &&response)
{
    owner_.pending_.erase(id);
    auto it = std::find_if(pipeline_.begin(), pipeline_.end(),
                           [id](const exchange &each) { return each.id == id; });
    if (it == pipeline_.end() || closed_) {
        return;
    }
    it->response = std::move(response);
    write_next_response();
}

/// To be asked when the response is written: requests may have come since it was made.
bool edge_connection::closes_after(const exchange &front) const
{
    return front.response->close || !front.keep_alive ||
           (owner_.draining_ && pipeline_.size() == 1);
}

void edge_connection::write_next_response()
{
    if (writing_ || closed_ || pipeline_.empty() || !pipeline_.front().response) {
        return;
    }
    writing_ = true;
    delivery_.is_complete = false;
    write_since_ = now();
    exchange &front = pipeline_.front();
    front.close = closes_after(front);
    accepts_requests_ = accepts_requests_ && !front.close;
    const edge_answer &response = *front.response;
    front.head = "HTTP/1.1 " + std::to_string(response.status) + " " + response.status_text +
                 "\r\n" + response.header_lines +
                 "Content-Length: " + std::to_string(response.body.size()) + "\r\n" +
                 (front.close ? "Connection: close\r\n\r\n" : "\r\n");
    std::array<asio::const_buffer, 2> bytes{asio::buffer(front.head), asio::const_buffer()};
    if (!front.is_head) {
        bytes[1] = asio::buffer(response.body);
    }
    auto note_progress = [self = shared_from_this()](const error_code &ec, std::size_t) {
        self->write_since_ = now();
        return ec ? 0 : max_write_bytes;
    };
    auto on_written = [self = shared_from_this()](const error_code &ec, auto) {
        self->writing_ = false;
        self->write_since_.reset();
        self->delivery_ = delivery{false, 0, now()};
        if (ec || self->closed_) {
            self->close_connection();
            return;
        }
        bool close = self->pipeline_.front().close;
        self->pipeline_.pop_front();
        self->idle_since_ = now();
        self->pipeline_space_.cancel();
        if (close) {
            self->begin_lingering_close("answer");
            return;
        }
        self->write_next_response();
    };
    asio::async_write(socket_, bytes, note_progress, on_written);
}

/// Half-closes the connection when it is idle or has sent a response with
/// "Connection: close". Pipelined requests behind that response were not dispatched or
/// are abandoned; the client has to resend them.
void edge_connection::begin_lingering_close(const char *why)
{
    report_loss(why);
    accepts_requests_ = false;
    closing_since_ = now();
    delivery_.is_complete = false;  // the end of the stream is to be acknowledged, too
    for (exchange &behind : pipeline_) {
        if (!behind.response) {
            owner_.pending_.erase(behind.id);
            owner_.handlers_.on_abandoned(behind.id);
        }
    }
    pipeline_.clear();
    error_code ec;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
    // Aborts the pending read; drain_input() discards all further input.
    socket_.cancel(ec);
}

void edge_connection::report_loss(const char *why)
{
    error_code ec;
    connection_loss loss{why};
    loss.unread_bytes = buf_.size() + socket_.available(ec);
    loss.unanswered = static_cast<std::size_t>(
        std::count_if(pipeline_.begin(), pipeline_.end(),
                      [](const exchange &each) { return !each.response.has_value(); }));
    if (loss.unanswered > 0 || loss.unread_bytes > 0) {
        owner_.handlers_.on_loss(loss);
    }
}

asio::awaitable<void> edge_connection::drain_input()
{
    constexpr std::size_t chunk_bytes = 16384;
    std::vector<char> sink(chunk_bytes);
    error_code ec;
    while (!closed_ && !ec) {
        co_await socket_.async_read_some(asio::buffer(sink),
                                         asio::redirect_error(asio::use_awaitable, ec));
        if (ec == asio::error::operation_aborted && !closed_) {
            ec = {};  // begin_lingering_close() cancelled the read
        }
    }
}

void edge_connection::close_connection()
{
    if (closed_) {
        return;
    }
    closed_ = true;
    for (exchange &each : pipeline_) {
        if (owner_.pending_.erase(each.id) > 0) {
            owner_.handlers_.on_abandoned(each.id);
        }
    }
    error_code ec;
    socket_.close(ec);
    pipeline_space_.cancel();
    owner_.connections_.erase(id_);
}

bool edge_connection::has_work()
{
    bool may_be_read = !closing_since_ && (owner_.draining_ || !is_idle());
    return !pipeline_.empty() || !is_delivered(now()) || may_be_read;
}

/// A request may wait in the socket's buffer, for long if the process was held up, and so may a
/// response to a client that reads slowly.
bool edge_connection::is_idle()
{
    if (!pipeline_.empty() || buf_.size() > 0 || (parser_ && parser_->got_some())) {
        return false;
    }
    error_code ec;
    return socket_.available(ec) == 0 && is_delivered(now());
}

bool edge_connection::is_delivered(time_point at)
{
    return !writing_ && update_delivery(delivery_, socket_, at);
}

bool edge_connection::is_stalled(time_point at)
{
    if (writing_) {
        return write_since_ && at - *write_since_ > write_stall_timeout;
    }
    return !is_delivered(at) && at - delivery_.progressed_at > write_stall_timeout;
}

bool edge_connection::has_lingered(time_point at)
{
    return closing_since_ && is_delivered(at) &&
           at - std::max(*closing_since_, delivery_.progressed_at) > linger_time;
}

void edge_connection::start_draining()
{
    close_if_idle("drained");
}

/// Input that the pending read has already taken shows only when that read has ended: it is
/// cancelled first, which loses nothing, and read_message() decides.
void edge_connection::close_if_idle(const char *why)
{
    if (closing_since_ || !is_idle()) {
        return;
    }
    closes_if_idle_ = why;
    error_code ec;
    socket_.cancel(ec);
}

void edge_connection::sweep(time_point at)
{
    auto self = shared_from_this();
    bool has_partial_request = !closing_since_ && accepts_requests_ &&
                               (buf_.size() > 0 || (parser_ && parser_->got_some())) &&
                               pipeline_.size() < max_pipelined_requests;
    if (has_partial_request && !partial_request_since_) {
        partial_request_since_ = at;
    }
    if (!is_delivered(at)) {
        idle_since_ = at;
    }
    bool stalled = is_stalled(at);
    if (stalled || has_lingered(at)) {
        if (stalled) {
            report_loss("stalled");
        }
        close_connection();
    } else if (has_partial_request && partial_request_since_) {
        bool in_body = parser_ && parser_->is_header_done();
        duration limit = owner_.limits_.header_timeout * (in_body ? body_timeout_factor : 1);
        if (at - *partial_request_since_ > limit) {
            reject(408, "Request Timeout");
        }
    } else if (owner_.draining_) {
        start_draining();
    } else if (at - idle_since_ > owner_.limits_.idle_timeout) {
        close_if_idle("idle");
    }
}

}  // namespace gullstall::edge
