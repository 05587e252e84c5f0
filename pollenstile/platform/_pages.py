"""All pages of a list as one."""

from pollenstile.platform._outcome import Listing, Unavailable


async def list_all(store, kind, prefix=''):
    """Return every object of a kind as one ``Listing``, or ``Unavailable``.

    Explanation
    ===========

    Pages are read one after another while others write. The revision is the
    first page's: all written up to it is shown, and a watch from it shows
    what a later page had missed, together with some that it did show.
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
        objects.extend(page.objects)
    return Listing(tuple(objects), revision)
