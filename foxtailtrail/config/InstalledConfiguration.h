#pragma once

#include "foxtailtrail/config/Configuration.h"

#include <memory>
#include <string>
#include <string_view>

namespace foxtail {

// A document that no thread changes any more.
using ConfigurationDocument = std::shared_ptr<const Configuration>;

// What became of an offered document.
enum class InstallOutcome : uint8_t {
    Installed,
    AlreadyInstalled,
    Older,
};

// Holds the newest configuration that this VM knows. It installs only a higher version, whoever offers it.
// Installing does not allow serving: FreshnessMonitor decides that.
class InstalledConfiguration {
public:
    // Offers a document. Fails with VersionConflict when the installed document has the same version and other content.
    Result<InstallOutcome> installIfNewer(Configuration offered);

    // Offers the text of a document. Fails with MalformedRequest when it is not valid. A digest that is not empty
    // must be that of the document, else the offer fails with VersionConflict.
    Result<InstallOutcome> installTextIfNewer(std::string_view text, std::string_view expectedDigest = {});

    // The installed document, or null while there is none.
    const ConfigurationDocument& document() const { return this->installed; }

    // The version of the installed document, or 0.
    uint64_t version() const { return this->installed ? this->installed->version : 0; }

    // The digest of the installed document, or an empty text.
    const std::string& digest() const { return this->installedDigest; }

private:
    ConfigurationDocument installed;
    std::string installedDigest;
};

}
