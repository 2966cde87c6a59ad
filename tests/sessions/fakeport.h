#pragma once

#include "core/core.h"

#include <map>
#include <string>
#include <vector>

namespace shallotwalk {

/// Records the operations that a GroupScheduler requests.
class FakePort : public GroupPort
{
public:
    struct Retry
    {
        RequestNumber number = 0;
        std::string server;
        std::optional<AnswerCode> code;
    };
    struct Refusal
    {
        std::string server;
        AnswerCode code;
        Duration retryDelay;
    };
    struct Sent
    {
        ServerConnectionKey key;
        std::vector<ServerCommand> commands;
    };

    void openConnection(ServerConnectionKey key, const ServerRegistration &server,
                        std::string_view team) override
    {
        opened.push_back(key);
        teamOf[key] = team;
        serverOf[key] = server.id;
    }
    void sendCommands(ServerConnectionKey key, std::span<const ServerCommand> commands) override
    {
        sent.push_back({key, {commands.begin(), commands.end()}});
    }
    void closeConnection(ServerConnectionKey key) override { closed.push_back(key); }
    void answer(const GroupRequest &request, GroupAnswer answer) override
    {
        answers[request.number] = std::move(answer);
        ++answerCount[request.number];
    }
    void requestRetried(const GroupRequest &request, std::string_view server,
                        std::optional<AnswerCode> code) override
    {
        retriedRequests.push_back({request.number, std::string(server), code});
    }
    void requestStranded(const GroupRequest &request) override
    {
        stranded.push_back(request.number);
    }
    void connectionRefused(std::string_view server, AnswerCode code, Duration retryDelay) override
    {
        refusals.push_back({std::string(server), code, retryDelay});
    }
    void shareWatermark(Position position, TimePoint, Position) override
    {
        shared.push_back(position);
    }
    void reportSuspicion(std::string_view server, bool suspected) override
    {
        suspicions.emplace_back(server, suspected);
    }
    void primaryDemoted(std::string_view server, bool demoted, Position) override
    {
        demotions.emplace_back(server, demoted);
    }
    void orderPromotion(const PromotionChoice &choice) override { promotions.push_back(choice); }

    std::vector<ServerConnectionKey> opened;
    std::map<ServerConnectionKey, std::string> serverOf;
    std::map<ServerConnectionKey, std::string> teamOf;
    std::vector<Sent> sent;
    std::vector<ServerConnectionKey> closed;
    std::map<RequestNumber, GroupAnswer> answers;
    std::map<RequestNumber, int> answerCount;
    std::vector<Retry> retriedRequests;
    std::vector<RequestNumber> stranded;
    std::vector<Refusal> refusals;
    std::vector<Position> shared;
    std::vector<std::pair<std::string, bool>> suspicions;
    std::vector<std::pair<std::string, bool>> demotions;
    std::vector<PromotionChoice> promotions;
};

} // namespace shallotwalk
