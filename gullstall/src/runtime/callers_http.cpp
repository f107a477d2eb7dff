#include "gullstall/src/runtime/callers_http.hpp"

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/replace.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/lexical_cast/try_lexical_convert.hpp>

namespace gullstall::runtime {

namespace http = boost::beast::http;

namespace {

constexpr unsigned http_version = 11;
constexpr std::size_t max_name_bytes = 200;
constexpr std::uint64_t max_time_left_ms = 600000;
constexpr std::uint64_t max_slots = 100000;
constexpr std::uint64_t max_attempt = 1000000;
constexpr std::uint32_t ms_per_second = 1000;

std::string text_of(const http_request &request, const char *name)
{
    auto it = request.find(name);
    return it == request.end() ? std::string() : std::string(it->value());
}

result<std::uint64_t> number_of(const http_request &request, const char *name, std::uint64_t min,
                                std::uint64_t max)
{
    std::string text = text_of(request, name);
    std::uint64_t n = 0;
    bool digits = !text.empty() && text.find_first_not_of("0123456789") == std::string::npos;
    if (!digits || !boost::conversion::try_lexical_convert(text, n) || n < min || n > max) {
        return error{error_code::out_of_range, std::string(name) + ": found '" + text +
                                                   "', allowed " + std::to_string(min) + " to " +
                                                   std::to_string(max)};
    }
    return n;
}

bool is_name(const std::string &it)
{
    return !it.empty() && it.size() <= max_name_bytes &&
           it.find_first_not_of(
               "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789"
               "-_.") == std::string::npos;
}

result<done> check_length(const http_request &request, const char *name)
{
    if (text_of(request, name).size() > max_name_bytes) {
        return error{error_code::too_large, std::string(name) + ": longer than " +
                                                std::to_string(max_name_bytes) + " bytes"};
    }
    return done{};
}

result<callers_request> read_call(http_request &&request, const std::vector<std::string> &path)
{
    call_request out;
    out.service = path[2];
    out.operation = path[3];
    if (!is_name(out.service) || !is_name(out.operation)) {
        return error{error_code::bad_syntax,
                     "path: expected /call/SERVICE/OPERATION, names of letters, digits, - _ ."};
    }
    for (const char *name : {header::request_id, header::key, header::context}) {
        result<done> checked = check_length(request, name);
        if (!succeeded(checked)) {
            return error_of(checked);
        }
    }
    out.request_id = text_of(request, header::request_id);
    out.key = text_of(request, header::key);
    out.context = text_of(request, header::context);
    if (request.find(header::time_left) != request.end()) {
        result<std::uint64_t> ms = number_of(request, header::time_left, 1, max_time_left_ms);
        if (!succeeded(ms)) {
            return error_of(ms);
        }
        out.time_left = milliseconds(value_of(ms));
    }
    if (request.find(header::attempt) != request.end()) {
        result<std::uint64_t> n = number_of(request, header::attempt, 1, max_attempt);
        if (!succeeded(n)) {
            return error_of(n);
        }
        out.attempt = static_cast<std::uint32_t>(value_of(n));
    }
    out.body = std::move(request.body());
    return callers_request{std::move(out)};
}

/// \returns the name with dashes, as the interface writes reasons
std::string with_dashes(const char *name)
{
    return boost::algorithm::replace_all_copy(std::string(name), "_", "-");
}

http::status status_for(const caller_answer &answer)
{
    if (answer.refusal == wire::refusal::answer_not_kept) {
        return http::status::conflict;
    }
    if (answer.refusal == wire::refusal::key_expired) {
        return http::status::gone;
    }
    if (answer.refusal == wire::refusal::suspect) {
        return http::status::unprocessable_entity;
    }
    switch (answer.outcome) {
        case wire::outcome::ran:
            return static_cast<http::status>(answer.status);
        case wire::outcome::unknown:
            return http::status::gateway_timeout;
        case wire::outcome::not_run:
            break;
    }
    switch (answer.refusal) {
        case wire::refusal::bad_request:
            return http::status::bad_request;
        case wire::refusal::key_mismatch:
        case wire::refusal::key_elsewhere:
            return http::status::conflict;
        default:
            return http::status::service_unavailable;
    }
}

}  // namespace

result<callers_request> decode_callers_request(http_request &&request)
{
    std::string target(request.target());
    std::vector<std::string> path;
    boost::algorithm::split(path, target, boost::algorithm::is_any_of("/"));
    bool post = request.method() == http::verb::post;
    if (post && target == "/worker/announce") {
        result<std::uint64_t> slots = number_of(request, header::slots, 1, max_slots);
        if (!succeeded(slots)) {
            return error_of(slots);
        }
        return callers_request{worker_announced{static_cast<std::uint32_t>(value_of(slots))}};
    }
    if (post && target == "/worker/leave") {
        return callers_request{worker_leaving{}};
    }
    if (post && target == "/key") {
        return callers_request{key_request{}};
    }
    constexpr std::size_t call_path_parts = 4;
    if (post && path.size() == call_path_parts && path[1] == "call") {
        return read_call(std::move(request), path);
    }
    return error{error_code::not_found,
                 "expected POST /call/SERVICE/OPERATION, /key, /worker/announce or /worker/leave"};
}

http_response encode_caller_answer(caller_answer &&answer)
{
    http_response out{status_for(answer), http_version};
    out.set(header::outcome, with_dashes(wire::EnumNameoutcome(answer.outcome)));
    out.set(header::request_id, answer.request_id);
    out.set(header::bundle_version, std::to_string(answer.bundle_version));
    if (answer.refusal != wire::refusal::none) {
        out.set(header::reason, with_dashes(wire::EnumNamerefusal(answer.refusal)));
    }
    if (!answer.refused_by.empty()) {
        out.set(header::refused_by, answer.refused_by);
    }
    if (answer.retry_after_ms != 0) {
        std::uint32_t s = (answer.retry_after_ms + ms_per_second - 1) / ms_per_second;
        out.set(http::field::retry_after, std::to_string(s));
        out.set(header::retry_after, std::to_string(answer.retry_after_ms));
    }
    if (!answer.content_type.empty()) {
        out.set(http::field::content_type, answer.content_type);
    }
    // A caller that kept its connection to a node that stops would send into it
    // just as the node closes it, and could not tell whether the call ran.
    out.keep_alive(answer.refusal != wire::refusal::leaving);
    out.body() = std::move(answer.body);
    out.prepare_payload();
    return out;
}

http_response encode_bad_request(const error &e)
{
    http_response out{
        e.code == error_code::not_found ? http::status::not_found : http::status::bad_request,
        http_version};
    out.set(header::outcome, "not-run");
    out.set(header::reason, "bad-request");
    out.set(http::field::content_type, "text/plain");
    std::string text = e.message + "\n";
    out.body().assign(text.begin(), text.end());
    out.prepare_payload();
    return out;
}

http_response encode_notice_taken()
{
    http_response out{http::status::no_content, http_version};
    out.prepare_payload();
    return out;
}

http_request encode_run(run_on_worker &&run)
{
    http_request out{http::verb::post, "/" + run.operation, http_version};
    out.set(http::field::host, "worker");
    out.set(header::request_id, run.request_id);
    out.set(header::context, run.context);
    out.set(header::time_left, std::to_string(to_ms(run.time_left)));
    if (!run.key.empty()) {
        out.set(header::key, run.key);
    }
    out.body() = std::move(run.body);
    out.prepare_payload();
    return out;
}

}  // namespace gullstall::runtime
