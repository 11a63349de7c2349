PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: demo test lint format golden bench fuzz

demo: $(STAMP)
	$(BIN)/wigeonspoke demo

test: $(STAMP)
	$(BIN)/pytest

lint: $(STAMP)
	$(BIN)/ruff format --check wigeonspoke
	$(BIN)/flake8 wigeonspoke

format: $(STAMP)
	$(BIN)/ruff format wigeonspoke

golden: $(STAMP)
	$(BIN)/python -m wigeonspoke.core.tests.golden_sessions
	$(BIN)/python -m wigeonspoke.core.tests.golden_start

# Up to 100,000 steps for each state machine: 2,000 examples of 50 steps.
fuzz: $(STAMP)
	WIGEONSPOKE_FUZZ_EXAMPLES=2000 \
	    $(BIN)/pytest wigeonspoke/core/tests/test_ingress_fuzz.py

bench: $(STAMP)
	$(BIN)/wigeonspoke bench wire

$(STAMP): pyproject.toml constraints.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check \
	    --constraint constraints.txt --editable '.[dev]'
	touch $(STAMP)
