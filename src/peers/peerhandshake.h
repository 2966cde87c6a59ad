#pragma once

#include "peers/peeridentity.h"
#include "wire/peermessage.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace shallotwalk {

/// Side of a connection. It enters the proof, so that a proof can't be sent back to its author.
enum class PeerRole { Initiator, Acceptor };

/// Progress of a handshake after a hello message.
enum class HandshakeStep {
    SendProof,     ///< The peer's nonce is known; proof() must be sent.
    Authenticated, ///< The peer has proved that it knows the key.
    Failed,
};

/// Mutual proof of the shared key on one connection: each side sends a nonce and answers the
/// other's nonce with an HMAC-SHA-256 over both nonces, its role and its name. Not thread-safe.
class PeerHandshake
{
public:
    /// Version of the protocol that this code speaks.
    static constexpr std::int32_t protocolVersion = 1;

    /// Draws the nonce from libcrypto's random source; throws std::runtime_error if that fails.
    /// \a expectedVm is the name that the peer must have, or empty for any.
    PeerHandshake(std::shared_ptr<const PeerIdentity> identity, PeerRole role,
                  std::string expectedVm);

    /// The first message to send.
    Hello nonceMessage() const;

    /// The second message to send. \pre receive() has returned SendProof.
    Hello proofMessage() const;

    /// Handles a hello message of the peer; reason() explains a failure.
    HandshakeStep receive(const Hello &hello);

    bool authenticated() const { return authenticated_; }

    /// The peer's name, which is proved once authenticated() is true.
    const std::string &peerVm() const { return peerVm_; }

    /// Why the handshake failed.
    const std::string &reason() const { return reason_; }

private:
    HandshakeStep receiveNonce(const Hello &hello);
    HandshakeStep receiveProof(const Hello &hello);
    HandshakeStep fail(std::string_view reason);
    std::string proof(PeerRole prover, std::string_view vm, std::string_view ownNonce,
                      std::string_view otherNonce) const;

    std::shared_ptr<const PeerIdentity> identity_;
    PeerRole role_;
    std::string expectedVm_;
    std::string nonce_;
    std::string peerNonce_;
    std::string peerVm_;
    std::string reason_;
    bool authenticated_ = false;
};

} // namespace shallotwalk
