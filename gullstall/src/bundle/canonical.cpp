#include "gullstall/src/bundle/canonical.hpp"

#include <algorithm>
#include <tuple>

#include "gullstall/src/settings/ini.hpp"

namespace gullstall {

namespace {

constexpr std::string_view first_kind = "bundle";

bool stands_before(const ini_section &a, const ini_section &b)
{
    return std::make_tuple(a.kind != first_kind, a.kind, a.words) <
           std::make_tuple(b.kind != first_kind, b.kind, b.words);
}

std::string print_section(const ini_section &it)
{
    std::string out = "[" + it.kind;
    for (const std::string &word : it.words) {
        out += " " + word;
    }
    out += "]\n";
    for (const ini_entry &entry : it.entries) {
        out += entry.key + " = " + entry.value + "\n";
    }
    return out;
}

}  // namespace

result<std::string> canonical_text(const std::string &name, std::string_view text)
{
    result<ini_document> parsed = parse_ini(name, text);
    if (!succeeded(parsed)) {
        return error_of(parsed);
    }
    std::vector<ini_section> sections = value_of(std::move(parsed)).sections;
    std::sort(sections.begin(), sections.end(), stands_before);
    std::string out;
    for (ini_section &it : sections) {
        std::sort(it.entries.begin(), it.entries.end(),
                  [](const ini_entry &a, const ini_entry &b) { return a.key < b.key; });
        out += (out.empty() ? "" : "\n") + print_section(it);
    }
    return out;
}

}  // namespace gullstall
