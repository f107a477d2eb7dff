#include "gullstall/src/edge/suspect_store.hpp"

#include "gullstall/src/edge/clock.hpp"

namespace gullstall::edge {

namespace asio = boost::asio;

namespace {

constexpr const char *row_key = "all";

}  // namespace

suspect_store::suspect_store(std::string table, store_call call, suspect_row_format format,
                             suspect_store_handlers handlers,
                             std::function<void(const mesh::write_line &)> log, std::uint64_t seed)
    : format_(std::move(format)),
      handlers_(std::move(handlers)),
      rows_{std::move(table), std::move(call),
            [this](const kept_row &row) -> result<done> {
                result<std::vector<kept_suspect>> read = format_.read(row.value, row.store_ms);
                if (!succeeded(read)) {
                    return error_of(read);
                }
                last_read_ = value_of(std::move(read));
                return done{};
            },
            std::move(log), random_source(seed)}
{
}

asio::awaitable<void> suspect_store::load(asio::io_context &io)
{
    last_read_.clear();
    co_await load_rows(io, rows_);
    handlers_.on_read(last_read_);
}

asio::awaitable<void> suspect_store::save(std::vector<kept_suspect> suspects)
{
    last_read_.clear();
    std::string value = format_.print(suspects, store_clock_ms(rows_, now()));
    platform_status status = co_await save_row(rows_, row_key, std::move(value));
    handlers_.on_saved(status == platform_status::done);
    if (status == platform_status::conflict) {
        handlers_.on_read(last_read_);
    }
}

}  // namespace gullstall::edge
