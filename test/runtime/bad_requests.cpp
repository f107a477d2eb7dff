#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "gullstall/src/runtime/callers_http.hpp"

using namespace gullstall;
namespace http = boost::beast::http;

namespace {

struct bad_request
{
    http::verb method;
    std::string target;
    std::string header;
    std::string value;
    error_code code;
    std::string message;
};

const std::string long_text(201, 'x');
const std::string paths =
    "expected POST /call/SERVICE/OPERATION, /key, /worker/announce or /worker/leave";
const std::string names = "path: expected /call/SERVICE/OPERATION, names of letters, digits, - _ .";

const std::vector<bad_request> table{
    {http::verb::get, "/call/boxwatch/status", "", "", error_code::not_found, paths},
    {http::verb::post, "/", "", "", error_code::not_found, paths},
    {http::verb::post, "/call/boxwatch", "", "", error_code::not_found, paths},
    {http::verb::post, "/call/boxwatch/status/1", "", "", error_code::not_found, paths},
    {http::verb::post, "/calls/boxwatch/status", "", "", error_code::not_found, paths},
    {http::verb::post, "/call//status", "", "", error_code::bad_syntax, names},
    {http::verb::post, "/call/boxwatch/", "", "", error_code::bad_syntax, names},
    {http::verb::post, "/call/boxwatch/a%20b", "", "", error_code::bad_syntax, names},
    {http::verb::post, "/call/" + long_text + "/status", "", "", error_code::bad_syntax, names},
    {http::verb::post, "/call/a/b", "Gullstall-Request-Id", long_text, error_code::too_large,
     "Gullstall-Request-Id: longer than 200 bytes"},
    {http::verb::post, "/call/a/b", "Idempotency-Key", long_text, error_code::too_large,
     "Idempotency-Key: longer than 200 bytes"},
    {http::verb::post, "/call/a/b", "Gullstall-Context", long_text, error_code::too_large,
     "Gullstall-Context: longer than 200 bytes"},
    {http::verb::post, "/call/a/b", "Gullstall-Time-Left-Ms", "0", error_code::out_of_range,
     "Gullstall-Time-Left-Ms: found '0', allowed 1 to 600000"},
    {http::verb::post, "/call/a/b", "Gullstall-Time-Left-Ms", "-5", error_code::out_of_range,
     "Gullstall-Time-Left-Ms: found '-5', allowed 1 to 600000"},
    {http::verb::post, "/call/a/b", "Gullstall-Time-Left-Ms", "2s", error_code::out_of_range,
     "Gullstall-Time-Left-Ms: found '2s', allowed 1 to 600000"},
    {http::verb::post, "/worker/announce", "", "", error_code::out_of_range,
     "Gullstall-Slots: found '', allowed 1 to 100000"},
    {http::verb::post, "/worker/announce", "Gullstall-Slots", "100001", error_code::out_of_range,
     "Gullstall-Slots: found '100001', allowed 1 to 100000"},
};

}  // namespace

TEST_CASE("request, bad path or header, refused with what was found and is allowed")
{
    CHECK(table.size() == 17);
    for (const bad_request &it : table) {
        CAPTURE(it.target);
        CAPTURE(it.value);
        runtime::http_request request{it.method, it.target, 11};
        if (!it.header.empty()) {
            request.set(it.header, it.value);
        }
        auto read = runtime::decode_callers_request(std::move(request));
        REQUIRE_FALSE(succeeded(read));
        CHECK(error_of(read).code == it.code);
        CHECK(error_of(read).message == it.message);
        auto response = runtime::encode_bad_request(error_of(read));
        CHECK(response.result_int() == (it.code == error_code::not_found ? 404 : 400));
        CHECK(response[runtime::header::outcome] == "not-run");
        CHECK(response[runtime::header::reason] == "bad-request");
    }
}
