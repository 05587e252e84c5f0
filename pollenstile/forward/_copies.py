"""Copies of one request that this host has in flight."""


class Copies:
    """Upstreams to which this host has sent requests, by fingerprint.

    Explanation
    ===========

    Copies of a request that has not run to its end lately are sent to the same
    upstream: if the request crashes upstreams, copies that are sent before the
    first crash is known would each crash another one.

    Attributes
    ==========

    idents : dict
        Identifiers of the upstreams at which copies are in flight, one for
        each copy, by fingerprint.
    """

    __slots__ = ('idents',)

    def __init__(self):
        self.idents = {}

    def add(self, fingerprint, ident):
        """Note that a request is sent to an upstream."""
        if fingerprint:
            self.idents.setdefault(fingerprint, []).append(ident)

    def remove(self, fingerprint, ident):
        """Note that a request at an upstream has ended."""
        if not fingerprint:
            return
        idents = self.idents[fingerprint]
        idents.remove(ident)
        if not idents:
            self.idents.pop(fingerprint)

    def shared_view(self, fingerprint, views):
        """Return the one of some upstreams that runs a copy, or None."""
        idents = self.idents.get(fingerprint)
        if not idents:
            return None
        for view in views:
            if view.ident in idents:
                return view
        return None
