#include "foxtailtrail/config/InstalledConfiguration.h"

namespace foxtail {

Result<InstallOutcome> InstalledConfiguration::installIfNewer(Configuration offered)
{
    if (offered.version < this->version())
        return InstallOutcome::Older;
    std::string offeredDigest = configurationDigest(offered);
    if (this->installed && offered.version == this->version()) {
        if (offeredDigest == this->installedDigest)
            return InstallOutcome::AlreadyInstalled;
        return fail(ErrorKind::VersionConflict, "version " + std::to_string(offered.version) + " is installed with other content");
    }
    this->installedDigest = std::move(offeredDigest);
    this->installed = std::make_shared<const Configuration>(std::move(offered));
    return InstallOutcome::Installed;
}

Result<InstallOutcome> InstalledConfiguration::installTextIfNewer(std::string_view text, std::string_view expectedDigest)
{
    BOOST_OUTCOME_TRY(Configuration parsed, parseConfiguration(text));
    if (!expectedDigest.empty() && configurationDigest(parsed) != expectedDigest)
        return fail(ErrorKind::VersionConflict, "the document does not have the announced digest");
    return this->installIfNewer(std::move(parsed));
}

}
