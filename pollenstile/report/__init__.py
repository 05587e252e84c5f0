"""Pages from the result files of benches."""

from pollenstile.report._page import page_of
from pollenstile.report._results import UnknownResult, charts_of
