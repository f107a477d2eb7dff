#include <doctest/doctest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "gullstall/src/edge/suspect_store.hpp"

using namespace gullstall;

namespace {

namespace asio = boost::asio;

const kept_suspect crasher{request_signature{7}, 3, 1, seconds(2)};

/// One row in memory, and what a node is told of it. A value is the number of suspects.
struct suspect_store_fixture
{
    asio::io_context io;
    table_row row{"s/all", 0, ""};
    std::uint64_t now_ms = 5000;
    std::uint64_t printed_at_ms = 0;
    std::vector<std::size_t> reads;
    std::vector<bool> saves;
    std::vector<std::string> events;
    edge::suspect_store subject{
        "s/",
        [this](platform_request what) { return ask(std::move(what)); },
        {[this](const std::vector<kept_suspect> &it, std::uint64_t store_ms) {
             printed_at_ms = store_ms;
             return std::to_string(it.size());
         },
         [](std::string_view value, std::uint64_t) -> result<std::vector<kept_suspect>> {
             if (value == "spoiled") {
                 return error{error_code::bad_syntax, "spoiled"};
             }
             return std::vector<kept_suspect>(std::stoul(std::string(value)), crasher);
         }},
        {[this](const std::vector<kept_suspect> &it) { reads.push_back(it.size()); },
         [this](bool written) { saves.push_back(written); }},
        [this](const mesh::write_line &line) { events.emplace_back(line.event); },
        1};

    asio::awaitable<platform_answer> ask(platform_request what)
    {
        co_await asio::post(io, asio::use_awaitable);
        platform_answer out{platform_status::done, {}, {}};
        out.now_ms = now_ms;
        if (const table_commit *commit = std::get_if<table_commit>(&what)) {
            const row_write &it = commit->rows.front();
            if (row.version != it.expected_version) {
                out.status = platform_status::conflict;
                out.rows.push_back(row);
                co_return out;
            }
            row = table_row{it.key, row.version + 1, it.value};
            out.version = row.version;
            co_return out;
        }
        if (row.version > 0) {
            out.rows.push_back(row);
        }
        co_return out;
    }

    void run(asio::awaitable<void> what)
    {
        asio::co_spawn(io, std::move(what), asio::detached);
        io.run();
        io.restart();
    }
};

}  // namespace

TEST_CASE_FIXTURE(suspect_store_fixture, "suspects, no row yet, are read as none and written")
{
    run(subject.load(io));
    run(subject.save({crasher}));
    run(subject.save({crasher, crasher}));
    CHECK(reads == std::vector<std::size_t>{0});
    CHECK(saves == std::vector<bool>{true, true});
    CHECK(row.value == "2");
    CHECK(printed_at_ms >= now_ms);
}

// Guards against a node that forgets what another one has written.
TEST_CASE_FIXTURE(suspect_store_fixture, "suspects, written by another node, are read instead")
{
    run(subject.load(io));
    row = table_row{"s/all", 9, "4"};
    run(subject.save({crasher}));
    CHECK(saves == std::vector<bool>{false});
    CHECK(reads == std::vector<std::size_t>{0, 4});
    CHECK(row.value == "4");
    run(subject.save({crasher}));
    CHECK(row.value == "1");
}

// Guards against a spoiled row that stops a node from starting, or stays.
TEST_CASE_FIXTURE(suspect_store_fixture, "suspects, spoiled row, count as none and are replaced")
{
    row = table_row{"s/all", 3, "spoiled"};
    run(subject.load(io));
    CHECK(reads == std::vector<std::size_t>{0});
    CHECK(events == std::vector<std::string>{"row-unreadable", "rows-read"});
    run(subject.save({crasher}));
    CHECK(row.value == "1");
}
