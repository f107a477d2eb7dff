#include "gullstall/src/bundle/bundle.hpp"

#include <array>

#include "gullstall/src/settings/section_reader.hpp"

namespace gullstall {

namespace {

constexpr std::array head_rules{field_rule{"version", true, 1}, field_rule{"previous", true},
                                field_rule{"author", true}, field_rule{"reference", true},
                                field_rule{"signers_required", false, 1, 8}};
constexpr std::array limits_rules{field_rule{"retry_allowance", false, 0, 64},
                                  field_rule{"retry_budget_percent", false, 0, 100},
                                  field_rule{"default_time_ms", false, 1, 600000},
                                  field_rule{"key_memory_ms", false, 1000, 86400000}};
constexpr std::array class_rules{field_rule{"priority", true, 0, lowest_priority},
                                 field_rule{"protect", false}};
constexpr std::array call_rules{field_rule{"class_name", true}, field_rule{"non_idempotent", false},
                                field_rule{"time_ms", false, 0, 600000}};

result<done> check_words(const ini_document &document, const ini_section &section,
                         std::size_t expected)
{
    if (section.words.size() == expected) {
        return done{};
    }
    return ini_error(error_code::bad_syntax, document.name, section.line,
                     "section [" + section.kind + "] takes " + std::to_string(expected) +
                         " names, found " + std::to_string(section.words.size()));
}

template <class Table>
result<done> read_into(const ini_document &document, const ini_section &section, std::size_t words,
                       std::span<const field_rule> rules, typename Table::NativeTableType &values)
{
    result<done> checked = check_words(document, section, words);
    if (!succeeded(checked)) {
        return checked;
    }
    auto read = read_section<Table>(document, section, rules);
    if (!succeeded(read)) {
        return error_of(read);
    }
    values = value_of(std::move(read));
    return done{};
}

result<done> add_section(bundle &out, const ini_document &document, const ini_section &section)
{
    if (section.kind == "bundle") {
        return read_into<bundle_schema::head_section>(document, section, 0, head_rules, out.head);
    }
    if (section.kind == "limits") {
        return read_into<bundle_schema::limits_section>(document, section, 0, limits_rules,
                                                        out.limits);
    }
    if (section.kind == "class") {
        bundle_schema::class_section_values values;
        auto read =
            read_into<bundle_schema::class_section>(document, section, 1, class_rules, values);
        if (succeeded(read)) {
            out.classes[section.words[0]] = values;
        }
        return read;
    }
    if (section.kind == "call") {
        bundle_schema::call_section_values values;
        auto read =
            read_into<bundle_schema::call_section>(document, section, 2, call_rules, values);
        if (succeeded(read)) {
            out.calls[call_type{section.words[0], section.words[1]}] = values;
        }
        return read;
    }
    return ini_error(error_code::unknown_name, document.name, section.line,
                     "found unknown section [" + section.kind +
                         "], allowed are bundle, limits, class NAME, call SERVICE OPERATION");
}

result<done> check_classes(const bundle &it, const std::string &name)
{
    for (const auto &[type, call] : it.calls) {
        if (it.classes.count(call.class_name) == 0) {
            return error{error_code::unknown_name, name + ": [call " + type.service + " " +
                                                       type.operation + "] names the class '" +
                                                       call.class_name +
                                                       "', which no section defines"};
        }
    }
    return done{};
}

}  // namespace

result<bundle> parse_bundle(const std::string &name, std::string_view text)
{
    if (text.size() > max_bundle_bytes) {
        return error{error_code::too_large, name + ": found " + std::to_string(text.size()) +
                                                " bytes, allowed are " +
                                                std::to_string(max_bundle_bytes)};
    }
    result<ini_document> document = parse_ini(name, text);
    if (!succeeded(document)) {
        return error_of(document);
    }
    bundle out;
    for (const ini_section &section : value_of(document).sections) {
        result<done> added = add_section(out, value_of(document), section);
        if (!succeeded(added)) {
            return error_of(added);
        }
    }
    if (out.head.version == 0) {
        return error{error_code::missing, name + ": lacks the section [bundle]"};
    }
    result<done> checked = check_classes(out, name);
    if (!succeeded(checked)) {
        return error_of(checked);
    }
    return out;
}

call_policy policy_for(const bundle &it, const std::string &service, const std::string &operation)
{
    auto call = it.calls.find(call_type{service, operation});
    if (call == it.calls.end()) {
        return call_policy{"", lowest_priority, false, false, it.limits.default_time_ms};
    }
    const bundle_schema::class_section_values &cls = it.classes.at(call->second.class_name);
    std::uint32_t time_ms =
        call->second.time_ms == 0 ? it.limits.default_time_ms : call->second.time_ms;
    return call_policy{call->second.class_name, cls.priority, cls.protect,
                       call->second.non_idempotent, time_ms};
}

}  // namespace gullstall
