PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

# The tests mostly wait, so several processes share them.
TEST_PARTS := 1 2 3 4 5
TEST_TARGETS := $(TEST_PARTS:%=test-part-%)

.PHONY: demo test test-alone $(TEST_TARGETS) lint format golden bench fuzz

demo: $(STAMP)
	$(BIN)/wigeonspoke demo

# Every part runs, and one that fails makes the whole fail.  The tests that run
# apart from other load come after all others.
test: $(STAMP)
	@failed=0; \
	$(MAKE) --no-print-directory --keep-going --jobs=$(words $(TEST_PARTS)) \
	    --output-sync=target $(TEST_TARGETS) || failed=1; \
	$(MAKE) --no-print-directory test-alone || failed=1; \
	exit $$failed

test-alone: $(STAMP)
	$(BIN)/pytest --alone

$(TEST_TARGETS): test-part-%: $(STAMP)
	$(BIN)/pytest --part=$*/$(words $(TEST_PARTS))

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
