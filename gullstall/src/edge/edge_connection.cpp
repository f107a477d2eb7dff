#include "gullstall/src/edge/edge_connection.hpp"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/read.hpp>

#include "gullstall/src/edge/clock.hpp"
#include "gullstall/src/runtime/tcp_options.hpp"

namespace gullstall::edge {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

/// Requests of one connection that wait for their answers. Beyond it nothing
/// more is read, so that a client can't fill the memory by not reading.
constexpr std::size_t max_pipeline = 32;

/// Time for which a client's bytes are still read after the last answer.
/// Closing with unread bytes would reset the connection and destroy the answer.
constexpr duration linger_time = seconds(1);

/// Time that a client may leave an answer unread.
constexpr duration write_timeout = seconds(10);

/// A body may take longer than a header: this many times the header's timeout.
constexpr int body_timeout_factor = 4;

struct refusal
{
    std::uint16_t status;
    const char *text;
};

/// \returns how an unreadable request is refused, none when nobody is there to
/// be told
std::optional<refusal> refusal_for(const error_code &ec)
{
    if (ec == http::error::body_limit) {
        return refusal{413, "Payload Too Large"};
    }
    if (ec == http::error::header_limit || ec == http::error::buffer_overflow) {
        return refusal{431, "Request Header Fields Too Large"};
    }
    bool is_protocol = ec.category() == http::make_error_code(http::error::bad_method).category();
    if (!is_protocol || ec == http::error::end_of_stream || ec == http::error::partial_message) {
        return std::nullopt;
    }
    return refusal{400, "Bad Request"};
}

/// \returns whether the header says in two ways where the body ends, or names
/// the host twice: a server behind may read another request out of it
bool is_ambiguous(const http::fields &fields)
{
    auto count = [&](http::field name) {
        auto range = fields.equal_range(name);
        return std::distance(range.first, range.second);
    };
    return (count(http::field::transfer_encoding) > 0 && count(http::field::content_length) > 0) ||
           count(http::field::content_length) > 1 || count(http::field::host) > 1;
}

}  // namespace

edge_connection::edge_connection(http_edge &owner, std::uint64_t id, asio::ip::tcp::socket &&socket)
    : owner_(owner),
      id_(id),
      socket_(std::move(socket)),
      room_(owner.io_, asio::steady_timer::time_point::max()),
      idle_since_(now())
{
}

asio::awaitable<void> edge_connection::run()
{
    auto self = shared_from_this();
    runtime::set_tcp_options(socket_);
    bool more = true;
    while (more && reading_ && !lost_) {
        more = co_await read_request();
    }
    co_await discard();
    lose();
}

asio::awaitable<bool> edge_connection::read_request()
{
    while (pipeline_.size() >= max_pipeline && !lost_) {
        error_code ec;
        room_.expires_at(asio::steady_timer::time_point::max());
        co_await room_.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
    parser_.emplace();
    parser_->header_limit(owner_.limits_.header_bytes);
    parser_->body_limit(owner_.limits_.body_bytes);
    error_code ec;
    co_await http::async_read_header(socket_, buf_, *parser_,
                                     asio::redirect_error(asio::use_awaitable, ec));
    if (!ec && !parser_->is_done()) {
        co_await allow_body();
        co_await http::async_read(socket_, buf_, *parser_,
                                  asio::redirect_error(asio::use_awaitable, ec));
    }
    request_since_.reset();
    if (closing_since_) {
        co_return false;
    }
    if (ec) {
        refuse_unreadable(ec);
        co_return false;
    }
    co_return take_request();
}

asio::awaitable<void> edge_connection::allow_body()
{
    if (!boost::beast::iequals(parser_->get()[http::field::expect], "100-continue") ||
        !pipeline_.empty()) {
        co_return;
    }
    static constexpr std::string_view go_on = "HTTP/1.1 100 Continue\r\n\r\n";
    error_code ec;
    co_await asio::async_write(socket_, asio::buffer(go_on),
                               asio::redirect_error(asio::use_awaitable, ec));
}

bool edge_connection::take_request()
{
    auto message = parser_->release();
    parser_.reset();
    if (is_ambiguous(message)) {
        refuse(400, "Bad Request");
        return false;
    }
    call_ref id{++owner_.last_id_};
    bool keep_alive = message.keep_alive();
    pipeline_.push_back(exchange{id, message.method() == http::verb::head, keep_alive, {}, {}});
    reading_ = reading_ && keep_alive;
    owner_.waiting_[id] = shared_from_this();
    edge_request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.body = std::move(message.body());
    request.fields = std::move(message.base());
    error_code ec;
    request.remote_address = socket_.remote_endpoint(ec).address().to_string();
    owner_.handlers_.requested(id, std::move(request));
    return true;
}

void edge_connection::refuse_unreadable(const error_code &ec)
{
    if (std::optional<refusal> known = refusal_for(ec)) {
        refuse(known->status, known->text);
        return;
    }
    lose();
}

void edge_connection::refuse(std::uint16_t status, const char *text)
{
    call_ref id{++owner_.last_id_};
    pipeline_.push_back(exchange{id, false, false, {}, {}});
    reading_ = false;
    answer(id, edge_answer{status, text, "", {}, true});
}

void edge_connection::answer(call_ref id, edge_answer &&answer)
{
    owner_.waiting_.erase(id);
    auto it = std::find_if(pipeline_.begin(), pipeline_.end(),
                           [id](const exchange &each) { return each.id == id; });
    if (it == pipeline_.end() || lost_) {
        return;
    }
    bool is_last = &*it == &pipeline_.back();
    it->close = answer.close || !it->keep_alive || (owner_.closing_ && is_last);
    std::string head = "HTTP/1.1 " + std::to_string(answer.status) + " " + answer.status_text +
                       "\r\n" + answer.header_lines +
                       "Content-Length: " + std::to_string(answer.body.size()) + "\r\n" +
                       (it->close ? "Connection: close\r\n\r\n" : "\r\n");
    it->head = std::move(head);
    if (!it->is_head) {
        it->body = std::move(answer.body);
    }
    write_next();
}

void edge_connection::write_next()
{
    if (writing_ || lost_ || pipeline_.empty() || !pipeline_.front().head) {
        return;
    }
    writing_ = true;
    write_since_ = now();
    exchange &front = pipeline_.front();
    std::array<asio::const_buffer, 2> bytes{asio::buffer(*front.head), asio::buffer(front.body)};
    asio::async_write(socket_, bytes, [self = shared_from_this()](const error_code &ec, auto) {
        self->writing_ = false;
        self->write_since_.reset();
        if (ec || self->lost_) {
            self->lose();
            return;
        }
        bool close = self->pipeline_.front().close;
        self->pipeline_.pop_front();
        self->idle_since_ = now();
        self->room_.cancel();
        if (close) {
            self->end_after_answer();
            return;
        }
        self->write_next();
    });
}

/// Ends the connection after an answer that said so. Requests behind it were
/// not passed on, or are broken off: the client sends them again.
void edge_connection::end_after_answer()
{
    reading_ = false;
    closing_since_ = now();
    for (exchange &behind : pipeline_) {
        if (!behind.head) {
            owner_.waiting_.erase(behind.id);
            owner_.handlers_.abandoned(behind.id);
        }
    }
    pipeline_.clear();
    error_code ec;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
    // The read in progress ends: from now on bytes are only discarded.
    socket_.cancel(ec);
}

asio::awaitable<void> edge_connection::discard()
{
    constexpr std::size_t discard_bytes = 16384;
    std::vector<char> sink(discard_bytes);
    error_code ec;
    while (!lost_ && !ec) {
        co_await socket_.async_read_some(asio::buffer(sink),
                                         asio::redirect_error(asio::use_awaitable, ec));
        if (ec == asio::error::operation_aborted && !lost_) {
            ec = {};  // end_after_answer() broke the read off
        }
    }
}

void edge_connection::lose()
{
    if (lost_) {
        return;
    }
    lost_ = true;
    for (exchange &each : pipeline_) {
        if (owner_.waiting_.erase(each.id) > 0) {
            owner_.handlers_.abandoned(each.id);
        }
    }
    error_code ec;
    socket_.close(ec);
    room_.cancel();
    owner_.connections_.erase(id_);
}

bool edge_connection::is_idle() const
{
    bool has_part = buf_.size() > 0 || (parser_ && parser_->got_some());
    return pipeline_.empty() && !has_part;
}

void edge_connection::close_gently()
{
    if (is_idle() && !closing_since_) {
        end_after_answer();
    }
}

void edge_connection::sweep(time_point at)
{
    auto self = shared_from_this();
    bool has_part = !closing_since_ && reading_ &&
                    (buf_.size() > 0 || (parser_ && parser_->got_some())) &&
                    pipeline_.size() < max_pipeline;
    if (has_part && !request_since_) {
        request_since_ = at;
    }
    bool lingered = closing_since_ && at - *closing_since_ > linger_time;
    bool is_stuck = write_since_ && at - *write_since_ > write_timeout;
    if (lingered || is_stuck) {
        lose();
    } else if (has_part && request_since_) {
        bool in_body = parser_ && parser_->is_header_done();
        duration limit = owner_.limits_.header_timeout * (in_body ? body_timeout_factor : 1);
        if (at - *request_since_ > limit) {
            refuse(408, "Request Timeout");
        }
    } else if (is_idle() && !closing_since_ && at - idle_since_ > owner_.limits_.idle_timeout) {
        end_after_answer();
    }
}

}  // namespace gullstall::edge
