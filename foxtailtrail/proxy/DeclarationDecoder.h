#pragma once

#include "foxtailtrail/base/Result.h"
#include "foxtailtrail/config/RouteTable.h"
#include "foxtailtrail/replication/ServerDirectory.h"

#include <optional>
#include <string_view>

namespace foxtail {

// Decodes documents of the platform into the proxy's own types.
class DeclarationDecoder {
public:
    virtual ~DeclarationDecoder() = default;

    // Returns the key of the row in the declarations table that holds the operators' configuration.
    virtual std::string_view configurationKey() const = 0;
    // Returns the data centre that the row of a key in the declarations table has evacuated, or an empty optional for other rows.
    virtual std::optional<DataCentre> evacuatedDataCentre(std::string_view key) const = 0;
    // Fails with MalformedRequest when the document does not describe a configuration.
    virtual Result<RouteTable> decodeConfiguration(std::string_view document) const = 0;
    // Fails with MalformedRequest when the entry does not describe a usable server.
    virtual Result<ServerEntry> decodeServer(std::string_view id, std::string_view document) const = 0;
};

}
