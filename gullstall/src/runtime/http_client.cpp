#include "gullstall/src/runtime/http_client.hpp"

#include "gullstall/src/runtime/http_status.hpp"
#include "gullstall/src/runtime/read_buffer.hpp"
#include "gullstall/src/runtime/tcp_options.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <optional>

namespace gullstall::runtime {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

/// Time for a connection to be made. A server that is cut off answers nothing,
/// and a long request, such as a feed, must not wait its whole time for that.
constexpr duration connect_timeout = seconds(1);

/// Limit of a response header.
constexpr std::uint32_t max_header_bytes = 8192;

using response_parser = http::response_parser<http::vector_body<std::uint8_t>>;

/// \returns whether the response says where it ends. One that ends with its
/// connection can't be told from one cut short, so it is no whole answer.
bool has_known_end(const response_parser &parser)
{
    return parser.chunked() || parser.content_length().has_value() ||
           parser.get().result() == http::status::no_content ||
           parser.get().result() == http::status::not_modified;
}

/// Reads the response that follows the interim ones, or the last of too many of these.
asio::awaitable<error_code> read_response(beast::tcp_stream &stream, beast::flat_buffer &buf,
                                          std::uint64_t body_limit,
                                          std::optional<response_parser> &parser)
{
    error_code ec;
    for (int i = 0; !ec && i <= max_interim_responses; ++i) {
        parser.emplace();
        parser->header_limit(max_header_bytes);
        parser->body_limit(body_limit);
        co_await http::async_read(stream, buf, *parser,
                                  asio::redirect_error(asio::use_awaitable, ec));
        if (!is_interim_status(parser->get().result_int())) {
            break;
        }
    }
    co_return ec;
}

}  // namespace

http_client::http_client(asio::io_context &io, asio::ip::tcp::endpoint to, std::uint64_t body_limit,
                         std::chrono::steady_clock::duration max_idle_time)
    : io_(io), to_(std::move(to)), body_limit_(body_limit), max_idle_time_(max_idle_time)
{
}

std::unique_ptr<beast::tcp_stream> http_client::take_idle()
{
    auto now = std::chrono::steady_clock::now();
    while (!idle_.empty()) {
        idle_connection it = std::move(idle_.back());
        idle_.pop_back();
        if (now - it.since <= max_idle_time_ && is_fresh(it.stream->socket())) {
            return std::move(it.stream);
        }
    }
    return nullptr;
}

asio::awaitable<exchange> http_client::send(http_request request, duration timeout,
                                            std::shared_ptr<exchange_handle> handle)
{
    error_code ec;
    exchange out{exchange_end::not_sent, {}};
    std::unique_ptr<beast::tcp_stream> stream = take_idle();
    bool connected = stream != nullptr;
    if (!connected) {
        stream = std::make_unique<beast::tcp_stream>(io_);
    }
    if (handle) {
        handle->stream = stream.get();
    }
    if (!connected) {
        stream->expires_after(std::min(timeout, connect_timeout));
        co_await stream->async_connect(to_, asio::redirect_error(asio::use_awaitable, ec));
        if (!ec) {
            set_tcp_options(stream->socket());
            limit_unacknowledged_time(stream->socket(), unacknowledged_limit);
        }
    }
    stream->expires_after(timeout);
    bool reusable = false;
    if (!ec && !(handle && handle->cancelled)) {
        out.end = exchange_end::lost;
        request.prepare_payload();
        co_await http::async_write(*stream, request, asio::redirect_error(asio::use_awaitable, ec));
        beast::flat_buffer buf(read_buffer_limit(max_header_bytes));
        std::optional<response_parser> parser;
        if (!ec) {
            ec = co_await read_response(*stream, buf, body_limit_, parser);
        }
        if (!ec && is_final_status(parser->get().result_int()) && has_known_end(*parser)) {
            out.end = exchange_end::answered;
            out.response = parser->release();
            // Bytes beyond the answer would be taken for the next one.
            reusable = out.response.keep_alive() && buf.size() == 0;
        }
    }
    out.error = ec;
    bool cancelled = handle && handle->cancelled;
    if (handle) {
        handle->stream = nullptr;
    }
    if (reusable) {
        stream->expires_never();
        idle_.push_back(idle_connection{std::move(stream), std::chrono::steady_clock::now()});
    }
    if (out.end == exchange_end::lost && !cancelled) {
        idle_.clear();
    }
    co_return out;
}

void http_client::cancel(exchange_handle &handle)
{
    handle.cancelled = true;
    if (handle.stream != nullptr) {
        handle.stream->close();
    }
}

}  // namespace gullstall::runtime
