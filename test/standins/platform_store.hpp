#ifndef GULLSTALL_TEST_STANDINS_PLATFORM_STORE_HPP
#define GULLSTALL_TEST_STANDINS_PLATFORM_STORE_HPP

#include <map>
#include <string>

#include "gullstall/platform.hpp"

namespace gullstall::standin {

/// Table and object store in memory, with their faults.
struct platform_store
{
    std::map<std::string, table_row> rows;
    std::map<std::string, std::string> objects;
    bool outage = false;        ///< nothing is carried out
    bool lose_answers = false;  ///< writes take effect, their answers do not come
    bool stale_reads = false;   ///< plain reads and scans see stale_rows
    std::map<std::string, table_row> stale_rows;
    std::uint64_t version = 0;                        ///< rises with each write of a row
    std::map<std::string, std::uint64_t> changed_at;  ///< version at each row's last write
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;

    platform_answer ask(const platform_request &what)
    {
        if (outage) {
            return {platform_status::unavailable, {}, {}};
        }
        return std::visit([this](const auto &it) { return carry_out(it); }, what);
    }

private:
    const std::map<std::string, table_row> &rows_to_read() const
    {
        return stale_reads ? stale_rows : rows;
    }

    platform_answer carry_out(const table_read &it)
    {
        ++reads;
        platform_answer out{platform_status::done, {}, {}};
        const std::map<std::string, table_row> &from = rows_to_read();
        for (const std::string &key : it.keys) {
            auto row = from.find(key);
            if (row != from.end()) {
                out.rows.push_back(row->second);
            }
        }
        return out;
    }

    platform_answer carry_out(const table_scan &it)
    {
        ++reads;
        platform_answer out{platform_status::done, {}, {}};
        const std::map<std::string, table_row> &from = rows_to_read();
        for (auto row = from.lower_bound(it.prefix);
             row != from.end() && row->first.compare(0, it.prefix.size(), it.prefix) == 0; ++row) {
            out.rows.push_back(row->second);
        }
        return out;
    }

    /// Answers a feed at once, with every row that was written since.
    platform_answer carry_out(const table_feed &it)
    {
        platform_answer out = carry_out(table_scan{it.prefix});
        std::erase_if(out.rows, [&](const table_row &row) {
            auto changed = changed_at.find(row.key);
            return changed == changed_at.end() || changed->second <= it.after;
        });
        out.version = version;
        return out;
    }

    platform_answer carry_out(const table_commit &it)
    {
        ++writes;
        platform_answer out{platform_status::done, {}, {}};
        for (const row_write &write : it.rows) {
            auto row = rows.find(write.key);
            std::uint64_t version = row == rows.end() ? 0 : row->second.version;
            if (version != write.expected_version) {
                out.status = platform_status::conflict;
            }
            if (version != 0) {
                out.rows.push_back(row->second);
            }
        }
        if (out.status == platform_status::conflict) {
            return out;
        }
        out.rows.clear();
        for (const row_write &write : it.rows) {
            table_row &row = rows[write.key];
            row = table_row{write.key, write.expected_version + 1, write.value};
            changed_at[write.key] = ++version;
            out.rows.push_back(row);
        }
        return after_write(std::move(out));
    }

    platform_answer carry_out(const object_get &it)
    {
        ++reads;
        auto found = objects.find(it.name);
        if (found == objects.end()) {
            return {platform_status::missing, {}, {}};
        }
        return {platform_status::done, {}, found->second};
    }

    platform_answer carry_out(const object_put &it)
    {
        ++writes;
        objects[it.name] = it.content;
        return after_write({platform_status::done, {}, {}});
    }

    platform_answer after_write(platform_answer out) const
    {
        if (lose_answers) {
            return {platform_status::lost, {}, {}};
        }
        return out;
    }
};

}  // namespace gullstall::standin

#endif
