#include "gullstall/src/edge/upstream_exchange.hpp"

#include <array>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <utility>

#include "gullstall/src/edge/clock.hpp"
#include "gullstall/src/edge/http_edge.hpp"
#include "gullstall/src/edge/notice_fields.hpp"
#include "gullstall/src/edge/time_fields.hpp"
#include "gullstall/src/edge/upstream_connect.hpp"
#include "gullstall/src/runtime/http_status.hpp"
#include "gullstall/src/runtime/read_buffer.hpp"
#include "gullstall/src/runtime/tcp_options.hpp"

namespace gullstall::edge {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using mesh::run_end;
using mesh::run_result;

namespace {

constexpr std::uint32_t max_response_header_bytes = 65536;
constexpr std::uint64_t max_response_body_bytes = 64U << 20U;

/// Bodies beyond this may fill the window of an upstream that is alive and reads slowly.
constexpr std::size_t max_prompt_body_bytes = 4096;

/// Time for which such an upstream may read nothing.
constexpr duration slow_reader_limit = seconds(10);

/// Number of late responses to earlier requests that are skipped before the expected
/// one: an upstream may send a second response to a request.
constexpr int max_stale_responses = 4;

/// Fraction of the upstream's keep-alive timeout during which a connection is reused.
/// The upstream counts whole seconds from its own last byte, and a request sent while
/// it closes the connection is lost.
constexpr double keep_alive_fraction = 0.7;

/// \returns for how long the connection of such a response may rest and be reused
duration reuse_time(const http::fields &fields)
{
    auto field = fields[http::field::keep_alive];
    std::optional<duration> timeout = parse_keep_alive_timeout({field.data(), field.size()});
    return timeout ? from_seconds(keep_alive_fraction * to_seconds(*timeout))
                   : default_keep_alive_time;
}

}  // namespace

upstream_exchange::upstream_exchange(upstream_client &owner, mesh::start_run &&order)
    : owner_(owner),
      order_(std::move(order)),
      socket_(owner.io_),
      buf_(runtime::read_buffer_limit(max_response_header_bytes)),
      generation_(owner.generation_)
{
}

asio::awaitable<void> upstream_exchange::run()
{
    auto self = shared_from_this();
    std::optional<asio::ip::tcp::socket> idle = owner_.take_idle_connection();
    if (idle) {
        socket_ = std::move(*idle);
    } else if (!co_await connect()) {
        complete(run_result{run_end::not_sent, 0, "", "", {}});
        co_return;
    }
    if (completed_) {
        co_return;
    }
    write_request();
    run_result result = co_await read_matching_response();
    complete(std::move(result));
}

asio::awaitable<bool> upstream_exchange::connect()
{
    ++owner_.connections_opened_;
    error_code ec = co_await connect_upstream(socket_, owner_.endpoint_, shared_from_this());
    if (ec || !runtime::set_tcp_options(socket_)) {
        co_return false;
    }
    runtime::limit_unacknowledged_time(socket_, runtime::unacknowledged_limit);
    co_return true;
}

void upstream_exchange::write_request()
{
    const mesh_wire::call_message &call = order_.call;
    const header_names &names = owner_.names_;
    head_ = call.method + " " + call.target + " HTTP/1.1\r\n" + call.header_lines +
            names.time_left_ms + ": " + std::to_string(to_ms(order_.left)) + "\r\n" +
            names.expected_upstream + ": " + order_.upstream + "\r\n" + names.caller_service +
            ": " + call.caller_service + "\r\n";
    if (!call.customer.empty()) {
        head_ += names.customer + ": " + call.customer + "\r\n";
    }
    if (!call.body.empty() || call.method != "GET") {
        head_ += "Content-Length: " + std::to_string(call.body.size()) + "\r\n";
    }
    head_ += "\r\n";
    std::array<asio::const_buffer, 2> bytes{asio::buffer(head_), asio::buffer(call.body)};
    if (call.body.size() > max_prompt_body_bytes) {
        runtime::limit_unacknowledged_time(socket_, slow_reader_limit);
    }
    // Write concurrently with the read: an upstream may respond before it has read the
    // whole body.
    asio::async_write(socket_, bytes, [self = shared_from_this()](const error_code &ec, auto) {
        self->request_written_ = !ec;
        self->write_failed_ = ec.failed();
    });
}

asio::awaitable<bool> upstream_exchange::read_header(response_parser &parser)
{
    parser.header_limit(max_response_header_bytes);
    parser.body_limit(max_response_body_bytes);
    parser.skip(order_.call.method == "HEAD");
    parser.eager(true);  // parses what has arrived of the body, too
    error_code ec;
    co_await http::async_read_header(socket_, buf_, parser,
                                     asio::redirect_error(asio::use_awaitable, ec));
    co_return !ec;
}

asio::awaitable<bool> upstream_exchange::read_body(response_parser &parser)
{
    error_code ec;
    while (!ec && !completed_ && !parser.is_done()) {
        co_await http::async_read_some(socket_, buf_, parser,
                                       asio::redirect_error(asio::use_awaitable, ec));
        if (!completed_) {
            add_response_bytes(parser.get().body().size() - response_bytes_);
        }
    }
    co_return !ec && !completed_;
}

void upstream_exchange::add_response_bytes(std::size_t n)
{
    response_bytes_ += n;
    owner_.add_response_bytes(n);
}

void upstream_exchange::return_response_bytes()
{
    owner_.response_bytes_ -= std::exchange(response_bytes_, 0);
}

/// Reports what the upstream says of itself. A misdirected request was answered by another
/// incarnation, and so may one be that was sent over a connection to an earlier one.
void upstream_exchange::report_notice(const response_parser::value_type &response, bool is_stale)
{
    bool is_other_incarnation =
        response.result() == http::status::misdirected_request || generation_ != owner_.generation_;
    if (completed_ || is_other_incarnation) {
        return;
    }
    mesh::upstream_notice notice = read_notice(response, owner_.names_);
    owner_.on_notice_(is_stale ? std::nullopt : std::optional(order_.run), notice);
}

/// A response without a length is whole if the upstream has ended its stream, which a reset can
/// look like.
bool upstream_exchange::is_whole(const response_parser &parser)
{
    return !parser.need_eof() || (!write_failed_ && !runtime::has_failed(socket_));
}

asio::awaitable<run_result> upstream_exchange::read_matching_response()
{
    for (int i = 0; i <= max_stale_responses; ++i) {
        response_parser parser;
        bool has_header = co_await read_header(parser);
        response_parser::value_type &response = parser.get();
        std::string_view echoed(response[owner_.names_.request_id].data(),
                                response[owner_.names_.request_id].size());
        bool is_stale = !echoed.empty() && echoed != order_.call.request_id;
        bool is_final = runtime::is_final_status(response.result_int());
        bool has_status = is_final || runtime::is_interim_status(response.result_int());
        if (has_header && is_final) {
            report_notice(response, is_stale);
        }
        bool is_anonymous = echoed.empty() && is_final && !was_not_executed(response);
        bool is_valid = has_header && has_status && !is_anonymous;
        if (is_valid) {
            is_valid = co_await read_body(parser);
            is_valid = is_valid && is_whole(parser);
        }
        if (!is_valid) {
            bool received_nothing = !parser.got_some();
            co_return run_result{
                received_nothing ? run_end::lost : run_end::bad_answer, 0, "", "", {}};
        }
        return_response_bytes();
        if (is_stale || !is_final) {
            continue;
        }
        evaluate_reuse(response, !parser.need_eof());
        co_return to_run_result(parser.release());
    }
    co_return run_result{run_end::bad_answer, 0, "", "", {}};
}

bool upstream_exchange::was_not_executed(const response_parser::value_type &response) const
{
    return response.find(owner_.names_.not_executed) != response.end() ||
           response.result() == http::status::misdirected_request;
}

run_result upstream_exchange::to_run_result(response_parser::value_type &&response) const
{
    run_result out;
    out.end = was_not_executed(response) ? run_end::not_executed : run_end::answered;
    out.status = static_cast<std::uint16_t>(response.result_int());
    out.status_text = std::string(response.reason());
    out.header_lines = end_to_end_lines(response);
    out.body = std::move(response.body());
    return out;
}

/// Decides whether the connection can be reused. Surplus bytes after the response
/// would be parsed as the next response, and a request that is not fully written would
/// corrupt the next one.
void upstream_exchange::evaluate_reuse(const response_parser::value_type &response, bool is_framed)
{
    reusable_ = is_framed && response.keep_alive() && request_written_ && buf_.size() == 0 &&
                generation_ == owner_.generation_;
    keep_alive_time_ = reuse_time(response);
}

void upstream_exchange::cancel()
{
    completed_ = true;
    return_response_bytes();
    error_code ec;
    socket_.close(ec);
}

void upstream_exchange::abort(run_end how)
{
    complete(run_result{how, 0, "", "", {}});
    error_code ec;
    socket_.close(ec);
}

void upstream_exchange::complete(run_result &&result)
{
    if (completed_) {
        return;
    }
    completed_ = true;
    return_response_bytes();
    error_code ec;
    if (reusable_) {
        if (order_.call.body.size() > max_prompt_body_bytes) {
            runtime::limit_unacknowledged_time(socket_, runtime::unacknowledged_limit);
        }
        owner_.idle_.push_back({std::move(socket_), now(), keep_alive_time_});
    } else {
        socket_.close(ec);
    }
    run_ref id = order_.run;
    owner_.exchanges_.erase(id);
    owner_.on_complete_(id, std::move(result));
}

}  // namespace gullstall::edge
