#include "gullstall/src/settings/ini.hpp"

#include <algorithm>
#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/join.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>

namespace gullstall {

namespace {

result<ini_section> parse_header(const std::string &name, const std::string &text, int line)
{
    if (text.back() != ']') {
        return ini_error(error_code::bad_syntax, name, line,
                         "found '" + text + "', expected a section as [name]");
    }
    std::string inner = boost::algorithm::trim_copy(text.substr(1, text.size() - 2));
    if (inner.empty()) {
        return ini_error(error_code::bad_syntax, name, line, "found a section without a name");
    }
    std::vector<std::string> words;
    boost::algorithm::split(words, inner, boost::algorithm::is_any_of(" \t"),
                            boost::algorithm::token_compress_on);
    std::string kind = words.front();
    words.erase(words.begin());
    return ini_section{kind, words, line, {}};
}

result<ini_entry> parse_entry(const std::string &name, const std::string &text, int line)
{
    std::size_t equals = text.find('=');
    if (equals == std::string::npos) {
        return ini_error(error_code::bad_syntax, name, line,
                         "found '" + text + "', expected key = value");
    }
    std::string key = boost::algorithm::trim_copy(text.substr(0, equals));
    if (key.empty()) {
        return ini_error(error_code::bad_syntax, name, line, "found a value without a key");
    }
    return ini_entry{key, boost::algorithm::trim_copy(text.substr(equals + 1)), line};
}

bool has_key(const ini_section &section, const std::string &key)
{
    return std::any_of(section.entries.begin(), section.entries.end(),
                       [&](const ini_entry &it) { return it.key == key; });
}

bool has_section(const ini_document &document, const ini_section &section)
{
    return std::any_of(document.sections.begin(), document.sections.end(),
                       [&](const ini_section &it) {
                           return it.kind == section.kind && it.words == section.words;
                       });
}

result<done> add_header(ini_document &document, const std::string &text, int line)
{
    result<ini_section> section = parse_header(document.name, text, line);
    if (!succeeded(section)) {
        return error_of(section);
    }
    if (has_section(document, value_of(section))) {
        return ini_error(error_code::duplicate, document.name, line,
                         "section " + text + " stands twice");
    }
    document.sections.push_back(value_of(std::move(section)));
    return done{};
}

result<done> add_entry(ini_document &document, const std::string &text, int line)
{
    result<ini_entry> entry = parse_entry(document.name, text, line);
    if (!succeeded(entry)) {
        return error_of(entry);
    }
    if (document.sections.empty()) {
        return ini_error(error_code::bad_syntax, document.name, line,
                         "key '" + value_of(entry).key + "' stands before the first section");
    }
    ini_section &section = document.sections.back();
    if (has_key(section, value_of(entry).key)) {
        return ini_error(error_code::duplicate, document.name, line,
                         "key '" + value_of(entry).key + "' stands twice in its section");
    }
    section.entries.push_back(value_of(std::move(entry)));
    return done{};
}

}  // namespace

error ini_error(error_code code, const std::string &document, int line, const std::string &what)
{
    return error{code, document + ":" + std::to_string(line) + ": " + what};
}

result<ini_document> parse_ini(std::string name, std::string_view text)
{
    ini_document document{std::move(name), {}};
    std::vector<std::string> lines;
    boost::algorithm::split(lines, text, boost::algorithm::is_any_of("\n"));
    int line = 0;
    for (const std::string &raw : lines) {
        ++line;
        std::string it = boost::algorithm::trim_copy(raw);
        if (it.empty() || it.front() == '#' || it.front() == ';') {
            continue;
        }
        result<done> added =
            it.front() == '[' ? add_header(document, it, line) : add_entry(document, it, line);
        if (!succeeded(added)) {
            return error_of(added);
        }
    }
    return document;
}

namespace {

int line_of(const ini_document &document, std::string_view kind, std::string_view key)
{
    for (const ini_section &section : document.sections) {
        for (const ini_entry &it : section.entries) {
            if (section.kind == kind && it.key == key) {
                return it.line;
            }
        }
    }
    return 0;
}

}  // namespace

error at_key(const ini_document &document, const std::string &kind, const std::string &key,
             const error &e)
{
    return ini_error(e.code, document.name, line_of(document, kind, key),
                     "key '" + key + "': " + e.message);
}

result<done> check_sections(const ini_document &document, std::span<const std::string_view> known)
{
    std::vector<std::string> names(known.begin(), known.end());
    for (const ini_section &it : document.sections) {
        bool found = std::find(known.begin(), known.end(), it.kind) != known.end();
        if (!found || !it.words.empty()) {
            return ini_error(error_code::unknown_name, document.name, it.line,
                             "found unknown section [" + it.kind +
                                 (it.words.empty() ? "" : " " + it.words.front()) +
                                 "], allowed are " + boost::algorithm::join(names, ", "));
        }
    }
    return done{};
}

}  // namespace gullstall
