#include "gullstall/src/edge/time_fields.hpp"

#include <doctest/doctest.h>

#include <string>

using namespace gullstall;
using edge::parse_keep_alive_timeout;
using edge::parse_time_left;

namespace {

constexpr duration day = std::chrono::hours(24);

}  // namespace

// Guards against times that overflow and count as long past, or as endless.
TEST_CASE("time left, number too large, is a day")
{
    CHECK(parse_time_left("1500") == milliseconds(1500));
    CHECK(parse_time_left("9223372036854775807") == day);
    CHECK(parse_time_left(std::string(400, '9')) == day);
    CHECK(parse_time_left("-1") == duration{});
    CHECK(parse_time_left("0") == duration{});
    for (const char *text : {"", "-", "--1", "1e3", "1.5", " 5", "0x10", "soon"}) {
        INFO(text);
        CHECK_FALSE(parse_time_left(text));
    }
}

// Guards against connections that are reused after the upstream has closed them, or never.
TEST_CASE("keep-alive, number too large, is a day")
{
    CHECK(parse_keep_alive_timeout("timeout=5, max=100") == seconds(5));
    CHECK(parse_keep_alive_timeout("max=3, timeout=7") == seconds(7));
    CHECK(parse_keep_alive_timeout("timeout=" + std::string(400, '9')) == day);
    for (const char *text : {"", "max=3", "timeout=", "timeout=-1", "timeout=x"}) {
        INFO(text);
        CHECK_FALSE(parse_keep_alive_timeout(text));
    }
}
