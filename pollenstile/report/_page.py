"""Renders charts as an HTML page of tables, with plots if available."""

import base64
import io
from html import escape

_HEAD = """<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{title}</title>
<style>
body {{ font-family: sans-serif; max-width: 60em; margin: 2em auto; }}
td, th {{ padding: 0.2em 0.8em; text-align: right; }}
td:first-child, th:first-child {{ text-align: left; }}
img {{ max-width: 100%; }}
</style></head><body><h1>{title}</h1>
"""
_WIDTH = 9.0
_HEIGHT = 3.5
_BAR_SPACE = 0.8


def render_page(title, charts):
    """Return an HTML page with a table for each chart, and a plot if possible.

    Parameters
    ==========

    title : str
        Title of the page.
    charts : list of Chart
        Charts to show.
    """
    parts = [_HEAD.format(title=escape(title))]
    for chart in charts:
        parts.append(f'<h2>{escape(chart.title)}</h2>\n')
        parts.append(_plot(chart))
        parts.append(_table(chart))
    parts.append('</body></html>\n')
    return ''.join(parts)


def _table(chart):
    names = ''.join(f'<th>{escape(name)}</th>' for name in chart.series)
    rows = [f'<table>\n<tr><th></th>{names}</tr>\n']
    for position, label in enumerate(chart.labels):
        cells = ''.join(
            f'<td>{numbers[position]:.4g}</td>'
            for numbers in chart.series.values()
        )
        rows.append(f'<tr><td>{escape(label)}</td>{cells}</tr>\n')
    rows.append('</table>\n')
    return ''.join(rows)


def _plot(chart):
    """Return an image element, or an empty text without matplotlib."""
    try:
        from matplotlib.figure import Figure  # noqa: WPS433
    except ImportError:
        return ''
    figure = Figure(figsize=(_WIDTH, _HEIGHT), layout='constrained')
    axes = figure.subplots()
    width = _BAR_SPACE / max(1, len(chart.series))
    for number, (name, numbers) in enumerate(chart.series.items()):
        positions = [
            position + number * width for position in range(len(numbers))
        ]
        axes.bar(positions, numbers, width, label=name)
    axes.set_xticks(range(len(chart.labels)), chart.labels, rotation=45)
    axes.legend(fontsize='small')
    target = io.BytesIO()
    figure.savefig(target, format='png')
    encoded = base64.b64encode(target.getvalue()).decode()
    return f'<img alt="{escape(chart.title)}" src="data:image/png;base64,{encoded}">\n'
