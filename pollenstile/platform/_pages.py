"""Reads all pages of a list."""

from pollenstile.platform._outcome import Listing, Unavailable
from pollenstile.platform._positions import era_of


async def list_all(store, kind, prefix=''):
    """Return every object of a kind as one ``Listing``, or ``Unavailable``.

    Explanation
    ===========

    Pages are read one after another, while other clients may write. The
    revision of the result is that of the first page. The result includes all
    writes up to that revision. A watch from it reports all later writes, also
    some that a later page already included.
    """
    page = await store.listed(kind, prefix)
    if isinstance(page, Unavailable):
        return page
    revision = page.revision
    objects = list(page.objects)
    while page.more:
        page = await store.listed(kind, prefix, objects[-1].name)
        if isinstance(page, Unavailable):
            return page
        if era_of(page.revision) != era_of(revision):
            return Unavailable('list', 'object API', 'another era')
        objects.extend(page.objects)
    return Listing(tuple(objects), revision)
