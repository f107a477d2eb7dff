#include "gullstall/src/membership/contact_rows.hpp"

#include "gullstall/src/core/hash.hpp"

namespace gullstall {

std::string contact_row_key(const std::string &zone, std::size_t slot)
{
    return member_row_prefix + zone + "/" + std::to_string(slot);
}

std::string encode_contacts(const std::vector<member> &members)
{
    wire::gossip_message out;
    for (const member &it : members) {
        out.members.push_back(std::make_unique<member>(it));
    }
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(wire::gossip::Pack(builder, &out));
    return std::string(reinterpret_cast<const char *>(builder.GetBufferPointer()),
                       builder.GetSize());
}

result<std::vector<member>> decode_contacts(std::string_view bytes)
{
    const auto *data = reinterpret_cast<const std::uint8_t *>(bytes.data());
    flatbuffers::Verifier verifier(data, bytes.size());
    if (!verifier.VerifyBuffer<wire::gossip>(nullptr)) {
        return error{error_code::bad_syntax, "contact row: does not pass the verifier"};
    }
    wire::gossip_message read;
    flatbuffers::GetRoot<wire::gossip>(data)->UnPackTo(&read);
    std::vector<member> out;
    for (const auto &it : read.members) {
        out.push_back(*it);
    }
    return out;
}

std::optional<std::size_t> turn_of(const member_table &view, const std::string &self,
                                   std::uint64_t term)
{
    const std::string &zone = view.members.at(self).zone;
    const std::string suffix = "@" + std::to_string(term);
    std::uint64_t own = hash_text(self + suffix);
    std::size_t before = 0;
    for (const auto &[instance, known] : view.members) {
        bool counts = known.zone == zone && known.state != wire::member_state::dead;
        if (counts && instance != self && hash_text(instance + suffix) < own) {
            ++before;
        }
    }
    if (before >= contact_rows_per_zone) {
        return std::nullopt;
    }
    return before;
}

}  // namespace gullstall
