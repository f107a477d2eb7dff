#include <doctest/doctest.h>

#include "gullstall/mesh.hpp"
#include "gullstall/src/edge/byte_packer.hpp"
#include "gullstall/src/wire/frame_codec.hpp"

using namespace gullstall;
using edge::byte_packer;
using edge::byte_unpacker;

namespace {

constexpr std::size_t most = 1U << 20U;

/// Both sides of one direction of a connection.
struct packed_stream
{
    byte_packer packer = value_of(edge::make_packer());
    byte_unpacker unpacker = value_of(edge::make_unpacker());

    std::string through(const std::string &bytes)
    {
        result<std::string> out = unpack_bytes(unpacker, pack_bytes(packer, bytes), most);
        return succeeded(out) ? value_of(out) : "unreadable";
    }
};

std::string random_bytes(std::size_t n, std::uint64_t seed)
{
    random_source random(seed);
    std::string out;
    while (out.size() < n) {
        out.push_back(static_cast<char>(random() & 0xffU));
    }
    return out;
}

std::string call_frame(std::uint64_t correlation)
{
    mesh_wire::call_message call;
    call.correlation = correlation;
    call.request_id = std::to_string(hash_text(std::to_string(correlation))) + ".3";
    call.service = "box-status";
    call.caller_service = "photo-desk";
    call.method = "GET";
    call.target = "/maps/" + std::to_string(correlation * 7919);
    call.header_lines = "Host: maps.example\r\nRequest-Id: " + call.request_id +
                        "\r\nUser-Agent: worker\r\nAccept: */*\r\n";
    call.left_us = 690000 + correlation;
    call.sent_us = 1000000000 + 3000 * correlation;
    call.idempotent = true;
    call.inner = true;
    call.route = "route-map";
    return encode_frame_of<mesh_wire::frame>(mesh::mesh_frame(std::move(call)));
}

}  // namespace

TEST_CASE("packed stream, frames of any size, come out as they went in")
{
    packed_stream subject;
    for (std::size_t n : {0U, 1U, 4U, 300U, 16383U, 16384U, 16385U, 70000U}) {
        CAPTURE(n);
        bool same_letters = subject.through(std::string(n, 'a')) == std::string(n, 'a');
        CHECK(same_letters);
        std::string noise = random_bytes(n, n);
        bool same_noise = subject.through(noise) == noise;
        CHECK(same_noise);
    }
    std::string end_of_flush("\x00\x00\xff\xff", 4);
    bool same_end = subject.through(end_of_flush) == end_of_flush;
    CHECK(same_end);
}

// Story: bytes between availability zones are paid for, and most are names that
// stand in every call. Packed one call at a time, as under little load, calls
// between two nodes take 323 bytes before and 57 after.
TEST_CASE("packed stream, calls of one route, take a quarter of their bytes")
{
    packed_stream subject;
    std::size_t plain = 0;
    std::size_t packed = 0;
    for (std::uint64_t i = 1; i <= 200; ++i) {
        std::string frame = call_frame(i);
        plain += frame.size();
        packed += pack_bytes(subject.packer, frame).size();
    }
    MESSAGE("bytes of a call: " << plain / 200 << " before, " << packed / 200 << " after");
    CHECK(packed * 4 < plain);
}

TEST_CASE("packed stream, bytes that no packer made, are refused")
{
    packed_stream subject;
    CHECK_FALSE(succeeded(unpack_bytes(subject.unpacker, random_bytes(500, 3), most)));
}

// Story: a peer sends a few bytes that unpack to gigabytes, and the instance
// has memory for neither.
TEST_CASE("packed stream, more than allowed, is refused")
{
    packed_stream subject;
    std::string packed = pack_bytes(subject.packer, std::string(2 * most, 'a'));
    CHECK(packed.size() < most / 50);
    result<std::string> read = unpack_bytes(subject.unpacker, packed, most);
    REQUIRE_FALSE(succeeded(read));
    CHECK(error_of(read).code == error_code::too_large);
}
