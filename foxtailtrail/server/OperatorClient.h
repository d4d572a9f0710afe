#pragma once

#include "foxtailtrail/commands/Table.h"
#include "foxtailtrail/net/FiberThread.h"
#include "foxtailtrail/net/HttpClient.h"

#include <memory>
#include <string>

namespace foxtail {

// What came back from the operators' port.
struct OperatorResponse {
    // The answer as JSON text, as the VM sent it.
    std::string jsonText;
    // Set when the answer holds rows.
    std::optional<Table> table;
    // A message for the operator, or an empty text.
    std::string message;
    // The text of a new key, which is shown only once, or an empty text.
    std::string key;
};

// The burn report in both of its forms.
struct RenderedBurnReport {
    std::string text;
    std::string json;
};

// Sends commands to one VM's operators' port. Used by the command line.
class OperatorClient {
public:
    OperatorClient(Endpoint, std::string secret);

    // Runs one command. Fails with the error that the VM reports, with PeerUnavailable when the VM cannot be reached, and with
    // OutcomeUnknown when the command may have run.
    Result<OperatorResponse> runCommand(const std::string& text);

    // The burn report.
    Result<RenderedBurnReport> fetchBurnReport();

private:
    Result<std::string> send(const std::string& method, const std::string& target, const std::string& body);

    std::unique_ptr<FiberThread> thread;
    Endpoint endpoint;
    std::string secret;
};

}
