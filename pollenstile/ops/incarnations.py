"""Names of the process lifetimes of upstreams."""


def incarnation_name(ident, born):
    """Return the unique name of one process lifetime of an upstream.

    Parameters
    ==========

    ident : str
        Identifier of the upstream, which may keep it after a restart.
    born : int
        Start of the process in Unix milliseconds; 0 when not reported.

    Examples
    ========

    >>> from pollenstile.ops.incarnations import incarnation_name
    >>> incarnation_name('i', 0)
    'i/0'
    """
    return f'{ident}/{born}'
