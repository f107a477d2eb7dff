#include "gullstall/src/settings/section_reader.hpp"

#include <algorithm>
#include <boost/lexical_cast/try_lexical_convert.hpp>
#include <cmath>
#include <iomanip>
#include <map>
#include <optional>
#include <sstream>

namespace gullstall::internal {

namespace {

field_rule rule_for(std::span<const field_rule> rules, std::string_view key)
{
    auto it = std::find_if(rules.begin(), rules.end(),
                           [&](const field_rule &rule) { return rule.key == key; });
    return it == rules.end() ? field_rule{key} : *it;
}

double type_limit(flatbuffers::ElementaryType type)
{
    switch (type) {
        case flatbuffers::ET_UCHAR:
            return std::numeric_limits<std::uint8_t>::max();
        case flatbuffers::ET_USHORT:
            return std::numeric_limits<std::uint16_t>::max();
        case flatbuffers::ET_UINT:
            return std::numeric_limits<std::uint32_t>::max();
        default:
            return std::numeric_limits<double>::infinity();
    }
}

std::optional<std::size_t> field_index(const flatbuffers::TypeTable &type, const std::string &key)
{
    for (std::size_t i = 0; i < type.num_elems; ++i) {
        if (key == type.names[i]) {
            return i;
        }
    }
    return std::nullopt;
}

std::string allowed_keys(const flatbuffers::TypeTable &type)
{
    std::string out;
    for (std::size_t i = 0; i < type.num_elems; ++i) {
        out += (i == 0 ? "" : ", ") + std::string(type.names[i]);
    }
    return out;
}

error wrong_type(const ini_document &document, const ini_entry &entry, const char *expected)
{
    return ini_error(error_code::wrong_type, document.name, entry.line,
                     "key '" + entry.key + "': found '" + entry.value + "', expected " + expected);
}

/// \returns the limit without trailing zeros
std::string print_limit(double limit)
{
    std::ostringstream out;
    if (std::isinf(limit)) {
        out << std::numeric_limits<std::uint64_t>::max();
    } else {
        out << std::setprecision(std::numeric_limits<double>::digits10) << limit;
    }
    return out.str();
}

error out_of_range(const ini_document &document, const ini_entry &entry, double min, double max)
{
    return ini_error(error_code::out_of_range, document.name, entry.line,
                     "key '" + entry.key + "': found " + entry.value + ", allowed " +
                         print_limit(min) + " to " + print_limit(max));
}

result<std::uint64_t> read_number(const ini_document &document, const ini_entry &entry,
                                  flatbuffers::ElementaryType type, const field_rule &rule)
{
    std::uint64_t n = 0;
    bool digits =
        !entry.value.empty() && std::all_of(entry.value.begin(), entry.value.end(),
                                            [](unsigned char c) { return c >= '0' && c <= '9'; });
    if (!digits) {
        return wrong_type(document, entry, "a whole number");
    }
    double max = std::min(rule.max, type_limit(type));
    bool converted = boost::conversion::try_lexical_convert(entry.value, n);
    auto value = static_cast<double>(n);
    if (!converted || value < rule.min || value > max) {
        return out_of_range(document, entry, rule.min, max);
    }
    return n;
}

result<double> read_decimal(const ini_document &document, const ini_entry &entry,
                            const field_rule &rule)
{
    double n = 0;
    if (!boost::conversion::try_lexical_convert(entry.value, n) || !std::isfinite(n)) {
        return wrong_type(document, entry, "a number");
    }
    if (n < rule.min || n > rule.max) {
        return out_of_range(document, entry, rule.min, rule.max);
    }
    return n;
}

result<std::uint64_t> read_bool(const ini_document &document, const ini_entry &entry)
{
    if (entry.value == "true") {
        return std::uint64_t{1};
    }
    if (entry.value == "false") {
        return std::uint64_t{0};
    }
    return wrong_type(document, entry, "true or false");
}

void add_number(flatbuffers::FlatBufferBuilder &builder, flatbuffers::ElementaryType type,
                flatbuffers::voffset_t field, std::uint64_t n)
{
    switch (type) {
        case flatbuffers::ET_BOOL:
        case flatbuffers::ET_UCHAR:
            builder.AddElement<std::uint8_t>(field, static_cast<std::uint8_t>(n), 0);
            break;
        case flatbuffers::ET_USHORT:
            builder.AddElement<std::uint16_t>(field, static_cast<std::uint16_t>(n), 0);
            break;
        case flatbuffers::ET_UINT:
            builder.AddElement<std::uint32_t>(field, static_cast<std::uint32_t>(n), 0);
            break;
        default:
            builder.AddElement<std::uint64_t>(field, n, 0);
            break;
    }
}

result<done> check_required(const ini_document &document, const ini_section &section,
                            std::span<const field_rule> rules)
{
    for (const field_rule &rule : rules) {
        bool present = std::any_of(section.entries.begin(), section.entries.end(),
                                   [&](const ini_entry &it) { return it.key == rule.key; });
        if (rule.required && !present) {
            return ini_error(
                error_code::missing, document.name, section.line,
                "section [" + section.kind + "] lacks the key '" + std::string(rule.key) + "'");
        }
    }
    return done{};
}

struct section_fields
{
    std::map<std::size_t, std::uint64_t> numbers;
    std::map<std::size_t, double> decimals;
    std::map<std::size_t, flatbuffers::Offset<flatbuffers::String>> strings;
};

result<done> read_entry(flatbuffers::FlatBufferBuilder &builder, section_fields &fields,
                        const flatbuffers::TypeTable &type, const ini_document &document,
                        const ini_entry &entry, std::span<const field_rule> rules)
{
    std::optional<std::size_t> i = field_index(type, entry.key);
    if (!i) {
        return ini_error(
            error_code::unknown_name, document.name, entry.line,
            "found unknown key '" + entry.key + "', allowed are " + allowed_keys(type));
    }
    auto kind = static_cast<flatbuffers::ElementaryType>(type.type_codes[*i].base_type);
    field_rule rule = rule_for(rules, entry.key);
    if (kind == flatbuffers::ET_STRING) {
        if (rule.required && entry.value.empty()) {
            return ini_error(error_code::missing, document.name, entry.line,
                             "key '" + entry.key + "' is empty");
        }
        fields.strings[*i] = builder.CreateString(entry.value);
        return done{};
    }
    if (kind == flatbuffers::ET_DOUBLE) {
        result<double> decimal = read_decimal(document, entry, rule);
        if (!succeeded(decimal)) {
            return error_of(decimal);
        }
        fields.decimals[*i] = value_of(decimal);
        return done{};
    }
    result<std::uint64_t> n = kind == flatbuffers::ET_BOOL
                                  ? read_bool(document, entry)
                                  : read_number(document, entry, kind, rule);
    if (!succeeded(n)) {
        return error_of(n);
    }
    fields.numbers[*i] = value_of(n);
    return done{};
}

}  // namespace

result<done> build_section(flatbuffers::FlatBufferBuilder &builder,
                           const flatbuffers::TypeTable &type, const ini_document &document,
                           const ini_section &section, std::span<const field_rule> rules)
{
    result<done> required = check_required(document, section, rules);
    if (!succeeded(required)) {
        return required;
    }
    section_fields fields;
    for (const ini_entry &entry : section.entries) {
        result<done> read = read_entry(builder, fields, type, document, entry, rules);
        if (!succeeded(read)) {
            return read;
        }
    }
    builder.ForceDefaults(true);
    flatbuffers::uoffset_t start = builder.StartTable();
    for (auto [i, n] : fields.numbers) {
        auto kind = static_cast<flatbuffers::ElementaryType>(type.type_codes[i].base_type);
        add_number(builder, kind, flatbuffers::FieldIndexToOffset(static_cast<std::uint16_t>(i)),
                   n);
    }
    for (auto [i, n] : fields.decimals) {
        builder.AddElement<double>(flatbuffers::FieldIndexToOffset(static_cast<std::uint16_t>(i)),
                                   n, 0);
    }
    for (auto [i, text] : fields.strings) {
        builder.AddOffset(flatbuffers::FieldIndexToOffset(static_cast<std::uint16_t>(i)), text);
    }
    builder.Finish(flatbuffers::Offset<flatbuffers::Table>(builder.EndTable(start)));
    return done{};
}

}  // namespace gullstall::internal
