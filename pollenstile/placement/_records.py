"""Records of what each engine is to hold and serves, in the object API."""

from dataclasses import dataclass

from pollenstile.placement import events

PLACEMENTS = 'placements'


@dataclass(slots=True, frozen=True)
class Record:
    """What is written of one engine.

    Parameters
    ==========

    fence : int
        Fencing number of the writer.
    intent : dict
        Model to version and adapters: what the next order will state.
    serving : tuple of str
        Models that get new work there, sorted.
    incarnation : str
        Of the engine that was read back.
    """

    fence: int
    intent: dict
    serving: tuple[str, ...]
    incarnation: str

    def value(self, mark):
        """Return the value to write, with the mark of the write."""
        return {
            'fence': self.fence,
            'intent': self.intent,
            'serving': list(self.serving),
            'incarnation': self.incarnation,
            'mark': mark,
        }


def record_name(domain, engine):
    """Return the name of an engine's record."""
    return f'{domain}/{engine}'


def intent_of(models):
    """Return models and their holdings as they stand in a record."""
    return {
        model: [holding.version, list(holding.adapters)]
        for model, holding in sorted(models.items())
    }


def record_of(value):
    """Return the record of a value."""
    return Record(
        value['fence'],
        value['intent'],
        tuple(value['serving']),
        value['incarnation'],
    )


class ServingIndex:
    """Which engine serves which model now, as the records say.

    Explanation
    ===========

    Called with an engine and a model it returns whether new work may go
    there. An engine without a record counts as holding all that its pool
    declares, as before the first placement. During an outage the last that
    was seen stays.

    Parameters
    ==========

    log : function
        Writes events.

    Examples
    ========

    >>> from pollenstile.ops.logs import silent_log
    >>> from pollenstile.platform import Change
    >>> holds = Holds(silent_log)
    >>> holds('e1', 'draft')
    True
    >>> record = Record(3, {}, ('tags',), '1').value('erie-1/1')
    >>> holds.take(Change('placements', 'erie/e1', 4, record, 4))
    >>> holds('e1', 'draft'), holds('e1', 'tags')
    (False, True)
    """

    __slots__ = ('log', 'serving')

    def __init__(self, log):
        self.log = log
        self.serving = {}

    def __call__(self, engine, model):
        """Return whether an engine takes new work for a model."""
        serving = self.serving.get(engine)
        return serving is None or model in serving

    def take(self, change):
        """Take a change of a record; for the platform's watch."""
        engine = change.name.rpartition('/')[-1]
        if change.value is None:
            self.serving.pop(engine, None)
            return
        serving = frozenset(change.value['serving'])
        if self.serving.get(engine) == serving:
            return
        self.serving[engine] = serving
        self.log(
            events.HOLDS_CHANGED,
            engine=engine,
            serving=sorted(serving),
            version=change.version,
        )
