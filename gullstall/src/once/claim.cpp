#include "gullstall/src/once/claim.hpp"

#include "gullstall/src/bundle/signature.hpp"

namespace gullstall {

std::string encode_claim(const claim_row &it)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(wire::claim_row::Pack(builder, &it));
    return std::string(reinterpret_cast<const char *>(builder.GetBufferPointer()),
                       builder.GetSize());
}

result<claim_row> decode_claim(std::string_view bytes)
{
    const auto *data = reinterpret_cast<const std::uint8_t *>(bytes.data());
    flatbuffers::Verifier verifier(data, bytes.size());
    if (!verifier.VerifyBuffer<wire::claim_row>(nullptr)) {
        return error{error_code::bad_syntax, "claim: does not pass the verifier"};
    }
    claim_row out;
    flatbuffers::GetRoot<wire::claim_row>(data)->UnPackTo(&out);
    return out;
}

std::string digest_of_request(const std::string &service, const std::string &operation,
                              const std::vector<std::uint8_t> &body)
{
    std::string text = service + "/" + operation + "\n";
    text.append(body.begin(), body.end());
    return digest_of(text);
}

}  // namespace gullstall
