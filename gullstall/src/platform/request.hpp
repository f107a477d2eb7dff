#ifndef GULLSTALL_PLATFORM_REQUEST_HPP
#define GULLSTALL_PLATFORM_REQUEST_HPP

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace gullstall {

/// Row of the platform's table as it was read.
struct table_row
{
    std::string key;
    std::uint64_t version;  ///< rises with every write of the row, 0: no such row
    std::string value;
    bool removed = false;  ///< in a feed: the row is there no more

    bool operator==(const table_row &) const = default;
};

/// Reads the rows of \a keys; missing ones are left out of the answer.
struct table_read
{
    std::vector<std::string> keys;

    bool operator==(const table_read &) const = default;
};

/// Reads all rows whose key begins with \a prefix.
struct table_scan
{
    std::string prefix;

    bool operator==(const table_scan &) const = default;
};

/// Waits for changes of rows whose key begins with \a prefix, and reads them in
/// the order in which they were made.
struct table_feed
{
    std::string prefix;
    std::uint64_t after;    ///< version of the answer to go on from
    std::uint32_t wait_ms;  ///< without changes the answer comes after this time
    /// Time beyond that in which the answer has to come; 0: the adapter's own
    std::uint32_t margin_ms = 0;

    bool operator==(const table_feed &) const = default;
};

/// Conditional write of one row.
struct row_write
{
    std::string key;
    std::uint64_t expected_version;  ///< 0: the row must not exist
    std::string value;

    bool operator==(const row_write &) const = default;
};

/// Writes all \a rows or none.
struct table_commit
{
    std::vector<row_write> rows;

    bool operator==(const table_commit &) const = default;
};

/// Reads an object.
struct object_get
{
    std::string name;

    bool operator==(const object_get &) const = default;
};

/// Writes an object.
struct object_put
{
    std::string name;
    std::string content;

    bool operator==(const object_put &) const = default;
};

/// All that is asked of the platform. An adapter to another table service or
/// object store carries out just these.
using platform_request =
    std::variant<table_read, table_scan, table_feed, table_commit, object_get, object_put>;

/// What became of a request.
enum class platform_status
{
    done,
    conflict,      ///< a row was not at its expected version; nothing was written
    missing,       ///< no such object
    unavailable,   ///< certainly not carried out
    throttled,     ///< certainly not carried out, because too much is asked
    history_gone,  ///< a feed asks for changes that are not kept any more
    lost           ///< no answer came: a write may have taken effect
};

/// Answer to a request. On a conflict \a rows holds the rows as they stand.
struct platform_answer
{
    platform_status status;
    std::vector<table_row> rows;
    std::string content;
    std::uint64_t version = 0;  ///< of the whole store: where a feed goes on
    bool has_more = false;      ///< a scan found more rows than one answer holds
    std::uint64_t now_ms = 0;   ///< the store's steady clock, milliseconds; 0: not told
    std::string failure{};      ///< why no whole answer came, empty if one came

    bool operator==(const platform_answer &) const = default;
};

}  // namespace gullstall

#endif
