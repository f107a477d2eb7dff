#include <doctest/doctest.h>

#include <boost/json/serialize.hpp>

#include "platform/chain_rows.hpp"
#include "platform/heartbeat.hpp"
#include "platform/node_rows.hpp"
#include "platform/operator_policy.hpp"
#include "platform/store_http.hpp"

using namespace gullstall;

namespace {

runtime::exchange answered(const std::string &body)
{
    runtime::exchange out{runtime::exchange_end::answered, {}};
    out.response.result(200);
    out.response.body().assign(body.begin(), body.end());
    return out;
}

/// \returns what is read of a table with \a odd between two good rows
platform_answer read_beside(const std::string &odd)
{
    auto row = [](const std::string &key, const std::string &version) {
        return R"({"table":"t","part":"","key":")" + key + R"(","value":"QUI=","ver":)" + version +
               "}";
    };
    return platform::decode_store_answer(
        platform_request(table_scan{"t/"}),
        answered(R"({"ver":9,"rows":[)" + row("a", "3") + "," + odd + "," + row("z", "4") +
                 R"(],"now-ms":12,"has-more":false})"));
}

std::string row_with_value(const std::string &value)
{
    return R"({"table":"t","part":"","key":"m","value":)" + value + R"(,"ver":5})";
}

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

std::string heartbeat_with(const std::string &field, const std::string &number)
{
    std::map<std::string, std::string> numbers{
        {"slots", "90"}, {"cold-remaining-ms", "0"}, {"seq", "4"}, {"born", "1700000000000"}};
    numbers[field] = number;
    std::string out = R"({"service":"books","address":"10.0.0.9:80","zone":"a","state":"ready")";
    for (const auto &[name, n] : numbers) {
        out.append(",\"").append(name).append("\":").append(n);
    }
    return out + "}";
}

std::string policy_with(const std::string &version, const std::string &rate)
{
    return R"({"version":")" + version +
           R"(","resource-list":[{"resource-kind":"tenants","metadata":{"name":"t"},"spec":)" +
           R"({"api-keys":["k"],"rate-per-s":)" + rate + "}}]}";
}

}  // namespace

// Guards against processes that end, again at each start, by a row of another writer.
TEST_CASE("row, value that is no base64, hurts no other")
{
    for (const char *value : {R"("====")", R"("QUI=\n\n")", R"("========")", R"("QUI=    ")",
                              R"("=")", R"("QQ=Q")", R"("Q===")", R"("!!!!")", R"("QUI=QUI=")"}) {
        INFO(value);
        platform_answer read = read_beside(row_with_value(value));
        REQUIRE(read.status == platform_status::done);
        REQUIRE(read.rows.size() == 2);
        CHECK(read.rows[0].value == "AB");
        CHECK(read.rows[1].key == "t/z");
    }
}

// Guards against nodes that stop following a table for good, since one of its rows can't be parsed.
TEST_CASE("row, envelope that can't be parsed, hurts no other")
{
    for (const std::string &odd :
         {row_with_value(nested(40)), row_with_value(nested(100000)), nested(100000),
          row_with_value("1e999999999999"), row_with_value(R"("\ud800")"),
          row_with_value(R"("]},{[\"")") + ",-", std::string("{]")}) {
        INFO(odd.substr(0, 80));
        platform_answer read = read_beside(odd);
        CHECK(read.status == platform_status::done);
        CHECK(read.version == 9);
        CHECK(read.now_ms == 12);
        REQUIRE(read.rows.size() >= 2);
        CHECK(read.rows.front().key == "t/a");
        CHECK(read.rows.back().key == "t/z");
    }
}

// Guards against an answer that is taken for whole although its end is missing.
TEST_CASE("answer, cut off or no object, tells nothing")
{
    for (const char *body : {"", "[", R"({"rows":[)", R"({"rows":[{"table":"t")", R"({"ver":9)",
                             R"({"rows":[],"ver":9}})", R"({"rows":[{]})"}) {
        INFO(body);
        CHECK(platform::decode_store_answer(platform_request(table_scan{"t/"}), answered(body))
                  .status == platform_status::lost);
    }
}

// Guards against a heartbeat after which all later ones of the upstream count as outdated.
TEST_CASE("heartbeat, number that no upstream has, is refused")
{
    CHECK(succeeded(platform::read_heartbeat("i", heartbeat_with("seq", "5"))));
    for (const char *field : {"seq", "born", "cold-remaining-ms", "slots"}) {
        for (const char *number : {"9223372036854775807", "1e999", "99999999999999999999", "-1"}) {
            INFO(field << " " << number);
            CHECK_FALSE(succeeded(platform::read_heartbeat("i", heartbeat_with(field, number))));
        }
    }
}

// Guards against addresses that can't be connected to and are tried for ever.
TEST_CASE("row of a node, port out of range or no address, is refused")
{
    for (const char *peers : {"10.0.0.1:99999", "10.0.0.1:-1", "10.0.0.1:0", "10.0.0.1:+7620",
                              "10.0.0.1: 7620", "10.0.0.1:", "10.0.0.1", "host:7620", ":7620"}) {
        INFO(peers);
        std::string row = std::string(R"({"zone":"a","peers":")") + peers + "\"}";
        CHECK_FALSE(succeeded(platform::read_node_row("n", row)));
    }
}

// Guards against numbers of calls that turn all that is computed of them into infinity.
TEST_CASE("row of calls, number out of range, is refused")
{
    CHECK(succeeded(platform::read_chain_row(R"({"r":2.5})")));
    for (const char *calls : {"1e999", "1e300", "-1", "\"2\""}) {
        INFO(calls);
        CHECK_FALSE(
            succeeded(platform::read_chain_row(std::string(R"({"r":1,"s":)") + calls + "}")));
    }
}

// Guards against a version after which all later ones count as older, and against endless rates.
TEST_CASE("operator's row, version or rate out of range, is refused")
{
    CHECK(succeeded(platform::read_policy(policy_with("r7", "10.5"), digest_secret{})));
    for (const char *version : {"r-1", "r+1", "r 1", "r99999999999999999999", "r1e3", "r"}) {
        INFO(version);
        CHECK_FALSE(succeeded(platform::read_policy(policy_with(version, "10"), digest_secret{})));
    }
    for (const char *rate : {"1e999", "1e300", "-1"}) {
        INFO(rate);
        CHECK_FALSE(succeeded(platform::read_policy(policy_with("r7", rate), digest_secret{})));
    }
}
