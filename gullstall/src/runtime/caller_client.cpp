#include "gullstall/src/runtime/caller_client.hpp"

#include <boost/algorithm/string/replace.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/lexical_cast/try_lexical_convert.hpp>

#include "gullstall/src/runtime/callers_http.hpp"

namespace gullstall::runtime {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr unsigned http_version = 11;
constexpr std::uint64_t answer_limit_bytes = 64U << 20U;

/// Time beyond the request's own time left before a silent node is given up.
constexpr duration silence = seconds(1);
constexpr duration default_time = seconds(10);

std::string text_of(const http_response &response, const char *name)
{
    return std::string(response[name]);
}

template <class Number>
Number number_of(const http_response &response, const char *name)
{
    Number n = 0;
    boost::conversion::try_lexical_convert(text_of(response, name), n);
    return n;
}

template <class Enum>
Enum value_named(const std::string &name, const Enum *values, std::size_t n, Enum otherwise,
                 const char *(*name_of)(Enum))
{
    std::string wanted = boost::algorithm::replace_all_copy(name, "-", "_");
    for (std::size_t i = 0; i < n; ++i) {
        if (wanted == name_of(values[i])) {
            return values[i];
        }
    }
    return otherwise;
}

wire::outcome outcome_of(const http_response &response)
{
    auto &values = wire::EnumValuesoutcome();
    return value_named(text_of(response, header::outcome), values, std::size(values),
                       wire::outcome::unknown, wire::EnumNameoutcome);
}

wire::refusal refusal_of(const http_response &response)
{
    auto &values = wire::EnumValuesrefusal();
    return value_named(text_of(response, header::reason), values, std::size(values),
                       wire::refusal::none, wire::EnumNamerefusal);
}

}  // namespace

http_request encode_caller_call(const call_request &request)
{
    http_request out{http::verb::post, "/call/" + request.service + "/" + request.operation,
                     http_version};
    out.set(http::field::host, "node");
    if (!request.request_id.empty()) {
        out.set(header::request_id, request.request_id);
    }
    if (!request.key.empty()) {
        out.set(header::key, request.key);
    }
    if (!request.context.empty()) {
        out.set(header::context, request.context);
    }
    if (request.time_left) {
        out.set(header::time_left, std::to_string(to_ms(*request.time_left)));
    }
    out.body() = request.body;
    return out;
}

caller_answer decode_caller_answer(const call_request &request, exchange &&it)
{
    if (it.end != exchange_end::answered) {
        return answer_without_reply(request, it.end == exchange_end::lost);
    }
    caller_answer out{};
    out.outcome = outcome_of(it.response);
    out.refusal = refusal_of(it.response);
    out.refused_by = text_of(it.response, header::refused_by);
    out.request_id = text_of(it.response, header::request_id);
    bool ran = out.outcome == wire::outcome::ran;
    out.status = ran ? static_cast<std::uint16_t>(it.response.result_int()) : std::uint16_t{0};
    out.retry_after_ms = number_of<std::uint32_t>(it.response, header::retry_after);
    out.bundle_version = number_of<std::uint64_t>(it.response, header::bundle_version);
    out.content_type = std::string(it.response[http::field::content_type]);
    out.body = std::move(it.response.body());
    return out;
}

caller_client::caller_client(asio::io_context &io, const std::vector<endpoint> &nodes,
                             repeat_policy policy, std::uint64_t seed)
    : io_(io), policy_(policy), random_(seed)
{
    for (const endpoint &it : nodes) {
        clients_.push_back(std::make_unique<http_client>(
            io, asio::ip::tcp::endpoint(asio::ip::make_address(it.address), it.port),
            answer_limit_bytes));
    }
}

asio::awaitable<caller_answer> caller_client::call(call_request request, bool idempotent)
{
    auto start = std::chrono::steady_clock::now();
    std::size_t first = draw_below(random_, clients_.size());
    duration timeout = request.time_left.value_or(default_time) + silence;
    repeat_state state;
    while (true) {
        http_client &client = *clients_[(first + state.tries) % clients_.size()];
        caller_answer answer = decode_caller_answer(
            request, co_await client.send(encode_caller_call(request), timeout, nullptr));
        auto spent = duration_cast<duration>(std::chrono::steady_clock::now() - start);
        repeat_plan plan = plan_repeat(policy_, state, request, idempotent, answer, spent);
        if (plan.step == repeat_step::finish) {
            co_return answer;
        }
        asio::steady_timer timer(io_);
        timer.expires_after(plan.wait);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

}  // namespace gullstall::runtime
