"""Format the results of a load run as a table."""

from collections import Counter, defaultdict


def _quantile(values, share):
    ordered = sorted(values)
    index = min(len(ordered) - 1, int(share * len(ordered)))
    return ordered[index]


def summary_lines(manifest, results):
    """Return lines of attainment and latency by pipeline, and cost by stage.

    Parameters
    ==========

    manifest : Manifest
        The manifest with the deadlines of the pipelines.
    results : list of Result
        The results of all requests.
    """
    by_pipeline = defaultdict(list)
    for entry in results:
        by_pipeline[entry.pipeline].append(entry)
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
    times = [entry.seconds for entry in results]
    good = 0
    for entry in results:
        if entry.answer.outcome == 'answered' and entry.seconds <= deadline:
            good += 1
    outcomes = Counter(entry.answer.outcome for entry in results)
    counts = ', '.join(f'{key} {number}' for key, number in outcomes.items())
    return (
        f'{name:18} {len(results):5} {good / len(results):8.1%} '
        f'{_quantile(times, 0.5):7.3f} {_quantile(times, 0.95):7.3f}  {counts}'
    )


def _cost_lines(results):
    cost = Counter()
    for entry in results:
        cost.update(entry.answer.document.get('cost', {}))
    total = sum(cost.values()) or 1
    lines = []
    for stage, amount in cost.most_common():
        lines.append(f'{stage:18} {amount:9.2f} {amount / total:7.1%}')
    return lines
