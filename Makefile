# Everything runs inside a virtual environment made here on first use.
VENV := .venv
PY := $(VENV)/bin/python
STAMP := $(VENV)/.installed

.PHONY: demo test format lint behave doctest spec stats events clean

$(STAMP): pyproject.toml constraints.txt
	test -x $(PY) || python3 -m venv $(VENV)
	$(PY) -m pip install --quiet --constraint constraints.txt --editable '.[dev]'
	touch $(STAMP)

demo: $(STAMP)
	$(VENV)/bin/pollenstile demo

test: $(STAMP)
	$(PY) tools/check.py

format: $(STAMP)
	$(VENV)/bin/ruff format .

lint: $(STAMP)
	$(PY) tools/check.py format lint

behave: $(STAMP)
	$(PY) tools/check.py behave

doctest: $(STAMP)
	$(PY) tools/check.py doctest

spec: $(STAMP)
	$(PY) tools/check.py spec

stats: $(STAMP)
	$(PY) tools/stats.py

events: $(STAMP)
	PYTHONPATH=. $(PY) tools/events.py

capacity: $(STAMP)
	$(PY) tools/capacity.py --write

settings: $(STAMP)
	PYTHONPATH=. $(PY) tools/settings.py

clean:
	rm -rf $(VENV) build *.egg-info
