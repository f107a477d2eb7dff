#include <doctest/doctest.h>

#include "platform/chain_rows.hpp"
#include "platform/heartbeat.hpp"
#include "platform/node_rows.hpp"
#include "platform/operator_policy.hpp"
#include "platform/store_http.hpp"
#include "platform/suspect_rows.hpp"
#include "platform/upstream_rows.hpp"

using namespace gullstall;

namespace {

constexpr const char *heartbeat_text =
    R"({"service":"books","address":"10.0.0.9:80","zone":"a","version":"v1","slots":90,)"
    R"("state":"ready","cold-remaining-ms":250,"seq":4,"born":1700000000000})";

/// \returns the heartbeat's text with \a from in place of \a to
std::string with(std::string text, const std::string &from, const std::string &to)
{
    text.replace(text.find(from), from.size(), to);
    return text;
}

error_code heartbeat_error(const std::string &text)
{
    auto read = platform::read_heartbeat("i-1", text);
    REQUIRE_FALSE(succeeded(read));
    return error_of(read).code;
}

std::string policy_with(const std::string &route_spec)
{
    return R"({"version":"r7","resource-list":[{"resource-kind":"routes","metadata":{"name":"r"},)"
           R"("spec":{)" +
           route_spec +
           R"(}},{"resource-kind":"services","metadata":{"name":"books"},"spec":)"
           R"({"health-path":"/health","max-connections":892}},{"resource-kind":"limits",)"
           R"("metadata":{},"spec":{"max-header-bytes":16384,"max-body-bytes":67108864,)"
           R"("header-timeout-ms":3000,"idle-timeout-ms":15000}},)"
           R"({"resource-kind":"tenants","metadata":{"name":"t"},"spec":{}}]})";
}

result<traffic_policy> read_policy(std::string_view text)
{
    return platform::read_policy(text, digest_secret{});
}

const std::string route_spec =
    R"("host":"h.example","prefix":"/a/","kind":"upload","timeout-ms":5000,)"
    R"("target-latency-ms":1200,"priority":2,"max-attempts":2,"service":"books")";

runtime::exchange answered(unsigned status, const std::string &body)
{
    runtime::exchange out{runtime::exchange_end::answered, {}};
    out.response.result(status);
    out.response.body().assign(body.begin(), body.end());
    return out;
}

}  // namespace

TEST_CASE("heartbeat, all fields, is read")
{
    auto read = platform::read_heartbeat("i-1", heartbeat_text);
    REQUIRE(succeeded(read));
    mesh::upstream_heartbeat expected{
        "i-1", "books",          "10.0.0.9:80", 1700000000000, 4, mesh_wire::upstream_state::ready,
        90,    milliseconds(250)};
    CHECK(value_of(read) == expected);
}

TEST_CASE("heartbeat, missing field, wrong type or unknown state, names no upstream")
{
    CHECK(heartbeat_error("{") == error_code::bad_syntax);
    CHECK(heartbeat_error("[]") == error_code::bad_syntax);
    CHECK(heartbeat_error(with(heartbeat_text, R"("seq":4,)", "")) == error_code::missing);
    CHECK(heartbeat_error(with(heartbeat_text, R"("slots":90)", R"("slots":"90")")) ==
          error_code::wrong_type);
    CHECK(heartbeat_error(with(heartbeat_text, R"("slots":90)", R"("slots":-1)")) ==
          error_code::out_of_range);
    CHECK(heartbeat_error(with(heartbeat_text, R"("born":1700000000000)", R"("born":1.5)")) ==
          error_code::wrong_type);
    CHECK(heartbeat_error(with(heartbeat_text, "ready", "asleep")) == error_code::unknown_name);
    CHECK(heartbeat_error(with(heartbeat_text, R"("service":"books")", R"("service":7)")) ==
          error_code::wrong_type);
}

TEST_CASE("operator's row, routes, services and limits, become a policy")
{
    auto read = read_policy(policy_with(route_spec));
    REQUIRE(succeeded(read));
    const traffic_policy &policy = value_of(read);
    CHECK(policy.version == 7);
    REQUIRE(policy.routes.size() == 1);
    const traffic_route &route = policy.routes.front();
    CHECK(route.request_idempotency == idempotency::non_idempotent);
    CHECK(route.timeout == seconds(5));
    CHECK(route.latency_objective == milliseconds(1200));
    CHECK(route.priority == 2);
    CHECK(route.services == std::vector<weighted_service>{{"books", 1}});
    CHECK(policy.services.at("books").max_connections == 892);
    CHECK(policy.limits.idle_timeout == seconds(15));
}

TEST_CASE("operator's row, split route, keeps its weights")
{
    std::string split = with(
        route_spec, R"("service":"books")",
        R"("traffic-split":[{"service":"books","weight":90},{"service":"other","weight":10}])");
    auto read = read_policy(policy_with(split));
    REQUIRE(succeeded(read));
    CHECK(value_of(read).routes.front().services ==
          std::vector<weighted_service>{{"books", 90}, {"other", 10}});
}

TEST_CASE("operator's row, route of large answers, may be repeated")
{
    // What a user would see: nothing is served. One route of a kind that the adapter
    // cannot read makes the whole row unreadable, and every node stays without a policy.
    auto read =
        read_policy(policy_with(with(route_spec, R"("kind":"upload")", R"("kind":"download")")));
    REQUIRE(succeeded(read));
    CHECK(value_of(read).routes.front().request_idempotency == idempotency::idempotent);
}

TEST_CASE("operator's row, bad content, is refused with the entry's name")
{
    for (const auto &[from, to] : std::vector<std::pair<std::string, std::string>>{
             {R"("kind":"upload")", R"("kind":"odd")"},
             {R"("timeout-ms":5000)", R"("timeout-ms":"5000")"},
             {R"("prefix":"/a/")", R"("prefix":"a")"},
             {R"(,"service":"books")", ""},
             {R"("host":"h.example",)", ""}}) {
        auto read = read_policy(policy_with(with(route_spec, from, to)));
        REQUIRE_FALSE(succeeded(read));
        CHECK(error_of(read).message.find("'r'") != std::string::npos);
    }
    CHECK_FALSE(succeeded(read_policy("")));
    CHECK_FALSE(succeeded(read_policy(R"({"version":"7","resource-list":[]})")));
    CHECK_FALSE(succeeded(read_policy(R"({"version":"r7"})")));
}

TEST_CASE("row of a node, printed and read, is the same")
{
    mesh::node_address address{"n-1", "a", endpoint{"10.0.0.1", 7000}};
    auto read = platform::read_node_row("n-1", platform::print_node_row(address));
    REQUIRE(succeeded(read));
    CHECK(value_of(read) == address);
    CHECK_FALSE(succeeded(platform::read_node_row("n-1", "x")));
    CHECK_FALSE(succeeded(platform::read_node_row("n-1", R"({"zone":"a"})")));
    CHECK_FALSE(succeeded(platform::read_node_row("n-1", R"({"zone":"a","peers":"here"})")));
}

TEST_CASE("calls to the store, names with odd characters, are escaped")
{
    auto request = platform::encode_store_request(table_scan{"t/a b&c"});
    CHECK(request.target() == "/v1/rows-get?table=t&part=&from=a%20b%26c&limit=500");
    request = platform::encode_store_request(table_feed{"op/config", 12, 500});
    CHECK(request.target() == "/v1/rows-feed?table=op&after=12&wait-ms=500");
    request = platform::encode_store_request(table_commit{{row_write{"t/k", 3, "node-0"}}});
    std::string body(request.body().begin(), request.body().end());
    CHECK(body == R"({"expected-rev":[{"table":"t","part":"","key":"k","ver":3}],)"
                  R"("puts":[{"table":"t","part":"","key":"k","value":"bm9kZS0w"}],"remove":[]})");
}

// Story: a node that takes a lost answer for a refusal writes twice, and one that
// takes `too much asked` for an outage backs off for too long.
TEST_CASE("answers of the store, each status, is told apart")
{
    platform_request scan = table_scan{"t/"};
    auto status = [&](unsigned code) {
        return platform::decode_store_answer(scan, answered(code, R"({"rows":[],"ver":5})")).status;
    };
    CHECK(status(200) == platform_status::done);
    CHECK(status(412) == platform_status::conflict);
    CHECK(status(410) == platform_status::history_gone);
    CHECK(status(429) == platform_status::throttled);
    CHECK(status(503) == platform_status::unavailable);
    CHECK(status(500) == platform_status::lost);
    runtime::exchange none{runtime::exchange_end::lost, {}};
    CHECK(platform::decode_store_answer(scan, none).status == platform_status::lost);
    none.end = runtime::exchange_end::not_sent;
    CHECK(platform::decode_store_answer(scan, none).status == platform_status::unavailable);
    CHECK(platform::decode_store_answer(scan, answered(200, "{")).status == platform_status::lost);
}

TEST_CASE("rows of an answer, one unreadable, hurts no other")
{
    auto answer = platform::decode_store_answer(
        table_scan{"t/"},
        answered(200, R"({"rows":[{"table":"t","part":"","key":"a","value":"bm9kZS0x","ver":4},)"
                      R"({"table":"t","key":7},{"table":"t","part":"","key":"b","value":"*",)"
                      R"("ver":5},{"table":"t","part":"","key":"c","deleted":true,"ver":6}],)"
                      R"("has-more":true,"ver":9})"));
    REQUIRE(answer.rows.size() == 2);
    CHECK(answer.rows[0] == table_row{"t/a", 4, "node-1"});
    CHECK(answer.rows[1].removed);
    CHECK(answer.version == 9);
    CHECK(answer.has_more);
}

TEST_CASE("chain row, printed, is read back, and bad content is refused")
{
    mesh::calls_per_run calls{{"roster", 2.0}, {"index", 0.5}};
    auto read = platform::read_chain_row(platform::print_chain_row(calls));
    REQUIRE(succeeded(read));
    CHECK(value_of(read) == calls);
    CHECK_FALSE(succeeded(platform::read_chain_row("{")));
    CHECK_FALSE(succeeded(platform::read_chain_row(R"({"roster":"2"})")));
    CHECK_FALSE(succeeded(platform::read_chain_row(R"({"roster":-1})")));
}

TEST_CASE("row of an announced end, printed, is read back, and bad content is refused")
{
    mesh::announced_end end{"i-1", 1700000000000, 4, true};
    auto read = platform::read_upstream_row(platform::print_upstream_row(end));
    REQUIRE(succeeded(read));
    CHECK(value_of(read) == end);
    for (const char *text : {"{", R"({"upstream":"i-1","born":1,"seq":1,"state":"ready"})",
                             R"({"upstream":7,"born":1,"seq":1,"state":"departed"})",
                             R"({"upstream":"i-1","born":-1,"seq":1,"state":"departed"})",
                             R"({"upstream":"i-1","born":1,"state":"departed"})"}) {
        INFO(text);
        CHECK_FALSE(succeeded(platform::read_upstream_row(text)));
    }
}

TEST_CASE("suspect row, printed, is read back with its age")
{
    std::vector<kept_suspect> kept{{request_signature{0xfe}, 3, 1, milliseconds(200)},
                                   {request_signature{~0ULL}, 2, 0, seconds(40)}};
    auto read = platform::read_suspect_row(platform::print_suspect_row(kept, 5000), 5700);
    REQUIRE(succeeded(read));
    kept[0].age = milliseconds(900);
    kept[1].age = milliseconds(40700);
    CHECK(value_of(read) == kept);
}

// Guards against a quarantine that comes from a row of something else.
TEST_CASE("suspect row, foreign, spoiled or from a later time, is refused")
{
    for (
        const char *bad :
        {"", "{", "[]", R"({"suspects":[]})", R"({"written-ms":0})",
         R"({"written-ms":101,"suspects":[]})", R"({"written-ms":0,"suspects":[7]})",
         R"({"written-ms":0,"suspects":[{"signature":"xyz","crashes":1,"blamed":0,"age-ms":0}]})",
         R"({"written-ms":0,"suspects":[{"signature":"fe","crashes":1,"blamed":0,"age-ms":0}]})",
         R"({"written-ms":0,"suspects":[{"signature":"00000000000000fe","crashes":1,"blamed":2,"age-ms":0}]})",
         R"({"written-ms":0,"suspects":[{"signature":"00000000000000fe","crashes":-1,"blamed":0,"age-ms":0}]})",
         R"({"written-ms":0,"suspects":[{"signature":"00000000000000fe","crashes":1,"blamed":0,"age-ms":-5}]})"}) {
        INFO(bad);
        CHECK_FALSE(succeeded(platform::read_suspect_row(bad, 100)));
    }
}

TEST_CASE("suspect row, too long, is cut to the bound")
{
    std::vector<kept_suspect> kept;
    for (std::uint64_t i = 1; i <= 10 * max_kept_suspects; ++i) {
        kept.push_back(kept_suspect{request_signature{i}, 3, 1, seconds(1)});
    }
    auto read = platform::read_suspect_row(platform::print_suspect_row(kept, 1), 1);
    REQUIRE(succeeded(read));
    CHECK(value_of(read).size() == max_kept_suspects);
}
