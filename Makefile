PYTHON ?= python3.11
VENV := .venv
READY := $(VENV)/.ready
# Tests that fail for a known fault: one a line, "test | cause | issue".
KNOWN_RED := $(shell cut -d'|' -f1 KNOWN-RED.txt)
# Tests run in so many processes, each file in one of them: in one process they take 6 minutes, in
# four 2 on 12 cores. Those that start processes of their own need a core or two besides.
TEST_PROCESSES ?= 4

.PHONY: run test check format

$(READY): requirements.txt requirements-dev.txt requirements-direct.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --requirement requirements-dev.txt
	$(VENV)/bin/pip install --quiet --no-deps --editable .
	touch $(READY)

# Runs the demonstration: a whole fleet with stand-ins in one process.
run: $(READY)
	$(VENV)/bin/hollowrack demo

# Runs exactly what CI runs.
test: $(READY)
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/mypy
	$(VENV)/bin/python -m pytest -n $(TEST_PROCESSES) --dist loadfile $(addprefix --deselect=,$(KNOWN_RED))
	@echo "Known red, not run:"; cat KNOWN-RED.txt

format: $(READY)
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .
