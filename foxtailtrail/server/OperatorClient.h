#pragma once

#include "foxtailtrail/commands/Table.h"
#include "foxtailtrail/net/FiberThread.h"
#include "foxtailtrail/net/HttpClient.h"

#include <memory>
#include <string>

namespace foxtail {

// Response of the operator port to a command.
struct OperatorResponse {
    // The body of the response as sent by the VM.
    std::string jsonText;
    // Set if the response contains rows.
    std::optional<Table> table;
    // A message for the operator; may be empty.
    std::string message;
    // The text of a new key, which is shown only once; otherwise empty.
    std::string key;
};

// The burn report as text and as JSON.
struct RenderedBurnReport {
    std::string text;
    std::string json;
};

// Client of one VM's operator port, used by the command line.
class OperatorClient {
public:
    OperatorClient(Endpoint, std::string secret);

    // Runs one command. Fails with the error that the VM reports, with PeerUnavailable if the VM cannot be reached, or with OutcomeUnknown
    // if the command may have run.
    Result<OperatorResponse> runCommand(const std::string& text);

    // Fetches the burn report.
    Result<RenderedBurnReport> fetchBurnReport();

private:
    Result<std::string> send(const std::string& method, const std::string& target, const std::string& body);

    std::unique_ptr<FiberThread> thread;
    Endpoint endpoint;
    std::string secret;
};

}
