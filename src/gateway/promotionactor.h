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

/// Collaborators and settings of a PromotionActor.
struct PromotionContext
{
    std::string vm; ///< Name of this proxy in orders.
    GatewayProtocols protocols;
    caf::actor storeCaller;    ///< HttpCaller for the store.
    caf::actor platformCaller; ///< HttpCaller for the platform's promotion call.
    caf::actor groups;         ///< Gets PromotionRecorded, ConfirmPromotion and PromotionFailed.
    std::shared_ptr<const Clock> clock;
    /// Timeout of a call to the store.
    Duration storeTimeout{std::chrono::milliseconds(500)};
    /// Timeout of one attempt to give an order to the platform.
    Duration orderTimeout{std::chrono::milliseconds(400)};
    unsigned orderAttempts = 4; ///< Attempts before an order without an answer fails.
    /// Time for the group to confirm its choice once it has been recorded.
    Duration confirmTimeout{std::chrono::milliseconds(200)};
};

/// State of the actor that carries out promotions. An order is first recorded in the store, on the
/// condition that the record which its choice was based on is still the current one. The order's
/// fencing token is made of the revision of the new record. So only one of several proxies that
/// decide at the same time gives its order, each token belongs to one choice, and an order that is
/// carried out late can't undo a later one. The group confirms its choice once it has been
/// recorded, since the store may have taken long.
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
        StoreRevision replaced;      ///< Revision of the record that the order's replaces.
        std::uint64_t number = 0;    ///< Of the order's record.
        std::string nonce = {};      ///< Identifies the record of this order.
        StoreRevision revision = {}; ///< Of the order's record, once that is written.
        std::int64_t token = 0;      ///< Fencing token; 0: not recorded yet.
        unsigned attempts = 0;
    };

    caf::behavior start(PromotionContext context);
    void startOrder(const OrderPromotion &message);
    PromotionRecord recordOf(const Order &order) const;
    void writeRecord(const std::string &service);
    void verifyRecord(const std::string &service);
    void reportRecord(const PromotionRecord &record);
    void recorded(const std::string &service, StoreRevision revision);
    void handleConfirmation(const PromotionConfirmed &message);
    void sendOrder(const std::string &service);
    void withdraw(const Order &order);
    void fail(const std::string &service, std::string_view reason);
    std::string nextNonce();
    template<class Handle>
    void call(const caf::actor &caller, HttpCall call, Duration timeout, Handle handle);

    Broker *self_;
    PromotionContext context_;
    std::map<std::string, Order, std::less<>> orders_; ///< Orders in progress, by service.
    std::uint64_t nonceCount_ = 0;                     ///< Nonces made so far.
    std::uint64_t accepted_ = 0;                       ///< Orders that the platform accepted.
    std::uint64_t failed_ = 0;                         ///< Orders that failed.
};

} // namespace shallotwalk
