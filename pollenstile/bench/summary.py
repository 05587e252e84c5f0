"""Readable summaries of results."""

from collections import Counter, defaultdict


def _quantile(values, share):
    ordered = sorted(values)
    place = min(len(ordered) - 1, int(share * len(ordered)))
    return ordered[place]


def summary_lines(manifest, results):
    """Return lines: attainment, outcomes and latency by pipeline, and cost.

    Parameters
    ==========

    manifest : Manifest
        For deadlines.
    results : list of Result
        What callers got.
    """
    by_pipeline = defaultdict(list)
    for one in results:
        by_pipeline[one.pipeline].append(one)
    lines = [
        f'{"pipeline":18} {"sent":>5} {"in time":>8} {"p50 s":>7} '
        f'{"p95 s":>7}  outcomes',
    ]
    for name in sorted(by_pipeline):
        deadline = manifest.pipelines[name].deadline_ms / 1000
        lines.append(_line(name, deadline, by_pipeline[name]))
    lines.append('')
    lines.append(f'{"stage":18} {"cost":>9} {"share":>7}')
    lines.extend(_cost_lines(results))
    return lines


def _line(name, deadline, results):
    times = [one.seconds for one in results]
    good = 0
    for one in results:
        if one.answer.outcome == 'answered' and one.seconds <= deadline:
            good += 1
    outcomes = Counter(one.answer.outcome for one in results)
    told = ', '.join(f'{key} {number}' for key, number in outcomes.items())
    return (
        f'{name:18} {len(results):5} {good / len(results):8.1%} '
        f'{_quantile(times, 0.5):7.3f} {_quantile(times, 0.95):7.3f}  {told}'
    )


def _cost_lines(results):
    cost = Counter()
    for one in results:
        cost.update(one.answer.document.get('cost', {}))
    total = sum(cost.values()) or 1
    lines = []
    for stage, amount in cost.most_common():
        lines.append(f'{stage:18} {amount:9.2f} {amount / total:7.1%}')
    return lines
