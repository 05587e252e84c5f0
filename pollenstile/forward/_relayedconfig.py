"""Updates of the configuration that a host gets from its reader."""

from pollenstile.platform import era_of


def apply_relayed_update(configuration, update, began):
    """Apply an update from a reader; return whether reads can be skipped.

    Explanation
    ===========

    The update verifies the table in force here only when both have the same
    version. The reader has verified it with regard to returns of the store.

    Parameters
    ==========

    configuration : Configuration
        The configuration of this host.
    update : RelayUpdate
        Contains the configuration if it is newer than the one here.
    began : float
        Time on the suspend clock before the reader was asked.
    """
    verified_at = began - update.aged
    if update.config is not None:
        _apply_relayed(configuration, update.config)
    lead = _lead_of(update, configuration)
    if lead < 0:
        # A reader that lags behind can't verify what this host has read.
        return configuration.is_fresh()
    if lead > 0:
        return False
    configuration.verified_at = max(configuration.verified_at, verified_at)
    if update.seen:
        # If the reader fails, this host asks for changes after this
        # revision. Full reads by all followers at once would saturate
        # links that are already slow.
        configuration.known_revision = max(
            update.seen, configuration.known_revision or 0
        )
        configuration.known_at = max(verified_at, configuration.known_at)
    return True


def _apply_relayed(configuration, found):
    """Apply a reader's configuration.

    Explanation
    ===========

    The reader may have kept a version against an older one that the store shows
    since its return. Its revision is then of an earlier era.
    """
    if era_of(found.version) < era_of(configuration.newest_revision):
        configuration.replace_table(found)
    else:
        configuration.apply_found(found)


def _lead_of(update, configuration):
    """Return how far a reader's version is ahead of the one in force here.

    Explanation
    ===========

    Versions of the operator never fall, while one version has several revisions
    if it is written again after a return of the store. Readers of an earlier
    software version tell only the revision.
    """
    if update.config_version:
        return update.config_version - configuration.version
    return update.config_revision - configuration.revision
