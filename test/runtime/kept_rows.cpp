#include <doctest/doctest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "gullstall/src/edge/kept_rows.hpp"

using namespace gullstall;

namespace {

namespace asio = boost::asio;

/// An in-memory store that can be unavailable for some calls, and the results seen by
/// a node.
struct kept_rows_fixture
{
    asio::io_context io;
    std::map<std::string, table_row> rows;
    std::uint64_t version = 0;
    int unavailable_calls = 0;
    std::map<std::string, std::string> found;
    std::vector<std::string> events;

    asio::awaitable<platform_answer> ask(platform_request what)
    {
        co_await asio::post(io, asio::use_awaitable);
        if (unavailable_calls > 0) {
            --unavailable_calls;
            co_return platform_answer{platform_status::unavailable, {}, {}};
        }
        platform_answer out{platform_status::done, {}, {}};
        if (const table_commit *commit = std::get_if<table_commit>(&what)) {
            const row_write &it = commit->rows.front();
            if (rows[it.key].version != it.expected_version) {
                out.status = platform_status::conflict;
                out.rows.push_back(rows[it.key]);
                co_return out;
            }
            rows[it.key] = table_row{it.key, ++version, it.value};
            out.version = version;
            co_return out;
        }
        for (const auto &[key, row] : rows) {
            out.rows.push_back(row);
        }
        co_return out;
    }

    edge::kept_rows subject()
    {
        return edge::kept_rows{
            "c/", [this](platform_request what) { return ask(std::move(what)); },
            [this](const edge::kept_row &row) -> result<done> {
                if (row.value.empty()) {
                    return error{error_code::bad_syntax, "empty"};
                }
                found[row.key] = row.value;
                return done{};
            },
            [this](const mesh::write_line &line) { events.emplace_back(line.event); },
            random_source(1)};
    }
};

}  // namespace

// All nodes lose power at once and the store recovers late. What they have learned must be
// read as soon as the store responds.
TEST_CASE_FIXTURE(kept_rows_fixture, "rows, store unavailable at start, are read on its recovery")
{
    rows["c/list"] = table_row{"c/list", 3, "8"};
    rows["c/bad"] = table_row{"c/bad", 4, ""};
    unavailable_calls = 2;
    edge::kept_rows it = subject();
    asio::co_spawn(io, edge::load_rows(io, it), asio::detached);
    io.run();
    CHECK(found == std::map<std::string, std::string>{{"list", "8"}});
    CHECK(events == std::vector<std::string>{"store-lost", "row-unreadable", "rows-read"});
}

TEST_CASE_FIXTURE(kept_rows_fixture, "row, conflicting write of another node, its row is kept")
{
    edge::kept_rows first = subject();
    edge::kept_rows second = subject();
    asio::co_spawn(io, edge::save_row(first, "list", "8"), asio::detached);
    asio::co_spawn(io, edge::save_row(second, "list", "7.9"), asio::detached);
    io.run();
    CHECK(rows["c/list"].version == 1);
    CHECK(found["list"] == "8");
    CHECK(events == std::vector<std::string>{"row-saved", "row-not-saved"});
    io.restart();
    asio::co_spawn(io, edge::save_row(second, "list", "4"), asio::detached);
    io.run();
    CHECK(rows["c/list"].version == 2);
}

// Guards against a write that conflicts with the node's own one before it.
TEST_CASE_FIXTURE(kept_rows_fixture, "row, saved twice by a node, does not conflict")
{
    edge::kept_rows it = subject();
    for (const char *value : {"8", "7"}) {
        asio::co_spawn(io, edge::save_row(it, "list", value), asio::detached);
        io.run();
        io.restart();
    }
    CHECK(rows["c/list"].value == "7");
    CHECK(events == std::vector<std::string>{"row-saved", "row-saved"});
}
