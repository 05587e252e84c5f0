"""The configuration as hosts of a domain hand it over: whole, or a patch."""

from collections import OrderedDict

import msgspec

from pollenstile.peer import patch_between, patched
from pollenstile.platform import Found

# Configurations that are kept as texts: a follower that missed a few, in a
# storm of changes, is still told by a patch.
_KEPT = 6


def config_text(found):
    """Return the text of a configuration that patches are made of."""
    return msgspec.json.encode(found.value).decode()


def config_patched(found, revision, patch):
    """Return the configuration that a patch makes of an older one.

    Parameters
    ==========

    found : Found or None
        The older one; None where there is none.

    Returns
    =======

    Found or None
        None when the patch does not fit.
    """
    if found is None:
        return None
    text = patched(config_text(found), patch)
    if text is None:
        return None
    return Found(found.kind, found.name, revision, msgspec.json.decode(text))


class ConfigTexts:
    """The latest configurations of a host, and patches to the newest.

    Explanation
    ===========

    Sent whole, one change of a route in 1,720 cost each follower 350 kB: the
    reader's answers took longer than its followers wait, all of them left it
    at once, and each read the store itself.

    Attributes
    ==========

    texts : OrderedDict
        By revision.
    patches : dict
        To the newest, by the revision that they start from.
    """

    __slots__ = ('patches', 'texts')

    def __init__(self):
        self.texts = OrderedDict()
        self.patches = {}

    def take(self, found):
        """Keep a configuration that has come into force."""
        self.patches = {}
        self.texts[found.version] = config_text(found)
        while len(self.texts) > _KEPT:
            self.texts.popitem(last=False)

    def patch_from(self, revision):
        """Return the patch from a revision to the newest one, or None."""
        before = self.texts.get(revision)
        if before is None:
            return None
        if revision not in self.patches:
            newest = self.texts[next(reversed(self.texts))]
            self.patches[revision] = patch_between(before, newest)
        return self.patches[revision]
