#include <doctest/doctest.h>

#include "gullstall/mesh.hpp"

using namespace gullstall;

namespace {

const std::string head =
    "[node]\nname = n1\nzone = a\nservice = s\n"
    "[listen]\ncallers = 127.0.0.1:1\npeers = 127.0.0.1:2\nreadiness = 127.0.0.1:3\n"
    "control = 127.0.0.1:4\nmetrics = 127.0.0.1:5\n"
    "[store]\nendpoint = 127.0.0.1:6\n";

result<mesh::mesh_settings> parse_limits(const std::string &lines)
{
    return mesh::parse_mesh_settings("s.ini", head + "[limits]\n" + lines);
}

/// \returns the error message for a settings file with these lines in [limits]
std::string message_of(const std::string &lines)
{
    result<mesh::mesh_settings> read = parse_limits(lines);
    return succeeded(read) ? "" : error_of(read).message;
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

}  // namespace

TEST_CASE("limits: decimal numbers are parsed")
{
    mesh::mesh_settings it = value_of(parse_limits("stop_s = 4.5\nretry_ratio = 0.15\n"));
    CHECK(it.stop_time == milliseconds(4500));
    CHECK(it.limits.retry_ratio == 0.15);
}

TEST_CASE("limits: a cost spread out of range is rejected")
{
    CHECK(value_of(parse_limits("cost_spread = 0\n")).limits.cost_spread == 0);
    CHECK(contains(message_of("cost_spread = -1\n"), "cost_spread"));
}

// Guards against a node that does not start because its settings omit an optional limit.
// Deployments without a bound on retries leave the key out.
TEST_CASE("limits: missing keys keep their defaults")
{
    mesh::mesh_settings it = value_of(parse_limits(""));
    CHECK(it.stop_time == seconds(6));
    CHECK(it.limits.retry_ratio == 0.2);
}

// Guards against a fleet that does not start: the platform writes bounds as whole numbers or
// fractions, and a smaller twin of a deployment divides them.
TEST_CASE("limits: bounds with fractions are parsed")
{
    mesh::mesh_settings it =
        value_of(parse_limits("retry_slack = 21.363636363636363\nretry_window_s = 2.5\n"));
    CHECK(it.limits.retry_slack == doctest::Approx(21.3636));
    CHECK(it.limits.retry_window_s == 2.5);
    std::string text = head;
    text.replace(text.find("[listen]"), 0, "memory_mb = 117.5\n");
    text += "[upstream]\nheartbeat_interval_ms = 1500.5\n";
    CHECK(succeeded(mesh::parse_mesh_settings("s.ini", text)));
}

// Guards against a fleet that does not start because one optional limit can't be read.
TEST_CASE("limits: unreadable value, lenient, default is used and the error kept")
{
    mesh::mesh_settings it = value_of(mesh::parse_mesh_settings(
        "s.ini", head + "[limits]\nretry_ratio = much\nretry_slack = 30\n",
        mesh::bad_value_policy::use_defaults));
    CHECK(it.limits.retry_ratio == 0.2);
    CHECK(it.limits.retry_slack == 30);
    REQUIRE(it.ignored_values.size() == 1);
    CHECK(contains(it.ignored_values.front(), "retry_ratio"));
    CHECK_FALSE(succeeded(mesh::parse_mesh_settings("s.ini", "[node]\nname = n1\n",
                                                    mesh::bad_value_policy::use_defaults)));
}

TEST_CASE("limits: errors name file, key, found value and allowed range")
{
    std::string text = message_of("retry_ratio = much\n");
    CHECK(contains(text, "s.ini"));
    CHECK(contains(text, "retry_ratio"));
    CHECK(contains(text, "found 'much'"));
    CHECK(contains(message_of("retry_ratio = 1.5\n"), "allowed 0"));
    CHECK(contains(message_of("retry_ratio = nan\n"), "expected a number"));
    CHECK(contains(message_of("stop_s = 0\n"), "allowed 0.5"));
    CHECK(contains(message_of("retry_percent = 20\n"), "unknown key"));
}

TEST_CASE("settings: printed text parses to the same values")
{
    mesh::mesh_settings it = value_of(parse_limits("stop_s = 4.5\nretry_ratio = 0.15\n"));
    mesh::mesh_settings reparsed =
        value_of(mesh::parse_mesh_settings("p.ini", mesh::print_mesh_settings(it)));
    CHECK(reparsed.stop_time == it.stop_time);
    CHECK(reparsed.limits == it.limits);
    CHECK(reparsed.listen == it.listen);
}

namespace {

/// A node with a stop time of two seconds.
struct short_stop_fixture
{
    mesh::mesh_settings settings = value_of(parse_limits("stop_s = 2\n"));
    mesh::mesh_node n = mesh::make_mesh_node(settings, 1, 1, time_point(seconds(1)));
    mesh::mesh_actions out;
};

}  // namespace

// Guards against requests cut off by SIGKILL. With a short stop time, fixed close delays
// would accept callers' requests until the process is killed.
TEST_CASE_FIXTURE(short_stop_fixture, "short stop time: callers are refused after half of it")
{
    mesh::mesh_turn t{n, time_point(seconds(10)), out};
    stop_node(t);
    CHECK(*n.entry_closes_at <= time_point(seconds(11)));
    CHECK(*n.gate_closes_at <= time_point(seconds(11)));
}
