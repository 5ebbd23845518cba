VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin
PACKAGES := core daemon cli standins
SOURCES := $(foreach package,$(PACKAGES),packages/$(package)/src) platform/geraniumshelf_platform
CHECKED := packages platform tests tools
STAMP := $(VENV)/.installed

.PHONY: setup test check format lint types unit demo measure clean

setup: $(STAMP)

$(STAMP): constraints.txt requirements-dev.txt $(foreach package,$(PACKAGES),packages/$(package)/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -c constraints.txt -r requirements-dev.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-build-isolation --no-deps $(foreach package,$(PACKAGES),-e packages/$(package))
	touch $(STAMP)

test: setup check

# Runs the checks in an environment that is already installed.
check: lint types unit

format:
	-$(BIN)/ruff check --fix --quiet $(CHECKED)
	$(BIN)/ruff format $(CHECKED)

lint:
	$(BIN)/ruff format --check $(CHECKED)
	$(BIN)/ruff check $(CHECKED)
	$(BIN)/flake8 $(CHECKED)

types:
	$(BIN)/mypy $(SOURCES)

unit:
	$(BIN)/python -m pytest

demo: setup
	$(BIN)/python tools/demo.py

measure: setup
	$(BIN)/python tools/measure.py

clean:
	rm -rf build $(VENV)
