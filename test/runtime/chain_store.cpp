#include <doctest/doctest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "gullstall/src/edge/chain_store.hpp"

using namespace gullstall;

namespace {

namespace asio = boost::asio;

/// An in-memory store that can be unavailable for some calls, and the results seen by
/// a node.
struct chain_store_fixture
{
    asio::io_context io;
    std::map<std::string, table_row> rows;
    std::uint64_t version = 0;
    int unavailable_calls = 0;
    std::map<std::string, mesh::calls_per_run> found;
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
            co_return out;
        }
        for (const auto &[key, row] : rows) {
            out.rows.push_back(row);
        }
        co_return out;
    }

    edge::chain_store subject()
    {
        return edge::chain_store{
            "c/",
            [this](platform_request what) { return ask(std::move(what)); },
            {[](const mesh::calls_per_run &it) { return std::to_string(it.at("deep")); },
             [](std::string_view it) -> result<mesh::calls_per_run> {
                 if (it.empty()) {
                     return error{error_code::bad_syntax, "empty"};
                 }
                 return mesh::calls_per_run{{"deep", std::stod(std::string(it))}};
             }},
            [this](const std::string &route, const mesh::calls_per_run &calls) {
                found[route] = calls;
            },
            [this](const mesh::write_line &line) { events.emplace_back(line.event); },
            random_source(1),
            {}};
    }
};

}  // namespace

// All nodes lose power at once and the store recovers late. The call chains must be
// read as soon as the store responds, so that requests whose calls reach services that
// are not up yet are refused with a retry.
TEST_CASE_FIXTURE(chain_store_fixture,
                  "chains, store unavailable at start, are read on its recovery")
{
    rows["c/list"] = table_row{"c/list", 3, "8"};
    rows["c/bad"] = table_row{"c/bad", 4, ""};
    unavailable_calls = 2;
    edge::chain_store it = subject();
    asio::co_spawn(io, edge::load_chains(io, it), asio::detached);
    io.run();
    CHECK(found.size() == 1);
    CHECK(found["list"].at("deep") == 8);
    CHECK(events == std::vector<std::string>{"store-lost", "chain-row-unreadable", "chains-read"});
}

TEST_CASE_FIXTURE(chain_store_fixture, "chain, conflicting write of another node, its row is kept")
{
    edge::chain_store first = subject();
    edge::chain_store second = subject();
    asio::co_spawn(io, edge::save_chain(first, "list", {{"deep", 8}}), asio::detached);
    asio::co_spawn(io, edge::save_chain(second, "list", {{"deep", 7.9}}), asio::detached);
    io.run();
    CHECK(rows["c/list"].version == 1);
    CHECK(found["list"].at("deep") == 8);
    io.restart();
    asio::co_spawn(io, edge::save_chain(second, "list", {{"deep", 4}}), asio::detached);
    io.run();
    CHECK(rows["c/list"].version == 2);
}
