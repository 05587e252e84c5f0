"""Engines that have joined or left a service lately."""

# Seconds for which changes are remembered. In that time the requests for most
# parts in use have reached the new home engine, which then keeps the parts.
HISTORY_SECONDS = 30.0
_ALWAYS = float('-inf')


class _Record:
    """One engine, and when it began and ceased to accept new work."""

    __slots__ = ('joined_at', 'left_at', 'view')

    def __init__(self, view, joined_at):
        self.view = view
        self.joined_at = joined_at
        self.left_at = None


class EngineHistory:
    """When the engines of each service joined and left, for 30 seconds.

    Explanation
    ===========

    An engine joins when it begins to accept new work and leaves when it ceases
    to, though it may run on. After a start of the host, all listed engines
    count as old.

    Parameters
    ==========

    clock : IReactorTime
        Provides the time.

    Attributes
    ==========

    services : dict
        Records by identifier of the engine, by service.

    Examples
    ========

    >>> from twisted.internet.task import Clock
    >>> from pollenstile.forward import UpstreamView
    >>> from pollenstile.promptparts import EngineHistory
    >>> clock = Clock()
    >>> history = EngineHistory(clock)
    >>> old = UpstreamView('old', 'a:1', 'd')
    >>> new = UpstreamView('new', 'b:1', 'd')
    >>> history.update({'model': [old]}, is_complete=False)
    >>> history.update({'model': [new]}, is_complete=True)
    >>> [view.ident for view in history.former('model')]
    ['old']
    >>> clock.advance(30)
    >>> [view.ident for view in history.former('model')]
    ['new']
    """

    __slots__ = ('clock', 'services')

    def __init__(self, clock):
        self.clock = clock
        self.services = {}

    def update(self, by_service, *, is_complete):
        """Note the engines that accept new work.

        Parameters
        ==========

        by_service : dict
            Views of the engines by service.
        is_complete : bool
            Whether the host has received a full list before, so that engines
            which it did not know have joined now.
        """
        now = self.clock.seconds()
        for service in self.services.keys() | by_service.keys():
            records = self.services.setdefault(service, {})
            views = by_service.get(service, ())
            _note_joined(records, views, now if is_complete else _ALWAYS)
            _note_left(records, views, now)
            if not records:
                self.services.pop(service)

    def engines(self, service):
        """Return the engines that accept new work or lately did."""
        records = self.services.get(service, {})
        return [record.view for record in records.values()]

    def former(self, service):
        """Return the engines that accepted new work 30 seconds ago.

        Explanation
        ===========

        Some of them may have ended since.
        """
        since = self.clock.seconds() - HISTORY_SECONDS
        return [
            record.view
            for record in self.services.get(service, {}).values()
            if record.joined_at <= since
            and (record.left_at is None or record.left_at > since)
        ]


def _note_joined(records, views, joined_at):
    for view in views:
        record = records.get(view.ident)
        if record is None or not _is_same_process(record.view, view):
            records[view.ident] = _Record(view, joined_at)
            continue
        record.view = view
        record.left_at = None


def _note_left(records, views, now):
    idents = {view.ident for view in views}
    for ident in records.keys() - idents:
        record = records[ident]
        if record.left_at is None:
            record.left_at = now
        elif now - record.left_at >= HISTORY_SECONDS:
            records.pop(ident)


def _is_same_process(before, view):
    """Return whether two views of an identifier are of one incarnation."""
    return before.born == view.born and before.software == view.software
