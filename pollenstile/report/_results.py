"""Converts result files of benchmarks to charts."""

from dataclasses import dataclass

_URGENCY_CLASSES = ('urgent', 'normal', 'batch')
_FLEET_FIELDS = (
    ('apply_seconds', 'Apply to in force everywhere, s'),
    ('leaving_seconds', 'Leaving to last new work, s'),
    ('sent_bytes', 'Bytes a second a host'),
    ('cpu_ms', 'Processor ms a second a host'),
)
_MOMENT_FIELDS = ('asked', 'in_aim')
_STAGE_FIELDS = ('calls', 'pieces', 'waiting_p90', 'no_room')


class UnknownResult(Exception):
    """Raised for a file that is not a supported result."""


@dataclass(slots=True, frozen=True)
class Chart:
    """A table that is plotted as a bar chart.

    Parameters
    ==========

    title : str
        Title with the unit.
    labels : list of str
        Names of the rows.
    series : dict
        Maps the name of a column to a list of numbers, one per label.
    """

    title: str
    labels: list
    series: dict


def build_charts(document):
    """Return the charts of a benchmark's result file.

    Parameters
    ==========

    document : object
        Decoded JSON of ``bench policy``, ``bench fleet`` or ``losses``.

    Raises
    ======

    UnknownResult
        With the reason.

    Examples
    ========

    >>> from pollenstile.report import build_charts
    >>> run = {
    ...     'deployment': 'kowalczyk', 'policy': 'policy', 'scenario': '1x',
    ...     'attainment': {'urgent': 1.0}, 'goodput': 68.4, 'wasted': 0.0,
    ...     'cost': {'drafters': 10.0},
    ... }
    >>> [chart.title for chart in build_charts([run])]
    ['kowalczyk: attainment', 'kowalczyk: goodput', 'kowalczyk: cost by pool']
    """
    if isinstance(document, list):
        return _policy_charts(document)
    if isinstance(document, dict) and 'by_hosts' in document:
        return _fleet_charts(document)
    if isinstance(document, dict) and 'moments' in document:
        return _losses_charts(document)
    raise UnknownResult('not a result of bench policy, bench fleet or losses')


def _policy_charts(runs):
    charts = []
    try:
        for name in dict.fromkeys(run['deployment'] for run in runs):
            deployment_runs = [run for run in runs if run['deployment'] == name]
            charts.extend(_deployment_charts(name, deployment_runs))
    except (KeyError, TypeError) as error:
        raise UnknownResult(f'a run lacks {error}') from None
    return charts


def _deployment_charts(name, runs):
    labels = [f'{run["scenario"]} {run["policy"]}' for run in runs]
    attainment = {}
    for urgency in _URGENCY_CLASSES:
        attainment[urgency] = [
            run['attainment'].get(urgency, 0) for run in runs
        ]
    goodput = {
        'requests in time a second': [run['goodput'] for run in runs],
        'wasted share': [run['wasted'] for run in runs],
    }
    return [
        Chart(f'{name}: attainment', labels, attainment),
        Chart(f'{name}: goodput', labels, goodput),
        Chart(f'{name}: cost by pool', labels, _costs(runs)),
    ]


def _losses_charts(document):
    try:
        return _losses_tables(**document)
    except (KeyError, TypeError) as error:
        raise UnknownResult(f'a table of losses lacks {error}') from None


def _losses_tables(routes, stages, moments, bench=''):
    names = [row['route'] for row in routes]
    seconds = [str(moment['second']) for moment in moments]
    asked = {
        name: [moment[name] for moment in moments] for name in _MOMENT_FIELDS
    }
    services = [row['stage'] for row in stages]
    calls = {name: [row[name] for row in stages] for name in _STAGE_FIELDS}
    return [
        Chart('Requests by cause', names, _causes(routes)),
        Chart('Requests by second of the day', seconds, asked),
        Chart('Calls of stages', services, calls),
    ]


def _causes(routes):
    names = dict.fromkeys(cause for row in routes for cause in row['causes'])
    return {
        name: [row['causes'].get(name, 0) for row in routes] for name in names
    }


def _costs(runs):
    pools = dict.fromkeys(pool for run in runs for pool in run['cost'])
    costs = {}
    for pool in pools:
        costs[pool] = [run['cost'].get(pool, 0) for run in runs]
    return costs


def _fleet_charts(document):
    charts = []
    cases = document['by_hosts']
    for field, title in _FLEET_FIELDS:
        if not cases or field not in cases[0]:
            continue
        labels = [f'{case["hosts"]} hosts' for case in cases]
        series = {field: [case[field] for case in cases]}
        charts.append(Chart(title, labels, series))
    if not charts:
        raise UnknownResult('the fleet result has no cases')
    return charts
