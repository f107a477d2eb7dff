/// Writes the first inputs of the fuzz targets: one frame of each kind.
/// usage: seeds FOLDER

#include <fstream>

#include "gullstall/wire.hpp"

namespace {

template <class Message>
void write_seed(const std::string &folder, const std::string &name, Message message)
{
    gullstall::wire::frame_message frame;
    frame.sender = "boxwatch-1";
    frame.payload.Set(std::move(message));
    std::string bytes = gullstall::encode_frame(frame).substr(gullstall::frame_prefix_bytes);
    std::ofstream(folder + "/" + name, std::ios::binary) << bytes;
}

}  // namespace

int main(int argc, char **argv)
{
    namespace wire = gullstall::wire;
    if (argc != 2) {
        return 2;
    }
    const std::string folder = argv[1];
    wire::call_message call;
    call.request_id = "r1";
    call.service = "boxwatch";
    call.body = {1, 2, 3};
    write_seed(folder, "call", std::move(call));
    wire::reply_message reply;
    reply.touched = {"boxwatch"};
    reply.levels = {2047};
    reply.body = {1, 2, 3};
    write_seed(folder, "reply", std::move(reply));
    write_seed(folder, "cancel", wire::cancel_message{});
    wire::gossip_message gossip;
    gossip.members.push_back(std::make_unique<wire::member_message>());
    write_seed(folder, "gossip", std::move(gossip));
    return 0;
}
