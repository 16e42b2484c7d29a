# The sources of this checkout come first, also where several checkouts share one virtual environment.
export PYTHONPATH := $(CURDIR)/src
# OpenBLAS starts one thread a core by default, which small processes do not need.
export OPENBLAS_NUM_THREADS := 1
PYTHON ?= python3
BIN := .venv/bin
# The stamp names the contents of pyproject.toml, so that a new checkout does not install again.
STAMP := .venv/.installed-$(shell sha256sum pyproject.toml | cut -c1-12)

.PHONY: setup format format-check lint pytest test demo bench clean

setup: $(STAMP)

$(STAMP):
	test -x $(BIN)/python || $(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --disable-pip-version-check -e '.[standins,bench,test]'
	touch $(STAMP)

format: setup
	$(BIN)/ruff format src tests conftest.py
	$(BIN)/ruff check --fix src tests conftest.py

format-check: setup
	$(BIN)/ruff format --check src tests conftest.py

lint: setup
	$(BIN)/ruff check src tests conftest.py

pytest: setup
	$(BIN)/python -m pytest

test: format-check lint pytest

demo: setup
	$(BIN)/python -m lynxlanding_bench.demo

bench: setup
	$(BIN)/lynx-bench all

clean:
	rm -rf .venv build src/*.egg-info .pytest_cache .ruff_cache
