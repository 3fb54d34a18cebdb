# The two commands are `make run` and `make test`; each sets up .venv itself.
VENV := .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/.installed
SEED ?= 1
MINUTES ?= 1
RUNS ?= 1
SECONDS ?= 20
BASE_PORT ?= 18000

.PHONY: run test bench proof soak node-soak lint format check-format types schema clean

$(STAMP): requirements.txt requirements-dev.txt pyproject.toml
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --requirement requirements-dev.txt
	$(VENV)/bin/pip install --quiet --no-build-isolation --no-deps --editable .
	touch $(STAMP)

run: $(STAMP)
	$(PYTHON) -m dev.run_deployment --base_port=$(BASE_PORT) $(if $(KEEP),--keep,)

test: $(STAMP)
	$(PYTHON) -m features.run_features $(ONLY)

bench: $(STAMP)
	$(PYTHON) -m bench.run_benchmarks $(ONLY)

proof: $(STAMP)
	$(PYTHON) -m dev.run_proof --base_port=$(BASE_PORT) --seed=$(SEED) $(if $(ONLY),--only='$(ONLY)',) $(if $(LONG),--long_minutes=$(LONG),)

soak: $(STAMP)
	$(PYTHON) -m dev.run_soak --base_port=$(BASE_PORT) --seed=$(SEED) --minutes=$(MINUTES)

node-soak: $(STAMP)
	$(PYTHON) -m dev.run_node_soak --seed=$(SEED) --runs=$(RUNS) --seconds=$(SECONDS)

lint: $(STAMP)
	$(VENV)/bin/ruff check bambookeel features bench dev platform
	$(VENV)/bin/pylint bambookeel bench dev platform/*.py
	$(VENV)/bin/pylint --disable=not-callable,no-value-for-parameter,unused-argument features

format: $(STAMP)
	$(VENV)/bin/ruff check --quiet --fix --select I bambookeel features bench dev platform
	$(VENV)/bin/pyink --quiet bambookeel features bench dev platform

check-format: $(STAMP)
	$(VENV)/bin/pyink --check --quiet bambookeel features bench dev platform

types: $(STAMP)
	$(VENV)/bin/mypy
	MYPYPATH=platform $(VENV)/bin/mypy --config-file pyproject.toml platform/start.py

schema: $(STAMP)
	$(PYTHON) -m bambookeel.tools.generate_schema

clean:
	rm -rf $(VENV) build
