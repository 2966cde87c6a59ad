#include "gateway/promotionactor.h"

#include <boost/leaf/handle_errors.hpp>

#include <spdlog/spdlog.h>

namespace shallotwalk {

caf::behavior PromotionActor::run(Broker *self, PromotionContext context)
{
    return self->state.start(std::move(context));
}

caf::behavior PromotionActor::start(PromotionContext context)
{
    context_ = std::move(context);
    return {
        [this](const OrderPromotion &message) { startOrder(message); },
        [this](const PromotionConfirmed &message) { handleConfirmation(message); },
        [this](DrainRequest) { self_->quit(); },
        [this](StateDumpRequest) {
            return StateDump{boost::json::object{
                {"inProgress", orders_.size()}, {"accepted", accepted_}, {"failed", failed_}}};
        },
    };
}

template<class Handle>
void PromotionActor::call(const caf::actor &caller, HttpCall call, Duration timeout, Handle handle)
{
    call.timeout = timeout;
    // The HttpCaller enforces the timeout; the factor leaves time for its answer to arrive here.
    self_->request(caller, 2 * timeout, HttpCallRequest{std::move(call)})
        .then([handle](const HttpCallResult &result) { handle(result.response); },
              [handle](const caf::error &) {
                  handle(HttpResponse{0, {}, {}, {}, false});
              });
}

std::string PromotionActor::nextNonce()
{
    const auto time = context_.clock->now().time_since_epoch().count();
    return context_.vm + '-' + std::to_string(time) + '-' + std::to_string(++nonceCount_);
}

void PromotionActor::startOrder(const OrderPromotion &message)
{
    const auto &service = message.choice.service;
    if (orders_.contains(service))
        return;
    orders_[service] = {message.choice, message.recordRevision, message.recordNumber, nextNonce()};
    writeRecord(service);
}

PromotionRecord PromotionActor::recordOf(const Order &order) const
{
    const auto &choice = order.choice;
    PromotionRecord record;
    record.service = choice.service;
    record.server = choice.server;
    record.holder = context_.vm;
    record.nonce = order.nonce;
    record.position = choice.position;
    record.floor = choice.floor;
    record.endedTerm = choice.endedTerm;
    record.number = order.number;
    return record;
}

void PromotionActor::writeRecord(const std::string &service)
{
    const auto &order = orders_.at(service);
    const auto key = std::string(promotionsPrefix) + service;
    call(context_.storeCaller,
         context_.protocols.store->write(key, encodePromotion(recordOf(order)), 0, order.replaced),
         context_.storeTimeout, [this, service](const HttpResponse &response) {
             if (response.status == 0) {
                 verifyRecord(service);
                 return;
             }
             boost::leaf::try_handle_all(
                 [&]() -> Result<void> {
                     BOOST_LEAF_AUTO(write, context_.protocols.store->decodeWrite(response));
                     if (write.written) {
                         recorded(service, write.revision);
                         return {};
                     }
                     if (write.conflictingItem) {
                         BOOST_LEAF_AUTO(record,
                                         decodePromotion(write.conflictingItem->value,
                                                         write.conflictingItem->modRevision));
                         reportRecord(record);
                     }
                     fail(service, "another proxy has recorded an order");
                     return {};
                 },
                 [&](const Failure &failure) { fail(service, failure.message); },
                 [&] { fail(service, "unknown error"); });
         });
}

/// Sends the groups a record that this actor has read, before the watch reports it.
void PromotionActor::reportRecord(const PromotionRecord &record)
{
    self_->send(context_.groups, PromotionRecorded{record});
}

/// Reads the record to find out whether a write without an answer has taken effect.
void PromotionActor::verifyRecord(const std::string &service)
{
    call(context_.storeCaller,
         context_.protocols.store->read(std::string(promotionsPrefix) + service),
         context_.storeTimeout, [this, service](const HttpResponse &response) {
             boost::leaf::try_handle_all(
                 [&]() -> Result<void> {
                     BOOST_LEAF_AUTO(item, context_.protocols.store->decodeItem(response));
                     if (!item) {
                         fail(service, "the order was not recorded");
                         return {};
                     }
                     BOOST_LEAF_AUTO(record, decodePromotion(item->value, item->modRevision));
                     reportRecord(record);
                     if (record.nonce != orders_.at(service).nonce) {
                         fail(service, "the order was not recorded");
                         return {};
                     }
                     recorded(service, record.revision);
                     return {};
                 },
                 [&](const Failure &failure) { fail(service, failure.message); },
                 [&] { fail(service, "unknown error"); });
         });
}

/// Has the group confirm its choice, which has been recorded at \a revision.
void PromotionActor::recorded(const std::string &service, StoreRevision revision)
{
    auto &order = orders_.at(service);
    order.revision = revision;
    order.token = revision.fencingToken();
    if (order.replaced.number() != 0 && order.replaced.era() != revision.era()) {
        // The revision may have been given out again, for a record that the choice didn't consider.
        withdraw(order);
        fail(service, "the store has gone back to an older copy");
        return;
    }
    self_->send(context_.groups, ConfirmPromotion{order.choice, order.token});
    self_->delayed_send(self_, context_.confirmTimeout,
                        PromotionConfirmed{service, order.token, false});
}

void PromotionActor::handleConfirmation(const PromotionConfirmed &message)
{
    const auto found = orders_.find(message.service);
    if (found == orders_.end() || found->second.token != message.token
        || found->second.attempts > 0)
        return;
    if (message.confirmed) {
        sendOrder(message.service);
        return;
    }
    withdraw(found->second);
    fail(message.service, "the choice no longer holds");
}

void PromotionActor::sendOrder(const std::string &service)
{
    auto &order = orders_.at(service);
    ++order.attempts;
    spdlog::warn("event=promotion_ordered service={} server={} token={} attempt={} reason={}",
                 logValue(service), logValue(order.choice.server), order.token, order.attempts,
                 order.choice.reason);
    call(context_.platformCaller,
         context_.protocols.promotions->promote(service, order.choice.server, context_.vm,
                                                order.token),
         context_.orderTimeout, [this, service](const HttpResponse &response) {
             const auto answer = context_.protocols.promotions->decodeAnswer(response);
             if (answer == PromotionAnswer::Accepted) {
                 spdlog::info("event=promotion_accepted service={} server={} token={}",
                              logValue(service), logValue(orders_.at(service).choice.server),
                              orders_.at(service).token);
                 ++accepted_;
                 orders_.erase(service);
             } else if (answer == PromotionAnswer::Refused) {
                 withdraw(orders_.at(service));
                 fail(service, "the platform refused the order");
             } else if (orders_.at(service).attempts < context_.orderAttempts) {
                 this->sendOrder(service);
             } else {
                 fail(service, "the platform did not answer");
             }
         });
}

/// Records that an order was not carried out and won't be, unless another order has been recorded
/// since.
void PromotionActor::withdraw(const Order &order)
{
    const auto &service = order.choice.service;
    auto record = recordOf(order);
    record.server.clear();
    ++record.number;
    call(context_.storeCaller,
         context_.protocols.store->write(std::string(promotionsPrefix) + service,
                                         encodePromotion(record), 0, order.revision),
         context_.storeTimeout, [service](const HttpResponse &response) {
             spdlog::info("event=promotion_withdrawn service={} store_status={}", logValue(service),
                          response.status);
         });
}

void PromotionActor::fail(const std::string &service, std::string_view reason)
{
    ++failed_;
    auto failed = orders_.extract(service);
    spdlog::warn("event=promotion_failed service={} server={} token={} reason={}",
                 logValue(service), logValue(failed.mapped().choice.server), failed.mapped().token,
                 logValue(reason));
    self_->send(context_.groups, PromotionFailed{failed.mapped().choice});
}

} // namespace shallotwalk
