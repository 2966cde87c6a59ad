#include "configuration/peerbridge.h"

#include "supervision/logvalue.h"
#include "wire/tablescodec.h"

#include <boost/leaf/handle_errors.hpp>

#include <spdlog/spdlog.h>

namespace shallotwalk {

namespace {

constexpr std::string_view proxyRole = "proxy";

} // namespace

PeerBridge::PeerBridge(caf::actor_config &config, caf::actor configuration, caf::actor peers,
                       caf::actor vmList)
    : caf::event_based_actor(config)
    , configuration_(std::move(configuration))
    , peers_(std::move(peers))
    , vmList_(std::move(vmList))
{
}

caf::behavior PeerBridge::make_behavior()
{
    send(vmList_, SubscribeVmList{this});
    return {
        [this](const PeerHeadRequest &message) { sendToPeer(message.vm, HeadRequest{}); },
        [this](const PeerHead &message) {
            sendToPeer(message.vm, Head{message.head.version,
                                        message.ready ? encodeHead(message.head) : std::string()});
        },
        [this](const PeerPartRequest &message) {
            sendToPeer(message.vm, PartRequest{message.hash});
        },
        [this](const PeerPart &message) {
            sendToPeer(message.vm,
                       Part{message.hash, message.found ? message.content : std::string()});
        },
        [this](const ConfigurationMessageReceived &received) { receive(received); },
        [this](const NewerConfiguration &message) { sendToPeer(message.vm, HeadRequest{}); },
        [this](const VmListChanged &message) { updateProxies(message.entries); },
        [this](DrainRequest) { quit(); },
        [](StateDumpRequest) { return StateDump{boost::json::object{}}; },
    };
}

void PeerBridge::on_exit()
{
    configuration_ = nullptr;
    peers_ = nullptr;
    vmList_ = nullptr;
}

void PeerBridge::sendToPeer(const std::string &vm, ConfigurationMessage message)
{
    send(peers_, SendConfigurationMessage{vm, std::move(message)});
}

void PeerBridge::receive(const ConfigurationMessageReceived &received)
{
    const auto &message = received.message;
    if (std::holds_alternative<HeadRequest>(message))
        send(configuration_, PeerHeadRequest{received.vm});
    else if (const auto *head = std::get_if<Head>(&message))
        receiveHead(received.vm, *head);
    else if (const auto *request = std::get_if<PartRequest>(&message))
        send(configuration_, PeerPartRequest{received.vm, request->hash});
    else if (const auto *part = std::get_if<Part>(&message))
        send(configuration_,
             PeerPart{received.vm, part->hash, !part->content.empty(), part->content});
}

void PeerBridge::receiveHead(const std::string &vm, const Head &head)
{
    if (head.content.empty()) {
        send(configuration_, PeerHead{vm, false, {}});
        return;
    }
    boost::leaf::try_handle_all(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(decoded, decodeHead(head.content));
            send(configuration_, PeerHead{vm, true, std::move(decoded)});
            return {};
        },
        [&](const Failure &failure) {
            spdlog::error("event=tables_head_invalid source={} error={}", logValue(vm),
                          logValue(failure.message));
        },
        [] {});
}

void PeerBridge::updateProxies(const std::vector<VmEntry> &entries)
{
    SetKnownProxies message;
    for (const auto &entry : entries) {
        if (entry.role == proxyRole && !entry.leaving)
            message.vms.push_back(entry.vm);
    }
    send(configuration_, std::move(message));
}

} // namespace shallotwalk
