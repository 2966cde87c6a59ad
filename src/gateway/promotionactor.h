#pragma once

#include "gateway/messages.h"
#include "gateway/registryrecords.h"
#include "supervision/supervision.h"

#include <caf/io/broker.hpp>
#include <caf/stateful_actor.hpp>

#include <map>
#include <memory>
#include <string>

namespace shallotwalk {

/// What a PromotionActor works with.
struct PromotionContext
{
    std::string vm; ///< Name of this proxy in orders.
    GatewayProtocols protocols;
    caf::actor storeCaller;    ///< HttpCaller for the store.
    caf::actor platformCaller; ///< HttpCaller for the platform's calls.
    caf::actor groups;         ///< Gets PromotionFailed.
    std::shared_ptr<const Clock> clock;
    Duration storeTimeout{std::chrono::milliseconds(500)};
    Duration orderTimeout{std::chrono::milliseconds(400)};
    unsigned orderAttempts = 4;
};

/// State of the actor that carries out promotions. An order is first recorded in the store under
/// the condition that no other proxy has recorded one since; the revision of the record is the
/// order's fencing token. So proxies that decide at the same time give one order, each token stands
/// for one choice, and an order that is carried out late can't undo a later one.
class PromotionActor
{
public:
    using Broker = caf::stateful_actor<PromotionActor, MailboxClosingBroker>;

    explicit PromotionActor(Broker *self)
        : self_(self)
    {
    }

    static caf::behavior run(Broker *self, PromotionContext context);

    static inline const char *name = "promotions";

private:
    struct Order
    {
        PromotionChoice choice;
        std::string nonce;
        std::int64_t token = 0;
        unsigned attempts = 0;
    };

    caf::behavior start(PromotionContext context);
    void record(const OrderPromotion &message);
    void write(const std::string &service, std::int64_t expectedRevision);
    void verify(const std::string &service);
    void learn(const PromotionRecord &record);
    void order(const std::string &service);
    void withdraw(const Order &order);
    void fail(const std::string &service, std::string_view reason);
    std::string nextNonce();
    template<class Handle>
    void call(const caf::actor &caller, HttpCall call, Duration timeout, Handle handle);

    Broker *self_;
    PromotionContext context_;
    std::map<std::string, Order, std::less<>> orders_; ///< In progress, by service.
    std::uint64_t nonces_ = 0;
    std::uint64_t accepted_ = 0;
    std::uint64_t failed_ = 0;
};

} // namespace shallotwalk
