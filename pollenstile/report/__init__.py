"""HTML pages from result files of benchmarks."""

from pollenstile.report._page import render_page
from pollenstile.report._results import UnknownResult, build_charts
