#include <doctest/doctest.h>

#include "gullstall/mesh.hpp"

using namespace gullstall;

namespace {

const std::string head =
    "[node]\nname = n1\nzone = a\nservice = s\n"
    "[listen]\ncallers = 127.0.0.1:1\npeers = 127.0.0.1:2\nreadiness = 127.0.0.1:3\n"
    "control = 127.0.0.1:4\nmetrics = 127.0.0.1:5\n"
    "[store]\nendpoint = 127.0.0.1:6\n";

result<mesh::mesh_settings> read_limits(const std::string &lines)
{
    return mesh::parse_mesh_settings("s.ini", head + "[limits]\n" + lines);
}

/// \returns what is said of a settings file with these lines in [limits]
std::string message_of(const std::string &lines)
{
    result<mesh::mesh_settings> read = read_limits(lines);
    return succeeded(read) ? "" : error_of(read).message;
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

}  // namespace

TEST_CASE("limits, numbers with a fraction, are read")
{
    mesh::mesh_settings it = value_of(read_limits("stop_s = 4.5\nretry_ratio = 0.15\n"));
    CHECK(it.stop_time == milliseconds(4500));
    CHECK(it.retry_ratio == 0.15);
}

// Story: a deployment has no bound on retries, and its settings leave the key out.
// A node that took this for an error would not start.
TEST_CASE("limits, none told, keep their defaults")
{
    mesh::mesh_settings it = value_of(read_limits(""));
    CHECK(it.stop_time == seconds(6));
    CHECK(it.retry_ratio == 0.2);
}

TEST_CASE("limits, bad numbers, are refused with file, key, found and allowed")
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

TEST_CASE("settings, printed, read the same")
{
    mesh::mesh_settings it = value_of(read_limits("stop_s = 4.5\nretry_ratio = 0.15\n"));
    mesh::mesh_settings again =
        value_of(mesh::parse_mesh_settings("p.ini", mesh::print_mesh_settings(it)));
    CHECK(again.stop_time == it.stop_time);
    CHECK(again.retry_ratio == it.retry_ratio);
    CHECK(again.listen == it.listen);
}

namespace {

/// The bound in which a stop must be over stands in the settings.
struct short_stop_fixture
{
    mesh::mesh_settings settings = value_of(read_limits("stop_s = 2\n"));
    mesh::mesh_node n = mesh::make_mesh_node(settings, 1, 1, time_point(seconds(1)));
    mesh::mesh_actions out;
};

}  // namespace

// Story: a platform kills processes two seconds after the order to stop. With the
// notice of a longer stop callers' requests are taken until the very end, and cut.
TEST_CASE_FIXTURE(short_stop_fixture, "node with a short stop, refuses callers half way")
{
    mesh::mesh_turn t{n, time_point(seconds(10)), out};
    stop_node(t);
    CHECK(*n.entry_closes_at <= time_point(seconds(11)));
    CHECK(*n.gate_closes_at <= time_point(seconds(11)));
}
