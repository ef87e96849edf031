PYTHON ?= python3
VENV := .venv
UV := $(VENV)/bin/uv

.PHONY: setup demo test lint types check prove prove-baseline experiment latency capacity

$(UV):
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet uv

setup: $(UV)
	$(UV) sync --quiet

demo: setup
	$(VENV)/bin/chivelead-standins demo

test: setup
	$(VENV)/bin/pytest

lint: setup
	$(VENV)/bin/ruff format --check packages tests
	$(VENV)/bin/flake8 packages tests
	$(VENV)/bin/lint-imports

types: setup
	$(VENV)/bin/mypy packages/*/src

check: lint types test

prove: setup
	$(VENV)/bin/chivelead-standins prove

prove-baseline: setup
	$(VENV)/bin/chivelead-standins prove --baseline

experiment: setup
	$(VENV)/bin/chivelead-standins experiment

latency: setup
	$(VENV)/bin/chivelead-standins latency

capacity: setup
	$(VENV)/bin/chivelead-standins capacity
