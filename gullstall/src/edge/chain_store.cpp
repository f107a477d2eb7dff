#include "gullstall/src/edge/chain_store.hpp"

namespace gullstall::edge {

namespace asio = boost::asio;
using mesh::write_line;

namespace {

void take_row(chain_store &it, const table_row &row)
{
    std::string route = row.key.substr(it.prefix.size());
    it.versions[route] = row.version;
    result<mesh::calls_per_run> calls = it.format.read(row.value);
    if (!succeeded(calls)) {
        it.log(write_line{write_line::severity::warning,
                          "store",
                          "chain-row-unreadable",
                          {{"route", route}, {"error", error_of(calls).message}}});
        return;
    }
    it.found(route, value_of(calls));
}

}  // namespace

asio::awaitable<void> load_chains(asio::io_context &io, chain_store &it)
{
    std::uint32_t failures = 0;
    while (true) {
        platform_request scan = table_scan{it.prefix};
        platform_answer all = co_await it.ask(scan);
        if (all.status == platform_status::done) {
            for (const table_row &row : all.rows) {
                take_row(it, row);
            }
            it.log(write_line{write_line::severity::info,
                              "store",
                              "chains-read",
                              {{"routes", std::to_string(all.rows.size())}}});
            co_return;
        }
        if (++failures == 1) {
            it.log(write_line{
                write_line::severity::warning, "store", "store-lost", {{"table", it.prefix}}});
        }
        co_await wait_for(io, draw_store_pause(it.random, failures));
    }
}

asio::awaitable<void> save_chain(chain_store &it, std::string route, mesh::calls_per_run calls)
{
    platform_request write =
        table_commit{{row_write{it.prefix + route, it.versions[route], it.format.print(calls)}}};
    platform_answer written = co_await it.ask(write);
    if (written.status == platform_status::conflict) {
        for (const table_row &row : written.rows) {
            take_row(it, row);
        }
    }
    // Without an answer the row may stand or not; the next change tells.
    it.log(write_line{write_line::severity::info,
                      "store",
                      written.status == platform_status::done ? "chain-saved" : "chain-not-saved",
                      {{"route", route}}});
}

}  // namespace gullstall::edge
