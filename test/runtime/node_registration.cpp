#include <doctest/doctest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <map>
#include <set>

#include "gullstall/src/edge/node_registration.hpp"

using namespace gullstall;

namespace {

namespace asio = boost::asio;

/// An in-memory store and nodes that register in it.
struct registration_fixture
{
    asio::io_context io;
    std::map<std::string, table_row> rows;
    std::uint64_t version = 0;
    int calls = 0;
    platform_status next_write = platform_status::done;
    std::map<std::string, std::set<std::string>> found;  ///< by node

    asio::awaitable<platform_answer> ask(platform_request what)
    {
        ++calls;
        // Respond in a later iteration, so that calls of several nodes interleave.
        co_await asio::post(io, asio::use_awaitable);
        platform_answer out{platform_status::done, {}, {}};
        if (const table_commit *commit = std::get_if<table_commit>(&what)) {
            out.status = write(commit->rows.front());
            co_return out;
        }
        for (const auto &[key, row] : rows) {
            out.rows.push_back(row);
        }
        co_return out;
    }

    platform_status write(const row_write &it)
    {
        platform_status out = next_write;
        next_write = platform_status::done;
        bool expected = rows.count(it.key) > 0 ? rows.at(it.key).version == it.expected_version
                                               : it.expected_version == 0;
        if (!expected) {
            return platform_status::conflict;
        }
        rows[it.key] = table_row{it.key, ++version, it.value};
        return out;
    }

    edge::node_registration node(const std::string &name)
    {
        return edge::node_registration{
            "n/",
            table_row{"n/" + name, 0, "at " + name},
            [this](platform_request what) { return ask(std::move(what)); },
            [this, name](const std::vector<table_row> &all) {
                for (const table_row &row : all) {
                    found[name].insert(row.key);
                }
            },
            [](const mesh::write_line &) {},
            random_source(1)};
    }

    void start(edge::node_registration &it, bool &done)
    {
        asio::co_spawn(
            io, [&]() -> asio::awaitable<void> { done = co_await register_once(it); },
            asio::detached);
    }
};

}  // namespace

// Two instances start at the same time. If each read the store before it wrote its own
// row, both would miss the other and never connect.
TEST_CASE_FIXTURE(registration_fixture,
                  "nodes started concurrently, of any two, one finds the other")
{
    bool done[3] = {};
    edge::node_registration a = node("a");
    edge::node_registration b = node("b");
    edge::node_registration c = node("c");
    start(a, done[0]);
    start(b, done[1]);
    start(c, done[2]);
    io.run();
    CHECK((done[0] && done[1] && done[2]));
    CHECK((found["a"].count("n/b") + found["b"].count("n/a") > 0));
    CHECK((found["a"].count("n/c") + found["c"].count("n/a") > 0));
    CHECK((found["b"].count("n/c") + found["c"].count("n/b") > 0));
    CHECK(calls == 9);
}

TEST_CASE_FIXTURE(registration_fixture, "node restarted, row up to date, needs one call")
{
    rows["n/a"] = table_row{"n/a", 5, "at a"};
    bool done = false;
    edge::node_registration a = node("a");
    start(a, done);
    io.run();
    CHECK(done);
    CHECK(calls == 1);
}

// The store writes the row but its response is lost. A repeated write would conflict
// with the first one; the next scan must find the row instead.
TEST_CASE_FIXTURE(registration_fixture, "node, response to its write lost, succeeds on retry")
{
    next_write = platform_status::lost;
    bool first = true;
    edge::node_registration a = node("a");
    start(a, first);
    io.run();
    CHECK_FALSE(first);
    io.restart();
    bool second = false;
    start(a, second);
    io.run();
    CHECK(second);
    CHECK(found["a"].count("n/a") == 1);
}
