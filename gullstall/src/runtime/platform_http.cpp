#include "gullstall/src/runtime/platform_http.hpp"

#include <boost/json.hpp>

#include "gullstall/src/core/hex.hpp"

namespace gullstall::runtime {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace {

constexpr const char *object_path = "/object/";
constexpr unsigned http_version = 11;

void set_body(std::vector<std::uint8_t> &body, const std::string &text)
{
    body.assign(text.begin(), text.end());
}

std::string text_of(const std::vector<std::uint8_t> &body)
{
    return std::string(body.begin(), body.end());
}

json::object print_row(const std::string &key, std::uint64_t version, const std::string &value)
{
    return json::object{{"key", key}, {"version", version}, {"value", to_hex(value)}};
}

table_row read_row(const json::value &it)
{
    result<std::string> value = from_hex(it.at("value").as_string().c_str());
    return table_row{it.at("key").as_string().c_str(), it.at("version").to_number<std::uint64_t>(),
                     succeeded(value) ? value_of(value) : std::string()};
}

struct request_encoder
{
    http_request operator()(const table_read &it) const
    {
        json::array keys;
        for (const std::string &key : it.keys) {
            keys.emplace_back(key);
        }
        return post("/table/read", json::object{{"keys", keys}});
    }
    http_request operator()(const table_scan &it) const
    {
        return post("/table/scan", json::object{{"prefix", it.prefix}});
    }
    http_request operator()(const table_feed &it) const
    {
        return post(
            "/table/feed",
            json::object{{"prefix", it.prefix}, {"after", it.after}, {"wait_ms", it.wait_ms}});
    }
    http_request operator()(const table_commit &it) const
    {
        json::array rows;
        for (const row_write &row : it.rows) {
            rows.push_back(print_row(row.key, row.expected_version, row.value));
        }
        return post("/table/commit", json::object{{"rows", rows}});
    }
    http_request operator()(const object_get &it) const
    {
        return http_request{http::verb::get, object_path + it.name, http_version};
    }
    http_request operator()(const object_put &it) const
    {
        http_request out{http::verb::put, object_path + it.name, http_version};
        set_body(out.body(), it.content);
        return out;
    }

    static http_request post(const char *target, const json::object &body)
    {
        http_request out{http::verb::post, target, http_version};
        set_body(out.body(), json::serialize(body));
        return out;
    }
};

platform_request read_post(const std::string &target, const json::value &body)
{
    if (target == "/table/read") {
        table_read out;
        for (const json::value &key : body.at("keys").as_array()) {
            out.keys.emplace_back(key.as_string().c_str());
        }
        return out;
    }
    if (target == "/table/scan") {
        return table_scan{body.at("prefix").as_string().c_str()};
    }
    if (target == "/table/feed") {
        return table_feed{body.at("prefix").as_string().c_str(),
                          body.at("after").to_number<std::uint64_t>(),
                          body.at("wait_ms").to_number<std::uint32_t>()};
    }
    table_commit out;
    for (const json::value &it : body.at("rows").as_array()) {
        table_row row = read_row(it);
        out.rows.push_back(row_write{row.key, row.version, row.value});
    }
    return out;
}

platform_status status_of(unsigned code)
{
    switch (code) {
        case 200:
            return platform_status::done;
        case 404:
            return platform_status::missing;
        case 409:
            return platform_status::conflict;
        case 410:
            return platform_status::history_gone;
        case 429:
            return platform_status::throttled;
        case 503:
            return platform_status::unavailable;
        default:
            return platform_status::lost;
    }
}

unsigned code_of(platform_status status)
{
    switch (status) {
        case platform_status::done:
            return 200;
        case platform_status::missing:
            return 404;
        case platform_status::conflict:
            return 409;
        case platform_status::history_gone:
            return 410;
        case platform_status::throttled:
            return 429;
        case platform_status::unavailable:
            return 503;
        case platform_status::lost:
            break;
    }
    return 504;
}

}  // namespace

http_request encode_platform_request(const platform_request &what)
{
    return std::visit(request_encoder{}, what);
}

result<platform_request> decode_platform_request(const http_request &request)
{
    std::string target(request.target());
    const std::string prefix = object_path;
    if (target.compare(0, prefix.size(), prefix) == 0) {
        std::string name = target.substr(prefix.size());
        if (request.method() == http::verb::put) {
            return platform_request{object_put{name, text_of(request.body())}};
        }
        return platform_request{object_get{name}};
    }
    try {
        return read_post(target, json::parse(text_of(request.body())));
    } catch (const std::exception &e) {
        return error{error_code::bad_syntax, std::string("platform request: ") + e.what()};
    }
}

http_response encode_platform_answer(const platform_answer &answer)
{
    http_response out{static_cast<http::status>(code_of(answer.status)), http_version};
    if (!answer.content.empty()) {
        out.set(http::field::content_type, "application/octet-stream");
        set_body(out.body(), answer.content);
        return out;
    }
    json::array rows;
    for (const table_row &row : answer.rows) {
        rows.push_back(print_row(row.key, row.version, row.value));
    }
    out.set(http::field::content_type, "application/json");
    set_body(out.body(),
             json::serialize(json::object{{"rows", rows}, {"version", answer.version}}));
    return out;
}

platform_answer decode_platform_answer(const exchange &it)
{
    if (it.end != exchange_end::answered) {
        return platform_answer{
            it.end == exchange_end::not_sent ? platform_status::unavailable : platform_status::lost,
            {},
            {}};
    }
    platform_answer out{status_of(it.response.result_int()), {}, {}};
    std::string text = text_of(it.response.body());
    if (it.response[http::field::content_type] != "application/json") {
        out.content = text;
        return out;
    }
    try {
        json::value body = json::parse(text);
        for (const json::value &row : body.at("rows").as_array()) {
            out.rows.push_back(read_row(row));
        }
        if (const json::value *version = body.as_object().if_contains("version")) {
            out.version = version->to_number<std::uint64_t>();
        }
    } catch (const std::exception &) {
        return platform_answer{platform_status::lost, {}, {}};
    }
    return out;
}

asio::awaitable<platform_answer> ask_over_http(http_client &client, platform_request what,
                                               duration timeout)
{
    exchange it = co_await client.send(encode_platform_request(what), timeout, nullptr);
    co_return decode_platform_answer(it);
}

}  // namespace gullstall::runtime
