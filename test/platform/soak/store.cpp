#include "test/platform/soak/store.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/detail/base64.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json.hpp>
#include <boost/url/src.hpp>

#include "gullstall/src/edge/clock.hpp"

namespace gullstall::standin {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
namespace base64 = boost::beast::detail::base64;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr unsigned http_version = 11;
constexpr unsigned ok = 200;
constexpr unsigned conflict = 412;

std::string to_base64(const std::string &text)
{
    std::string out(base64::encoded_size(text.size()), '\0');
    out.resize(base64::encode(out.data(), text.data(), text.size()));
    return out;
}

json::object print_row(const std::pair<std::string, std::string> &name, const std::string &value,
                       std::uint64_t version)
{
    return json::object{{"table", name.first},
                        {"part", ""},
                        {"key", name.second},
                        {"value", value},
                        {"ver", version}};
}

std::pair<std::string, std::string> name_of(const json::value &entry)
{
    const json::object &it = entry.as_object();
    return {std::string(it.at("table").as_string()), std::string(it.at("key").as_string())};
}

}  // namespace

http_store::http_store(asio::io_context &io, const tcp::endpoint &at) : io_(io), acceptor_(io, at)
{
    asio::co_spawn(io_, accept_clients(), asio::detached);
}

void http_store::put(const std::string &table, const std::string &key, const std::string &value)
{
    rows_[{table, key}] = row{to_base64(value), ++version_};
    for (asio::steady_timer *it : waiting_) {
        it->cancel();
    }
}

asio::awaitable<void> http_store::accept_clients()
{
    while (true) {
        tcp::socket socket = co_await acceptor_.async_accept(asio::use_awaitable);
        asio::co_spawn(io_, serve(std::move(socket)), asio::detached);
    }
}

asio::awaitable<void> http_store::serve(tcp::socket socket)
{
    boost::beast::flat_buffer buf;
    error_code ec;
    auto token = asio::redirect_error(asio::use_awaitable, ec);
    socket.set_option(tcp::no_delay(true), ec);
    while (true) {
        http_request request;
        co_await http::async_read(socket, buf, request, token);
        if (ec) {
            co_return;
        }
        http_response response = co_await answer(request);
        response.prepare_payload();
        co_await http::async_write(socket, response, token);
        if (ec) {
            co_return;
        }
    }
}

asio::awaitable<http_response> http_store::answer(const http_request &request)
{
    constexpr std::chrono::milliseconds answer_time(4);
    co_await sleep_for(io_, answer_time);
    auto target = boost::urls::parse_origin_form(
        boost::core::string_view(request.target().data(), request.target().size()));
    if (!target) {
        co_return http_response{http::status::bad_request, http_version};
    }
    query asked;
    for (const auto &it : target->params()) {
        asked[std::string(it.key)] = std::string(it.value);
    }
    std::string path(target->path());
    if (path == "/v1/rows-feed") {
        co_return co_await feed(asked);
    }
    if (path == "/v1/rows-get") {
        co_return read_rows(asked);
    }
    if (path == "/v1/rows-tx") {
        co_return change_rows(request.body());
    }
    co_return http_response{http::status::not_found, http_version};
}

asio::awaitable<http_response> http_store::feed(const query &asked)
{
    std::uint64_t after = std::stoull(asked.at("after"));
    asio::steady_timer end(io_, std::chrono::milliseconds(std::stol(asked.at("wait-ms"))));
    json::array rows = rows_after(asked.at("table"), after);
    waiting_.insert(&end);
    while (rows.empty()) {
        error_code ec;
        co_await end.async_wait(asio::redirect_error(asio::use_awaitable, ec));
        rows = rows_after(asked.at("table"), after);
        if (!ec) {
            break;
        }
    }
    waiting_.erase(&end);
    co_return print_rows(ok, std::move(rows));
}

json::array http_store::rows_after(const std::string &table, std::uint64_t version) const
{
    json::array out;
    for (const auto &[name, it] : rows_) {
        if (name.first == table && it.version > version) {
            out.push_back(print_row(name, it.value, it.version));
        }
    }
    return out;
}

http_response http_store::read_rows(const query &asked) const
{
    json::array rows;
    std::size_t limit = asked.count("limit") > 0 ? std::stoul(asked.at("limit")) : rows_.size();
    row_name first{asked.at("table"), asked.count("from") > 0 ? asked.at("from") : ""};
    for (auto it = rows_.lower_bound(first);
         it != rows_.end() && it->first.first == first.first && rows.size() < limit; ++it) {
        rows.push_back(print_row(it->first, it->second.value, it->second.version));
    }
    return print_rows(ok, std::move(rows));
}

http_response http_store::change_rows(const std::string &body)
{
    json::object asked = json::parse(body).as_object();
    json::array differing;
    for (const json::value &each : asked.at("expected-rev").as_array()) {
        row_name name = name_of(each);
        auto found = rows_.find(name);
        std::uint64_t version = found == rows_.end() ? 0 : found->second.version;
        if (version != each.as_object().at("ver").to_number<std::uint64_t>()) {
            differing.push_back(
                print_row(name, found == rows_.end() ? "" : found->second.value, version));
        }
    }
    if (!differing.empty()) {
        return print_rows(conflict, std::move(differing));
    }
    ++version_;
    for (const json::value &each : asked.at("puts").as_array()) {
        rows_[name_of(each)] = row{std::string(each.as_object().at("value").as_string()), version_};
    }
    for (asio::steady_timer *it : waiting_) {
        it->cancel();
    }
    return print_rows(ok, {});
}

http_response http_store::print_rows(unsigned status, json::array rows) const
{
    http_response out{http::int_to_status(status), http_version};
    out.set(http::field::content_type, "application/json");
    out.body() = json::serialize(json::object{{"rows", std::move(rows)},
                                              {"ver", version_},
                                              {"now-ms", to_ms(edge::now().time_since_epoch())},
                                              {"has-more", false}});
    return out;
}

}  // namespace gullstall::standin
