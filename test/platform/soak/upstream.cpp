#include "test/platform/soak/upstream.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json.hpp>
#include <cstdio>

#include "gullstall/src/edge/clock.hpp"

namespace gullstall::standin {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr unsigned http_version = 11;
constexpr std::uint32_t slots = 60;
constexpr duration heartbeat_interval = milliseconds(1500);
constexpr duration heartbeat_timeout = seconds(1);
constexpr duration retry_delay = milliseconds(100);
constexpr duration drain_time = milliseconds(2000);
constexpr duration drain_margin = milliseconds(500);

}  // namespace

/// One life of the upstream's process.
struct http_upstream::incarnation
{
    std::string id;
    std::uint64_t born_ms = 0;
    std::uint64_t sequence = 0;
    std::string state = "ready";
    std::uint32_t running = 0;
    bool ended = false;
    tcp::acceptor acceptor;
    std::set<std::shared_ptr<tcp::socket>> connections;
};

std::string work_order::print(const std::string &prefix) const
{
    return prefix + std::to_string(to_ms(time)) + "/" + std::to_string(body_bytes) + "/" +
           (calls ? "1" : "0");
}

work_order work_order::parse(const std::string &target)
{
    long ms = 0;
    unsigned long bytes = 0;
    int calls = 0;
    std::size_t at = target.find('/', 1);
    std::sscanf(target.c_str() + (at == std::string::npos ? 0 : at), "/%ld/%lu/%d", &ms, &bytes,
                &calls);
    return work_order{milliseconds(ms), bytes, calls == 1};
}

std::string body_of(const std::string &id, std::size_t bytes)
{
    std::string out;
    out.reserve(bytes + id.size());
    while (out.size() < bytes) {
        out += id + ";";
    }
    return out;
}

http_upstream::http_upstream(asio::io_context &io, const instance_address &self, run_book &book,
                             nested_call call)
    : io_(io), self_(self), book_(book), call_(std::move(call))
{
}

void http_upstream::start()
{
    current_ =
        std::make_shared<incarnation>(incarnation{self_.name + "-u" + std::to_string(++starts_),
                                                  edge::unix_ms(),
                                                  0,
                                                  "ready",
                                                  0,
                                                  false,
                                                  tcp::acceptor(io_, self_.at(port::upstream)),
                                                  {}});
    asio::co_spawn(io_, accept_clients(current_), asio::detached);
    asio::co_spawn(io_, send_heartbeats(current_), asio::detached);
}

asio::awaitable<void> http_upstream::leave()
{
    std::shared_ptr<incarnation> it = current_;
    it->state = "draining";
    for (int i = 0; i < 20 && !co_await send_heartbeat(it); ++i) {
        co_await sleep_for(io_, retry_delay);
    }
    co_await sleep_for(io_, drain_time + drain_margin);
    while (it->running > 0) {
        co_await sleep_for(io_, retry_delay);
    }
    http_request request{http::verb::delete_, "/v1/instances/" + it->id, http_version};
    co_await exchange(io_, self_.at(port::control), std::move(request), heartbeat_timeout);
    it->ended = true;
    error_code ec;
    it->acceptor.close(ec);
    for (const auto &connection : it->connections) {
        connection->close(ec);
    }
}

asio::awaitable<void> http_upstream::accept_clients(std::shared_ptr<incarnation> it)
{
    while (!it->ended) {
        error_code ec;
        auto socket = std::make_shared<tcp::socket>(
            co_await it->acceptor.async_accept(asio::redirect_error(asio::use_awaitable, ec)));
        if (!ec) {
            it->connections.insert(socket);
            asio::co_spawn(io_, serve(it, socket), asio::detached);
        }
    }
}

asio::awaitable<void> http_upstream::serve(std::shared_ptr<incarnation> it,
                                           std::shared_ptr<tcp::socket> socket)
{
    boost::beast::flat_buffer buf;
    error_code ec;
    auto token = asio::redirect_error(asio::use_awaitable, ec);
    socket->set_option(tcp::no_delay(true), ec);
    while (!ec) {
        http_request request;
        co_await http::async_read(*socket, buf, request, token);
        if (ec) {
            break;
        }
        http_response response = co_await run_request(it, request);
        response.prepare_payload();
        co_await http::async_write(*socket, response, token);
        if (response.find("Gullstall-Server-Seal") != response.end()) {
            run_record &run = book_[std::string(request["Gullstall-Attempt-Id"])];
            run.ends += ec ? 0 : 1;
            run.last_ended_at = edge::now();
        }
    }
    it->connections.erase(socket);
}

asio::awaitable<http_response> http_upstream::run_request(std::shared_ptr<incarnation> it,
                                                          const http_request &request)
{
    std::string id(request["Gullstall-Attempt-Id"]);
    http_response out{http::status::ok, http_version};
    out.set("Gullstall-Attempt-Id", id);
    out.set("Keep-Alive", "timeout=5");
    if (request["Gullstall-Expect-Instance"] != it->id) {
        out.result(http::status::misdirected_request);
        co_return out;
    }
    if (it->running >= slots) {
        out.result(http::status::service_unavailable);
        out.set("Gullstall-Not-Executed", "1");
        co_return out;
    }
    ++it->running;
    run_record &run = book_[id];
    ++run.runs;
    run.last_started_at = edge::now();
    work_order order = work_order::parse(std::string(request.target()));
    co_await sleep_for(io_, order.time);
    if (order.calls && !co_await call_(id)) {
        out.result(http::status::internal_server_error);
    }
    --it->running;
    out.set("Gullstall-Server-Seal", "seal-" + id);
    out.body() = body_of(id, order.body_bytes);
    co_return out;
}

asio::awaitable<void> http_upstream::send_heartbeats(std::shared_ptr<incarnation> it)
{
    while (!it->ended) {
        bool acknowledged = co_await send_heartbeat(it);
        co_await sleep_for(io_, acknowledged ? heartbeat_interval : retry_delay);
    }
}

asio::awaitable<bool> http_upstream::send_heartbeat(std::shared_ptr<incarnation> it)
{
    http_request request{http::verb::put, "/v1/instances/" + it->id, http_version};
    request.set(http::field::content_type, "application/json");
    request.body() =
        json::serialize(json::object{{"service", self_.service},
                                     {"address", self_.ip + ":" + std::to_string(port::upstream)},
                                     {"zone", self_.zone},
                                     {"version", "v1"},
                                     {"slots", slots},
                                     {"state", it->state},
                                     {"cold-remaining-ms", 0},
                                     {"seq", ++it->sequence},
                                     {"born", it->born_ms}});
    constexpr unsigned ok = 200;
    co_return co_await exchange(io_, self_.at(port::control), std::move(request),
                                heartbeat_timeout) == ok;
}

}  // namespace gullstall::standin
