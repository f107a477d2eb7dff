#include "gullstall/src/membership/member.hpp"

#include <tuple>

namespace gullstall {

std::string encode_member(const member &it)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(wire::member::Pack(builder, &it));
    return std::string(reinterpret_cast<const char *>(builder.GetBufferPointer()),
                       builder.GetSize());
}

result<member> decode_member(std::string_view bytes)
{
    const auto *data = reinterpret_cast<const std::uint8_t *>(bytes.data());
    flatbuffers::Verifier verifier(data, bytes.size());
    if (!verifier.VerifyBuffer<wire::member>(nullptr)) {
        return error{error_code::bad_syntax, "member row: does not pass the verifier"};
    }
    member out;
    flatbuffers::GetRoot<wire::member>(data)->UnPackTo(&out);
    return out;
}

bool is_newer(const member &a, const member &b)
{
    return std::tie(a.incarnation, a.version, a.state) >
           std::tie(b.incarnation, b.version, b.state);
}

}  // namespace gullstall
