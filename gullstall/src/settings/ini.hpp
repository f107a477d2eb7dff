#ifndef GULLSTALL_SETTINGS_INI_HPP
#define GULLSTALL_SETTINGS_INI_HPP

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "gullstall/src/core/result.hpp"

namespace gullstall {

/// One `key = value` line.
struct ini_entry
{
    std::string key;
    std::string value;
    int line;

    bool operator==(const ini_entry &) const = default;
};

/// One `[kind words...]` section with its entries.
struct ini_section
{
    std::string kind;
    std::vector<std::string> words;  ///< what follows the kind in the brackets
    int line;
    std::vector<ini_entry> entries;

    bool operator==(const ini_section &) const = default;
};

/// Text of an INI document with the name under which errors speak of it.
struct ini_document
{
    std::string name;
    std::vector<ini_section> sections;

    bool operator==(const ini_document &) const = default;
};

/// Reads INI text: sections, `key = value` lines, comments after `#` or `;` at
/// the start of a line.
/// \returns the document, or an error with file, line and what was found:
/// bad_syntax, or duplicate for a key or section that stands twice
result<ini_document> parse_ini(std::string name, std::string_view text);

/// \returns an error at \a line of \a document
error ini_error(error_code code, const std::string &document, int line, const std::string &what);

/// \returns the error \a e, told of the line of \a key in section \a kind
error at_key(const ini_document &document, const std::string &kind, const std::string &key,
             const error &e);

/// \returns an error for a section whose kind is not one of \a known
result<done> check_sections(const ini_document &document, std::span<const std::string_view> known);

}  // namespace gullstall

#endif
