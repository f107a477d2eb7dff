#include "gullstall/src/edge/upstream_exchange.hpp"

#include <array>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/lexical_cast/try_lexical_convert.hpp>

#include "gullstall/src/edge/clock.hpp"
#include "gullstall/src/edge/http_edge.hpp"
#include "gullstall/src/runtime/tcp_options.hpp"

namespace gullstall::edge {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using mesh::run_end;
using mesh::run_result;

namespace {

constexpr std::uint32_t max_response_header = 65536;
constexpr std::uint64_t max_response_body = 64U << 20U;

/// Answers to earlier requests that may stand before the one that is waited
/// for: an upstream may send one more answer to a request, late.
constexpr int max_foreign_answers = 4;

/// The upstream runs on the same instance and takes a connection in about 1 ms.
/// One that does not answer for this long takes none.
constexpr std::chrono::milliseconds connect_timeout(500);

/// Idle time after which a connection is not used again when the upstream does
/// not tell how long it keeps one.
constexpr duration default_reuse = seconds(2);

/// Part of the time that the upstream tells. It counts in whole seconds from
/// its own last byte, and a request that crosses its close is lost.
constexpr double reuse_part = 0.7;

/// \returns the time in "timeout=N" of a Keep-Alive field
duration told_reuse(const http::fields &fields)
{
    std::string_view text(fields[http::field::keep_alive].data(),
                          fields[http::field::keep_alive].size());
    std::size_t at = text.find("timeout=");
    if (at == std::string_view::npos) {
        return default_reuse;
    }
    constexpr std::size_t skip = 8;
    std::string_view digits = text.substr(at + skip);
    digits = digits.substr(0, digits.find_first_not_of("0123456789"));
    double n = 0;
    if (!boost::conversion::try_lexical_convert(digits, n)) {
        return default_reuse;
    }
    return duration(static_cast<std::int64_t>(n * reuse_part * seconds(1) / duration(1)));
}

}  // namespace

upstream_exchange::upstream_exchange(upstream_client &owner, mesh::start_run &&order)
    : owner_(owner), order_(std::move(order)), socket_(owner.io_), generation_(owner.generation_)
{
}

asio::awaitable<void> upstream_exchange::run()
{
    auto self = shared_from_this();
    std::optional<asio::ip::tcp::socket> idle = owner_.take_idle();
    if (idle) {
        socket_ = std::move(*idle);
    } else if (!co_await connect()) {
        end(run_result{run_end::not_sent, 0, "", "", {}});
        co_return;
    }
    if (ended_) {
        co_return;
    }
    write_request();
    run_result result = co_await read_answer();
    end(std::move(result));
}

asio::awaitable<bool> upstream_exchange::connect()
{
    ++owner_.connects_;
    asio::steady_timer limit(owner_.io_, connect_timeout);
    limit.async_wait([self = shared_from_this()](const error_code &ec) {
        error_code ignored;
        if (!ec) {
            self->socket_.close(ignored);
        }
    });
    error_code ec;
    co_await socket_.async_connect(owner_.to_, asio::redirect_error(asio::use_awaitable, ec));
    limit.cancel();
    co_return !ec && runtime::set_tcp_options(socket_);
}

void upstream_exchange::write_request()
{
    const mesh_wire::call_message &call = order_.call;
    const field_names &names = owner_.names_;
    head_ = call.method + " " + call.target + " HTTP/1.1\r\n" + call.header_lines +
            names.time_left_ms + ": " + std::to_string(to_ms(order_.left)) + "\r\n" +
            names.expected_upstream + ": " + order_.upstream + "\r\n" + names.caller_service +
            ": " + call.caller_service + "\r\n";
    if (!call.body.empty() || call.method != "GET") {
        head_ += "Content-Length: " + std::to_string(call.body.size()) + "\r\n";
    }
    head_ += "\r\n";
    std::array<asio::const_buffer, 2> bytes{asio::buffer(head_), asio::buffer(call.body)};
    // Beside the read: an upstream may answer before it has read the whole body.
    asio::async_write(socket_, bytes, [self = shared_from_this()](const error_code &ec, auto) {
        self->written_ = !ec;
    });
}

asio::awaitable<bool> upstream_exchange::read_response(response_parser &parser)
{
    parser.header_limit(max_response_header);
    parser.body_limit(max_response_body);
    parser.skip(order_.call.method == "HEAD");
    error_code ec;
    co_await http::async_read(socket_, buf_, parser, asio::redirect_error(asio::use_awaitable, ec));
    co_return !ec;
}

asio::awaitable<run_result> upstream_exchange::read_answer()
{
    constexpr unsigned first_final = 200;
    for (int i = 0; i <= max_foreign_answers; ++i) {
        response_parser parser;
        if (!co_await read_response(parser)) {
            bool was_nothing = !parser.got_some();
            co_return run_result{was_nothing ? run_end::lost : run_end::bad_answer, 0, "", "", {}};
        }
        response_parser::value_type &response = parser.get();
        std::string_view echoed(response[owner_.names_.request_id].data(),
                                response[owner_.names_.request_id].size());
        bool is_other = !echoed.empty() && echoed != order_.call.request_id;
        if (is_other || response.result_int() < first_final) {
            continue;
        }
        bool said_not_run = response.find(owner_.names_.not_executed) != response.end() ||
                            response.result() == http::status::misdirected_request;
        if (echoed.empty() && !said_not_run) {
            co_return run_result{run_end::bad_answer, 0, "", "", {}};
        }
        keep_connection(response, !parser.need_eof());
        co_return result_of(parser.release());
    }
    co_return run_result{run_end::bad_answer, 0, "", "", {}};
}

run_result upstream_exchange::result_of(response_parser::value_type &&response) const
{
    bool said_not_run = response.find(owner_.names_.not_executed) != response.end() ||
                        response.result() == http::status::misdirected_request;
    run_result out;
    out.end = said_not_run ? run_end::not_executed : run_end::answered;
    out.status = static_cast<std::uint16_t>(response.result_int());
    out.status_text = std::string(response.reason());
    out.header_lines = end_to_end_lines(response);
    out.body = std::move(response.body());
    return out;
}

/// Decides whether the connection can carry another request. Bytes beyond the
/// answer would be taken for the next one, and a request whose body the
/// upstream has not taken yet would be followed by other bytes.
void upstream_exchange::keep_connection(const response_parser::value_type &response, bool is_framed)
{
    reusable_ = is_framed && response.keep_alive() && written_ && buf_.size() == 0 &&
                generation_ == owner_.generation_;
    reusable_for_ = told_reuse(response);
}

void upstream_exchange::cancel()
{
    ended_ = true;
    error_code ec;
    socket_.close(ec);
}

void upstream_exchange::end(run_result &&result)
{
    if (ended_) {
        return;
    }
    ended_ = true;
    error_code ec;
    if (reusable_) {
        owner_.idle_.push_back({std::move(socket_), now(), reusable_for_});
    } else {
        socket_.close(ec);
    }
    run_ref id = order_.run;
    owner_.exchanges_.erase(id);
    owner_.ended_(id, std::move(result));
}

}  // namespace gullstall::edge
