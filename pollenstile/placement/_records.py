"""Placement records in the object API: models each engine serves or gets."""

from dataclasses import dataclass

from pollenstile.placement import events

PLACEMENTS = 'placements'


@dataclass(slots=True, frozen=True)
class Record:
    """Placement record of one engine.

    Parameters
    ==========

    fence : int
        Fencing number of the writer.
    intent : dict
        Model to version and adapters, as the next order will state them.
    serving : tuple of str
        Models for which the engine gets new work, sorted.
    incarnation : str
        Incarnation of the engine when its state was read.
    """

    fence: int
    intent: dict
    serving: tuple[str, ...]
    incarnation: str

    def value(self, mark):
        """Return the value to write, including the mark of the write."""
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


def intent_from_models(models):
    """Return models and their holdings in the form of a record."""
    return {
        model: [holding.version, list(holding.adapters)]
        for model, holding in sorted(models.items())
    }


def record_from_value(value):
    """Return the record that is stored as a value."""
    return Record(
        value['fence'],
        value['intent'],
        tuple(value['serving']),
        value['incarnation'],
    )


class ServingIndex:
    """Index of the models that each engine serves, from the records.

    Explanation
    ===========

    A call with an engine and a model returns whether the engine may get new
    work for the model. An engine without a record is assumed to hold all
    models of its pool, as before the first placement. During an outage of
    the object API the last records seen remain valid.

    Parameters
    ==========

    log : function
        Writes events.

    Examples
    ========

    >>> from pollenstile.ops.logs import silent_log
    >>> from pollenstile.platform import Change
    >>> holds = ServingIndex(silent_log)
    >>> holds('e1', 'draft')
    True
    >>> record = Record(3, {}, ('tags',), '1').value('erie-1/1')
    >>> holds.apply_change(Change('placements', 'erie/e1', 4, record, 4))
    >>> holds('e1', 'draft'), holds('e1', 'tags')
    (False, True)
    """

    __slots__ = ('log', 'serving')

    def __init__(self, log):
        self.log = log
        self.serving = {}

    def __call__(self, engine, model):
        """Return whether an engine may get new work for a model."""
        serving = self.serving.get(engine)
        return serving is None or model in serving

    def apply_change(self, change):
        """Apply a change of a record; callback of the platform's watch."""
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
