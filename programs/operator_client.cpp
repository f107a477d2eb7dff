#include "programs/operator_client.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/lexical_cast/try_lexical_convert.hpp>
#include <fstream>
#include <sstream>

#include "gullstall/src/runtime/platform_http.hpp"

namespace gullstall::programs {

namespace {

constexpr duration exchange_timeout = seconds(5);
constexpr std::uint64_t body_limit = 256U << 20U;
constexpr unsigned http_ok = 200;

boost::asio::ip::tcp::endpoint to_tcp(const endpoint &it)
{
    return {boost::asio::ip::make_address(it.address), it.port};
}

runtime::exchange exchange_now(const endpoint &to, runtime::http_request request)
{
    boost::asio::io_context io;
    runtime::http_client client(io, to_tcp(to), body_limit);
    auto ended = boost::asio::co_spawn(
        io, client.send(std::move(request), exchange_timeout, nullptr), boost::asio::use_future);
    io.run();
    return ended.get();
}

}  // namespace

result<endpoint> parse_endpoint(const std::string &text)
{
    std::size_t colon = text.rfind(':');
    endpoint out{text.substr(0, colon), 0};
    boost::system::error_code ec;
    boost::asio::ip::make_address(out.address, ec);
    if (ec || colon == std::string::npos ||
        !boost::conversion::try_lexical_convert(text.substr(colon + 1), out.port)) {
        return error{error_code::wrong_type, "found '" + text + "', expected address:port"};
    }
    return out;
}

result<std::string> fetch_page(const endpoint &from, const std::string &target)
{
    constexpr unsigned http_version = 11;
    runtime::exchange it = exchange_now(
        from, runtime::http_request{boost::beast::http::verb::get, target, http_version});
    if (it.end != runtime::exchange_end::answered) {
        return error{error_code::unavailable,
                     from.address + ":" + std::to_string(from.port) + " gives no answer"};
    }
    std::string body(it.response.body().begin(), it.response.body().end());
    if (it.response.result_int() != http_ok) {
        return error{error_code::not_found, target + ": " + body};
    }
    return body;
}

platform_answer ask_platform_now(const endpoint &platform, const platform_request &what)
{
    return runtime::decode_platform_answer(
        exchange_now(platform, runtime::encode_platform_request(what)));
}

result<std::string> read_file(const std::string &name)
{
    std::ifstream in(name, std::ios::binary);
    std::ostringstream out;
    if (!in || !(out << in.rdbuf())) {
        return error{error_code::not_found, name + ": cannot be read"};
    }
    return out.str();
}

result<done> write_file(const std::string &name, const std::string &content)
{
    std::ofstream out(name, std::ios::binary | std::ios::trunc);
    out << content;
    out.close();
    if (!out) {
        return error{error_code::unavailable, name + ": cannot be written"};
    }
    return done{};
}

}  // namespace gullstall::programs
