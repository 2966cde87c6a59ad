#include "core/routing/errorwatch.h"

#include <algorithm>

namespace shallotwalk {

namespace {

/// Weight of an answer in the share of errors; about the last four count.
constexpr double answerWeight = 0.25;

/// Share of errors above which a server is avoided: four errors in a row, or more than most of a
/// longer series. A server that fails less is worth its trials.
constexpr double avoidedShare = 0.65;

constexpr Duration firstTrialInterval = std::chrono::milliseconds(200);
constexpr Duration longestTrialInterval = std::chrono::milliseconds(1600);
/// With a shorter interval the server gets about as much as others, and counts as sound.
constexpr Duration soundInterval = std::chrono::milliseconds(10);

} // namespace

void ErrorWatch::succeeded(TimePoint sentAt, TimePoint now)
{
    errorShare_ -= errorShare_ * answerWeight;
    if (!avoided_ || sentAt < avoidedSince_)
        return;
    trialInterval_ /= 2;
    nextTrialAt_ = now + trialInterval_;
    if (trialInterval_ >= soundInterval)
        return;
    avoided_ = false;
    errorShare_ = 0;
}

void ErrorWatch::failed(TimePoint sentAt, TimePoint now)
{
    errorShare_ += (1 - errorShare_) * answerWeight;
    if (avoided_) {
        // Statements that were sent before say nothing new.
        if (sentAt < avoidedSince_)
            return;
        trialInterval_ = std::min<Duration>(2 * trialInterval_, longestTrialInterval);
        nextTrialAt_ = now + trialInterval_;
        return;
    }
    if (errorShare_ < avoidedShare)
        return;
    avoided_ = true;
    avoidedSince_ = now;
    trialInterval_ = firstTrialInterval;
    nextTrialAt_ = now + trialInterval_;
}

void ErrorWatch::sent(TimePoint now)
{
    if (avoided_)
        nextTrialAt_ = now + trialInterval_;
}

} // namespace shallotwalk
