#include "peers/peerhandshake.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <array>
#include <stdexcept>

namespace shallotwalk {

namespace {

constexpr std::size_t nonceBytes = 32;
constexpr std::string_view proofContext = "shallotwalk-peer-1";

std::string randomNonce()
{
    std::array<unsigned char, nonceBytes> bytes{};
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1)
        throw std::runtime_error("no random bytes for the peer handshake");
    return {reinterpret_cast<const char *>(bytes.data()), bytes.size()};
}

std::string hmacSha256(std::string_view key, std::string_view text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int length = 0;
    if (HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
             reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest.data(),
             &length)
        == nullptr)
        throw std::runtime_error("HMAC-SHA-256 failed");
    return {reinterpret_cast<const char *>(digest.data()), length};
}

bool equalInConstantTime(std::string_view left, std::string_view right)
{
    return left.size() == right.size()
           && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

PeerRole opposite(PeerRole role)
{
    return role == PeerRole::Initiator ? PeerRole::Acceptor : PeerRole::Initiator;
}

} // namespace

PeerHandshake::PeerHandshake(std::shared_ptr<const PeerIdentity> identity, PeerRole role,
                             std::string expectedVm)
    : identity_(std::move(identity))
    , role_(role)
    , expectedVm_(std::move(expectedVm))
    , nonce_(randomNonce())
{
}

Hello PeerHandshake::nonceMessage() const
{
    return {identity_->vm, identity_->dataCentre, protocolVersion, nonce_, {}};
}

Hello PeerHandshake::proofMessage() const
{
    return {identity_->vm,
            identity_->dataCentre,
            protocolVersion,
            {},
            proof(role_, identity_->vm, nonce_, peerNonce_)};
}

HandshakeStep PeerHandshake::receive(const Hello &hello)
{
    if (hello.protocolVersion < protocolVersion)
        return fail("protocol version is too old");
    if (!hello.proof.empty())
        return receiveProof(hello);
    return receiveNonce(hello);
}

HandshakeStep PeerHandshake::receiveNonce(const Hello &hello)
{
    if (!peerNonce_.empty())
        return fail("second nonce");
    if (hello.nonce.size() != nonceBytes)
        return fail("nonce of wrong length");
    if (hello.vm.empty() || (!expectedVm_.empty() && hello.vm != expectedVm_))
        return fail("another VM answers at this address");
    peerNonce_ = hello.nonce;
    peerVm_ = hello.vm;
    return HandshakeStep::SendProof;
}

HandshakeStep PeerHandshake::receiveProof(const Hello &hello)
{
    if (peerNonce_.empty() || authenticated_ || hello.vm != peerVm_)
        return fail("unexpected proof");
    const auto expected = proof(opposite(role_), peerVm_, peerNonce_, nonce_);
    if (!equalInConstantTime(expected, hello.proof))
        return fail("wrong proof of the peers' key");
    authenticated_ = true;
    return HandshakeStep::Authenticated;
}

HandshakeStep PeerHandshake::fail(std::string_view reason)
{
    reason_ = reason;
    return HandshakeStep::Failed;
}

std::string PeerHandshake::proof(PeerRole prover, std::string_view vm, std::string_view ownNonce,
                                 std::string_view otherNonce) const
{
    // The nonces have a fixed length and the name comes last, so the text is unambiguous.
    std::string text(proofContext);
    text += prover == PeerRole::Initiator ? 'i' : 'a';
    text += ownNonce;
    text += otherNonce;
    text += vm;
    return hmacSha256(identity_->key, text);
}

} // namespace shallotwalk
