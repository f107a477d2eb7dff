#include "gullstall/src/bundle/diff.hpp"

#include <map>
#include <utility>

#include "gullstall/src/settings/ini.hpp"

namespace gullstall {

namespace {

using key_name = std::pair<std::string, std::string>;
using values_by_key = std::map<key_name, std::string>;

result<values_by_key> read_values(const std::string &name, std::string_view text)
{
    result<ini_document> parsed = parse_ini(name, text);
    if (!succeeded(parsed)) {
        return error_of(parsed);
    }
    values_by_key out;
    for (const ini_section &section : value_of(parsed).sections) {
        std::string title = section.kind;
        for (const std::string &word : section.words) {
            title += " " + word;
        }
        for (const ini_entry &entry : section.entries) {
            out[{title, entry.key}] = entry.value;
        }
    }
    return out;
}

std::string value_at(const values_by_key &values, const key_name &key)
{
    auto it = values.find(key);
    return it == values.end() ? std::string() : it->second;
}

std::string or_none(const std::string &value)
{
    return value.empty() ? "(not set)" : value;
}

}  // namespace

result<std::vector<bundle_difference>> diff_bundles(std::string_view before, std::string_view after)
{
    result<values_by_key> a = read_values("before", before);
    result<values_by_key> b = read_values("after", after);
    if (!succeeded(a) || !succeeded(b)) {
        return error_of(succeeded(a) ? b : a);
    }
    values_by_key keys = value_of(a);
    keys.insert(value_of(b).begin(), value_of(b).end());
    std::vector<bundle_difference> out;
    for (const auto &[key, value] : keys) {
        bundle_difference it{key.first, key.second, value_at(value_of(a), key),
                             value_at(value_of(b), key)};
        if (it.before != it.after) {
            out.push_back(std::move(it));
        }
    }
    return out;
}

std::string print_difference(const bundle_difference &it)
{
    return "[" + it.section + "] " + it.key + ": " + or_none(it.before) + " -> " +
           or_none(it.after);
}

}  // namespace gullstall
