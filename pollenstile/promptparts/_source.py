"""The engine that most likely keeps a shared prompt part."""

from dataclasses import dataclass

from pollenstile.ops.rendezvous import rendezvous_weight

# Number of unreachable engines from which on a failure domain counts as cut off
# if none of its engines has answered since the first failure. A single one has
# probably crashed.
_MIN_LOST_ENGINES = 2


@dataclass(slots=True, frozen=True)
class PartSource:
    """An engine to fetch shared prompt parts from.

    Parameters
    ==========

    view : UpstreamView
        The engine.
    reason : str
        ``home`` if it is the home engine of the shared part, ``former
        home`` if it was that until engines joined or left.
    """

    view: object
    reason: str


def home_engine(engines, subject):
    """Return the home engine of a subject; None if there are no engines.

    Explanation
    ===========

    Rendezvous hashing yields the same engine at every host. An engine that
    joins or leaves moves only its own subjects.
    """

    def weight(view):
        return rendezvous_weight(subject, view.ident)

    return max(engines, key=weight, default=None)


def part_source(chosen, subject, current, former):
    """Return the engine that most likely keeps shared parts, or None.

    Explanation
    ===========

    The home engine, if the request goes to another one. If the chosen engine
    has become the home engine within the last 30 seconds, the engine that was
    it before.

    Parameters
    ==========

    chosen : UpstreamView
        The engine that the request is sent to, which is never returned.
    subject : str
        The shared part that decides the home engine; empty without one.
    current : list of UpstreamView
        Engines that accept new work and can be reached.
    former : list of UpstreamView
        Engines that accepted new work 30 seconds ago and can be reached.

    Returns
    =======

    PartSource or None

    Examples
    ========

    >>> from pollenstile.forward import UpstreamView
    >>> from pollenstile.promptparts import home_engine, part_source
    >>> one, two = (UpstreamView(name, 'a:1', 'd') for name in 'xy')
    >>> home = home_engine([one, two], 'head')
    >>> other = two if home is one else one
    >>> part_source(other, 'head', [one, two], [one, two]).view is home
    True
    >>> part_source(home, 'head', [one, two], [one, two]) is None
    True
    >>> part_source(home, 'head', [one, two], [other]).reason
    'former home'
    """
    if not subject:
        return None
    home = home_engine(current, subject)
    if home is not None and home is not chosen:
        return PartSource(home, 'home')
    former_home = home_engine(former, subject)
    if former_home is None or former_home.ident == chosen.ident:
        return None
    return PartSource(former_home, 'former home')


def reachable_engines(views, now, has_lost_path):
    """Return the engines that this host has no reason to think unreachable.

    Explanation
    ===========

    An engine waits for a source that does not answer, and its request with it.
    Whether one engine reaches another is not known here, so failures of this
    host's own connections stand for it.

    Parameters
    ==========

    views : list of UpstreamView
        All engines of the service that are registered, also leaving ones.
    now : float
        Seconds on the clock.
    has_lost_path : function
        Takes an address; returns whether only peers of this host reach it.
    """
    lost = [
        view
        for view in views
        if view.unreached_since or has_lost_path(view.address)
    ]
    lost_idents = {view.ident for view in lost}
    cut_off = _cut_off_domains(views, lost, lost_idents, now)
    return [
        view
        for view in views
        if view.ident not in lost_idents
        and view.domain not in cut_off
        and _is_answering(view, now)
    ]


def _is_answering(view, now):
    if view.backoff_until > now or view.no_progress_until > now:
        return False
    return view.silent_since is None or view.silent_until <= now


def _cut_off_domains(views, lost, lost_idents, now):
    """Return the failure domains from which this host has lost all engines.

    Explanation
    ===========

    Those without an answer since the first of several failed connections; the
    remaining engines of the domain may not have been tried since. The host's
    own domain and small ones count too, unlike for the choice of upstreams.
    """
    since = {}
    for view in lost:
        times = since.setdefault(view.domain, [])
        times.append(view.unreached_since or now)
    return {
        domain
        for domain, times in since.items()
        if len(times) >= _MIN_LOST_ENGINES
        and not any(
            view.heard_at > min(times)
            for view in views
            if view.domain == domain and view.ident not in lost_idents
        )
    }
