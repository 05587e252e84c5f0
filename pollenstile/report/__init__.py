"""HTML pages from result files of benchmarks."""

from pollenstile.report._page import page_of
from pollenstile.report._results import UnknownResult, charts_of
