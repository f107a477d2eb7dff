#include "test/platform/soak/client.hpp"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <cmath>

#include "gullstall/src/edge/clock.hpp"

namespace gullstall::standin {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr duration deadline = seconds(5);
constexpr duration reconnect_delay = milliseconds(100);
constexpr std::uint64_t max_answer_bytes = 64U << 20U;

std::uint64_t last_connection = 0;
std::uint64_t last_request = 0;

bool is_success(unsigned status)
{
    return http::to_status_class(status) == http::status_class::successful;
}

std::string print_request(const sent_request &it, std::size_t body_bytes)
{
    std::string out = (it.is_safe ? "GET " : "POST ") + it.target +
                      " HTTP/1.1\r\nHost: calls.example\r\nGullstall-Attempt-Id: " + it.id +
                      "\r\nGullstall-Deadline-Ms: " + std::to_string(to_ms(deadline)) + "\r\n";
    if (!it.is_safe) {
        out += "Content-Length: " + std::to_string(body_bytes) + "\r\n";
    }
    return out + "\r\n" + std::string(it.is_safe ? 0 : body_bytes, 'b');
}

void end_request(sent_request &it, request_end how, const std::string &error = "")
{
    if (it.end == request_end::open) {
        it.end = how;
        it.error = error;
        it.ended_at = edge::now();
    }
}

void note_answer(sent_request &it, const http_response &answer)
{
    it.status = answer.result_int();
    it.sealed = answer.find("Gullstall-Server-Seal") != answer.end();
    it.is_whole = !is_success(it.status) ||
                  (it.sealed && answer["Gullstall-Attempt-Id"] == it.id &&
                   answer.body() == body_of(it.id, work_order::parse(it.target).body_bytes));
    end_request(it, request_end::answered);
}

}  // namespace

struct kept_client::connection
{
    tcp::socket socket;
    std::uint64_t number;
    bool open = true;
    int sent = 0;
    std::deque<std::shared_ptr<sent_request>> pending;
};

kept_client::kept_client(asio::io_context &io, client_settings settings, request_log &log)
    : io_(io), settings_(std::move(settings)), log_(log), random_(settings_.seed)
{
}

void kept_client::stop()
{
    stopped_ = true;
}

asio::awaitable<void> kept_client::run()
{
    while (!stopped_) {
        std::shared_ptr<connection> it = co_await connect();
        if (!it) {
            co_await sleep_for(io_, reconnect_delay);
            continue;
        }
        asio::co_spawn(io_, read_answers(it), asio::detached);
        while (it->open && !stopped_) {
            duration pause = from_seconds(-std::log(1 - draw_fraction(random_)) *
                                          to_seconds(settings_.mean_pause));
            co_await sleep_for(io_, std::min(pause, settings_.longest_pause));
            bool may_send = it->pending.empty() || (it->pending.size() < settings_.pipeline &&
                                                    it->pending.back()->is_safe);
            if (it->open && may_send && !stopped_) {
                co_await send(it);
            }
        }
        while (it->open && !it->pending.empty()) {
            co_await sleep_for(io_, reconnect_delay);
        }
        error_code ec;
        it->socket.close(ec);
    }
}

asio::awaitable<std::shared_ptr<kept_client::connection>> kept_client::connect()
{
    auto out =
        std::make_shared<connection>(connection{tcp::socket(io_), ++last_connection, true, 0, {}});
    error_code ec;
    co_await out->socket.async_connect(settings_.at, asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
        co_return nullptr;
    }
    out->socket.set_option(tcp::no_delay(true), ec);
    co_return out;
}

work_order kept_client::draw_work()
{
    constexpr double long_share = 0.05;
    constexpr double usual_run_s = 0.12;
    constexpr double large_share = 0.1;
    constexpr double call_share = 0.4;
    constexpr std::size_t small_bytes = 300;
    constexpr std::size_t large_bytes = 60000;
    bool is_long = draw_fraction(random_) < long_share;
    double longest_s = is_long ? to_seconds(settings_.longest_run) : usual_run_s;
    duration time = from_seconds(draw_fraction(random_) * longest_s);
    bool is_large = draw_fraction(random_) < large_share;
    bool calls = draw_fraction(random_) < call_share;
    return work_order{time, is_large ? large_bytes : small_bytes, calls};
}

const char *kept_client::draw_prefix(bool is_safe)
{
    constexpr std::array<const char *, 3> safe_prefixes{"/read/", "/gazette/", "/lookup/"};
    constexpr double notice_share = 0.3;
    if (is_safe) {
        return safe_prefixes.at(draw_below(random_, safe_prefixes.size()));
    }
    return draw_fraction(random_) < notice_share ? "/notice/" : "/register/";
}

std::shared_ptr<sent_request> kept_client::draw_request(const connection &it)
{
    auto out = std::make_shared<sent_request>();
    out->id = "r" + std::to_string(++last_request);
    out->node = settings_.node;
    out->connection = it.number;
    out->behind_another = !it.pending.empty();
    out->earlier_on_connection = it.sent;
    out->is_safe = out->behind_another || draw_fraction(random_) >= settings_.unsafe_share;
    work_order work = draw_work();
    out->target = work.print(draw_prefix(out->is_safe));
    return out;
}

asio::awaitable<void> kept_client::send(std::shared_ptr<connection> it)
{
    constexpr std::size_t body_bytes = 2000;
    std::shared_ptr<sent_request> request = draw_request(*it);
    it->pending.push_back(request);
    ++it->sent;
    log_.push_back(request);
    std::string text = print_request(*request, body_bytes);
    error_code ec;
    request->written_at = edge::now();
    co_await asio::async_write(it->socket, asio::buffer(text),
                               asio::redirect_error(asio::use_awaitable, ec));
    asio::co_spawn(
        io_,
        [](asio::io_context &io, std::shared_ptr<connection> on,
           std::shared_ptr<sent_request> sent) -> asio::awaitable<void> {
            co_await sleep_for(io, deadline);
            if (sent->end == request_end::open) {
                end_request(*sent, request_end::given_up);
                for (const auto &each : on->pending) {
                    end_request(*each, request_end::given_up);
                }
                on->open = false;
                error_code ignored;
                on->socket.close(ignored);
            }
        }(io_, it, request),
        asio::detached);
}

asio::awaitable<void> kept_client::read_answers(std::shared_ptr<connection> it)
{
    boost::beast::flat_buffer buf;
    error_code ec;
    bool closing = false;
    while (!ec && !closing) {
        http::response_parser<http::string_body> parser;
        parser.body_limit(max_answer_bytes);
        co_await http::async_read(it->socket, buf, parser,
                                  asio::redirect_error(asio::use_awaitable, ec));
        if (ec || it->pending.empty()) {
            break;
        }
        std::shared_ptr<sent_request> first = it->pending.front();
        it->pending.pop_front();
        note_answer(*first, parser.get());
        closing = !parser.get().keep_alive();
    }
    it->open = false;
    for (const auto &each : it->pending) {
        end_request(*each, closing ? request_end::behind_close : request_end::cut_off,
                    ec.message());
    }
    it->pending.clear();
    it->socket.close(ec);
}

asio::awaitable<bool> send_once(asio::io_context &io, client_settings from, std::string id,
                                std::string target, request_log &log)
{
    auto request = std::make_shared<sent_request>();
    request->id = std::move(id);
    request->target = std::move(target);
    request->node = from.node;
    request->connection = ++last_connection;
    tcp::socket socket(io);
    error_code ec;
    auto token = asio::redirect_error(asio::use_awaitable, ec);
    co_await socket.async_connect(from.at, token);
    if (ec) {
        co_return false;
    }
    log.push_back(request);
    std::string text = print_request(*request, 0);
    request->written_at = edge::now();
    co_await asio::async_write(socket, asio::buffer(text), token);
    boost::beast::flat_buffer buf;
    http_response response;
    if (!ec) {
        co_await http::async_read(socket, buf, response, token);
    }
    if (ec) {
        end_request(*request, request_end::cut_off, ec.message());
        co_return false;
    }
    note_answer(*request, response);
    co_return is_success(request->status);
}

}  // namespace gullstall::standin
