#pragma once

#include "foxtailtrail/base/Ids.h"
#include "foxtailtrail/base/Time.h"
#include "foxtailtrail/proxy/BackendLink.h"
#include "foxtailtrail/replication/ServerLoad.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace foxtail {

// The frames of the relay protocol, in which one VM uses connections to backend servers that another VM holds. Each use of a connection is
// a channel with a number that the using VM chooses.
enum class RelayFrameKind : uint8_t {
    // Opens a channel: carries the request for a connection and the first statements.
    Open,
    // Further statements on an open channel.
    Statements,
    // Releases the connection; no statements are outstanding.
    Release,
    // Ends the channel; its connection must not be reused.
    Drop,
    // No connection could be acquired; no statement was sent to the server.
    Denied,
    // Messages of the backend server.
    Answer,
    // The connection to the backend server was lost.
    Lost,
    // A Ping checks that the other VM responds; the response is a Pong.
    Ping,
    Pong,
    // The VM that holds the connections is stopping; no new channels may be opened.
    Leaving,
    // Denied and Answer with a report of the server's load in front. They are read as Denied and Answer.
    DeniedWithLoad,
    AnswerWithLoad,
    // Reports of the loads of the other servers in the group of the channel's server.
    Loads,
};

// A report of a server's load that one VM passes on to another.
struct LoadReport {
    // Identifies the server within its group; see loadReportKey().
    uint32_t serverKey = 0;
    Duration age { 0 };
    // The time in it is not sent.
    ServerLoad load;
};

// Returns the key of a server in reports, a hash of its id.
uint32_t loadReportKey(const BackendServerId&);

// The request of a channel for a connection.
struct RelayRequest {
    BackendServerId server;
    std::string organisation;
    uint32_t priority = 0;
    // How long the request may wait for a connection, in milliseconds.
    int64_t maxWaitMs = 0;
    // The time that is left until the objective, in milliseconds; negative when it has passed. Empty without an objective. The relay counts
    // it from the arrival of the frame, so it is late by the time of travel.
    std::optional<int64_t> objectiveInMs {};
    bool isControl = false;
};

// One frame. Its bytes point into the buffer that it was read from.
struct RelayFrame {
    RelayFrameKind kind = RelayFrameKind::Ping;
    uint32_t channel = 0;
    // For Open and Statements: the number of statements in the bytes.
    uint8_t statementCount = 0;
    // For Release: whether session variables or prepared statements remain on the connection.
    bool leavesState = false;
    AcquireOutcome denial = AcquireOutcome::Exhausted;
    // For Denied: after how many milliseconds the request may return, if the relay knows.
    std::optional<uint32_t> returnAfterMs;
    RelayRequest request;
    // For Denied and Answer: the load of the server, without the time when it was taken.
    std::optional<ServerLoad> load;
    // For Loads.
    std::vector<LoadReport> reports;
    std::string_view bytes;
};

void writeRelayOpen(std::string& out, uint32_t channel, const RelayRequest&, uint8_t statements, std::string_view bytes);
void writeRelayStatements(std::string& out, uint32_t channel, uint8_t statements, std::string_view bytes);
void writeRelayRelease(std::string& out, uint32_t channel, bool leavesState);
void writeRelayDenied(std::string& out, uint32_t channel, AcquireOutcome, std::optional<uint32_t> returnAfterMs,
    const std::optional<ServerLoad>& = std::nullopt);
void writeRelayAnswer(std::string& out, uint32_t channel, std::string_view bytes, const std::optional<ServerLoad>& = std::nullopt);
void writeRelayLoads(std::string& out, uint32_t channel, const std::vector<LoadReport>&);
// Writes a frame without content: Drop, Lost, Ping, Pong or Leaving.
void writeRelaySignal(std::string& out, RelayFrameKind, uint32_t channel);

enum class RelayReadResult : uint8_t {
    Complete,
    Incomplete,
    // The bytes are not a valid frame; the connection must be closed.
    Malformed,
};

// Reads the first complete frame and removes it from the front of the bytes.
RelayReadResult readRelayFrame(std::string_view& bytes, RelayFrame&);

}
