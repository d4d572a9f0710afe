#include "foxtailtrail/config/InstalledConfiguration.h"

namespace foxtail {

Result<InstallOutcome> InstalledConfiguration::installIfNewer(Configuration candidate)
{
    if (candidate.version < this->version())
        return InstallOutcome::Older;
    std::string candidateDigest = configurationDigest(candidate);
    if (this->installed && candidate.version == this->version()) {
        if (candidateDigest == this->installedDigest)
            return InstallOutcome::AlreadyInstalled;
        return fail(
            ErrorKind::VersionConflict, "version " + std::to_string(candidate.version) + " is already installed with different content");
    }
    this->installedDigest = std::move(candidateDigest);
    this->installed = std::make_shared<const Configuration>(std::move(candidate));
    return InstallOutcome::Installed;
}

Result<InstallOutcome> InstalledConfiguration::installTextIfNewer(std::string_view text, std::string_view expectedDigest)
{
    BOOST_OUTCOME_TRY(Configuration parsed, parseConfiguration(text));
    if (!expectedDigest.empty() && configurationDigest(parsed) != expectedDigest)
        return fail(ErrorKind::VersionConflict, "the digest of the document differs from the expected digest");
    return this->installIfNewer(std::move(parsed));
}

}
