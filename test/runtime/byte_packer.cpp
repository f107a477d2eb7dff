#include <doctest/doctest.h>

#include "gullstall/mesh.hpp"
#include "gullstall/src/edge/byte_packer.hpp"
#include "gullstall/src/wire/frame_codec.hpp"

using namespace gullstall;
using edge::frame_compressor;
using edge::frame_decompressor;

namespace {

constexpr std::size_t max_bytes = 1U << 20U;

/// The compressor and decompressor of one direction of a connection.
struct compressed_stream
{
    frame_compressor compressor = value_of(edge::make_compressor());
    frame_decompressor decompressor = value_of(edge::make_decompressor());

    std::string round_trip(const std::string &bytes)
    {
        result<std::string> out =
            decompress_bytes(decompressor, compress_bytes(compressor, bytes), max_bytes);
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

TEST_CASE("compressed stream, frames of any size, round-trip unchanged")
{
    compressed_stream subject;
    for (std::size_t n : {0U, 1U, 4U, 300U, 16383U, 16384U, 16385U, 70000U}) {
        CAPTURE(n);
        bool same_run = subject.round_trip(std::string(n, 'a')) == std::string(n, 'a');
        CHECK(same_run);
        std::string noise = random_bytes(n, n);
        bool same_noise = subject.round_trip(noise) == noise;
        CHECK(same_noise);
    }
    std::string flush_trailer("\x00\x00\xff\xff", 4);
    bool same_trailer = subject.round_trip(flush_trailer) == flush_trailer;
    CHECK(same_trailer);
}

// Traffic between availability zones is billed, and most bytes of a call are names
// that repeat in every call. Compressed one at a time, as under low load, calls
// between two nodes shrink from 323 to 57 bytes.
TEST_CASE("compressed stream, calls of one route, shrink to a quarter")
{
    compressed_stream subject;
    std::size_t plain = 0;
    std::size_t compressed = 0;
    for (std::uint64_t i = 1; i <= 200; ++i) {
        std::string frame = call_frame(i);
        plain += frame.size();
        compressed += compress_bytes(subject.compressor, frame).size();
    }
    MESSAGE("bytes of a call: " << plain / 200 << " before, " << compressed / 200 << " after");
    CHECK(compressed * 4 < plain);
}

TEST_CASE("compressed stream, invalid data, is rejected")
{
    compressed_stream subject;
    CHECK_FALSE(succeeded(decompress_bytes(subject.decompressor, random_bytes(500, 3), max_bytes)));
}

// Guards against decompression bombs: a few bytes from a peer that decompress to
// gigabytes would exhaust the memory of the instance.
TEST_CASE("compressed stream, output over the limit, is rejected")
{
    compressed_stream subject;
    std::string compressed = compress_bytes(subject.compressor, std::string(2 * max_bytes, 'a'));
    CHECK(compressed.size() < max_bytes / 50);
    result<std::string> read = decompress_bytes(subject.decompressor, compressed, max_bytes);
    REQUIRE_FALSE(succeeded(read));
    CHECK(error_of(read).code == error_code::too_large);
}
