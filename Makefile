# VENV names the virtual environment; `check` uses it as it is, `test` and `demo` set it up first.
VENV ?= .venv
PYTHON ?= python3
BIN = $(VENV)/bin

.PHONY: setup check test demo bench format clean

setup: $(VENV)/.stamp

$(VENV)/.stamp: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -e '.[dev]'
	touch $@

check:
	$(BIN)/black -q --check gentianthread tests bench
	$(BIN)/ruff check -q gentianthread tests bench
	$(BIN)/python -m tests.run

test: setup
	$(MAKE) --no-print-directory check

demo: setup
	$(BIN)/python -m gentianthread.commands.demo

bench: setup
	$(BIN)/python -m bench.run

format:
	$(BIN)/black -q gentianthread tests bench
	$(BIN)/ruff check -q --fix gentianthread tests bench

clean:
	rm -rf $(VENV) build *.egg-info
