#pragma once

#include "foxtailtrail/config/Configuration.h"

#include <memory>
#include <string>
#include <string_view>

namespace foxtail {

// An immutable document that threads may share.
using ConfigurationDocument = std::shared_ptr<const Configuration>;

// The outcome of an attempt to install a document.
enum class InstallOutcome : uint8_t {
    Installed,
    AlreadyInstalled,
    Older,
};

// Holds the newest configuration that this VM has received. Replaces it only by a higher version, whatever the source of the document.
// FreshnessMonitor decides whether the VM may serve the installed version.
class InstalledConfiguration {
public:
    // Installs a document if its version is higher. Fails with VersionConflict if the installed document has the same version but
    // different content.
    Result<InstallOutcome> installIfNewer(Configuration candidate);

    // Parses a document and installs it if its version is higher. Fails with MalformedRequest if the text is not valid, and with
    // VersionConflict if the expected digest is neither empty nor that of the document.
    Result<InstallOutcome> installTextIfNewer(std::string_view text, std::string_view expectedDigest = {});

    // Returns the installed document, or null if there is none.
    const ConfigurationDocument& document() const { return this->installed; }

    // Returns the version of the installed document, or 0 if there is none.
    uint64_t version() const { return this->installed ? this->installed->version : 0; }

    // Returns the digest of the installed document, or an empty string if there is none.
    const std::string& digest() const { return this->installedDigest; }

private:
    ConfigurationDocument installed;
    std::string installedDigest;
};

}
