#ifndef GULLSTALL_SETTINGS_SECTION_READER_HPP
#define GULLSTALL_SETTINGS_SECTION_READER_HPP

#include <flatbuffers/flatbuffers.h>
#include <flatbuffers/minireflect.h>

#include <cstdint>
#include <limits>
#include <span>
#include <string_view>

#include "gullstall/src/settings/ini.hpp"

namespace gullstall {

/// What is allowed for a key beyond its type. A key without a rule is optional.
struct field_rule
{
    std::string_view key;
    bool required = false;
    double min = 0;
    double max = std::numeric_limits<double>::infinity();
};

namespace internal {

/// Writes the entries of \a section as a table of \a type into \a builder.
result<done> build_section(flatbuffers::FlatBufferBuilder &builder,
                           const flatbuffers::TypeTable &type, const ini_document &document,
                           const ini_section &section, std::span<const field_rule> rules);

}  // namespace internal

/// Reads \a section into the value type generated for the schema's \a Table.
/// Keys and types come from the schema's reflection data.
/// \returns the values, or an error with file, line, key, what was found and
/// what is allowed
template <class Table>
result<typename Table::NativeTableType> read_section(const ini_document &document,
                                                     const ini_section &section,
                                                     std::span<const field_rule> rules)
{
    flatbuffers::FlatBufferBuilder builder;
    result<done> built =
        internal::build_section(builder, *Table::MiniReflectTypeTable(), document, section, rules);
    if (!succeeded(built)) {
        return error_of(built);
    }
    typename Table::NativeTableType values;
    flatbuffers::GetRoot<Table>(builder.GetBufferPointer())->UnPackTo(&values);
    return values;
}

/// Reads the section \a kind, when there is one, into \a values.
/// \returns an error when the section is bad, or lacks and holds a required key
template <class Table>
result<done> load_section(const ini_document &document, const std::string &kind,
                          std::span<const field_rule> rules,
                          typename Table::NativeTableType &values)
{
    for (const ini_section &section : document.sections) {
        if (section.kind != kind) {
            continue;
        }
        result<typename Table::NativeTableType> read =
            read_section<Table>(document, section, rules);
        if (!succeeded(read)) {
            return error_of(read);
        }
        values = value_of(std::move(read));
        return done{};
    }
    for (const field_rule &rule : rules) {
        if (rule.required) {
            return error{error_code::missing, document.name + ": lacks the section [" + kind + "]"};
        }
    }
    return done{};
}

}  // namespace gullstall

#endif
