# Every target sets up .venv from the pinned, hashed requirements first.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
PYTEST_FLAGS ?=
SEED ?= 1
SECONDS ?= 60

.PHONY: demo test lint bench soak clean

demo: $(STAMP)
	$(BIN)/python -m benchmarks.demo

test: $(STAMP)
	$(BIN)/python -m pytest $(PYTEST_FLAGS)

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

bench: $(STAMP)
	$(BIN)/python -m benchmarks.policy --seed 1

soak: $(STAMP)
	$(BIN)/python -m benchmarks.soak --seed $(SEED) --seconds $(SECONDS)

$(STAMP): requirements/development.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --require-hashes --requirement requirements/development.txt
	$(BIN)/python -m pip install --quiet --no-deps --no-build-isolation --editable .
	touch $(STAMP)

clean:
	rm -rf $(VENV) .mypy_cache .ruff_cache .pytest_cache
