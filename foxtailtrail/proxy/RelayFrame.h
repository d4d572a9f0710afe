#pragma once

#include "foxtailtrail/base/Ids.h"
#include "foxtailtrail/base/Time.h"
#include "foxtailtrail/proxy/BackendLink.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace foxtail {

// What two VMs say to each other over a relay: one uses connections to backend servers that the other one holds. Each use of a
// connection is a channel with a number that the using VM picks.
enum class RelayFrameKind : uint8_t {
    // Opens a channel: the request for a connection, and the first statements.
    Open,
    // Further statements on an open channel.
    Statements,
    // The connection is given back with nothing outstanding.
    Release,
    // The channel ends and its connection must not be used any more.
    Drop,
    // No connection could be had; nothing was sent.
    Denied,
    // Messages of the backend server.
    Answer,
    // The connection to the backend server was lost.
    Lost,
    // Asks the other VM for a sign of life, and the sign.
    Ping,
    Pong,
    // The VM that holds the connections stops: no new channels.
    Leaving,
};

// What a channel asks a connection for.
struct RelayRequest {
    BackendServerId server;
    std::string organisation;
    uint32_t priority = 0;
    // Milliseconds for which the request may wait for a connection.
    int64_t maxWaitMs = 0;
};

// One frame. The bytes point into those it was taken from.
struct RelayFrame {
    RelayFrameKind kind = RelayFrameKind::Ping;
    uint32_t channel = 0;
    // For Open and Statements: how many statements the bytes hold.
    uint8_t statementCount = 0;
    // For Release: whether values or prepared statements were left on the connection.
    bool leavesState = false;
    AcquireOutcome denial = AcquireOutcome::Exhausted;
    RelayRequest request;
    std::string_view bytes;
};

void writeRelayOpen(std::string& out, uint32_t channel, const RelayRequest&, uint8_t statements, std::string_view bytes);
void writeRelayStatements(std::string& out, uint32_t channel, uint8_t statements, std::string_view bytes);
void writeRelayRelease(std::string& out, uint32_t channel, bool leavesState);
void writeRelayDenied(std::string& out, uint32_t channel, AcquireOutcome);
void writeRelayAnswer(std::string& out, uint32_t channel, std::string_view bytes);
// A frame without content: Drop, Lost, Ping, Pong or Leaving.
void writeRelaySignal(std::string& out, RelayFrameKind, uint32_t channel);

enum class RelayReadResult : uint8_t {
    Complete,
    Incomplete,
    // The bytes are no frame; the connection cannot go on.
    Malformed,
};

// Takes the first whole frame off the front of the bytes.
RelayReadResult readRelayFrame(std::string_view& bytes, RelayFrame&);

}
