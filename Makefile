# One virtual environment serves every target; it is made anew when the pins change.
VENV ?= .venv
PYTHON ?= python3
# Tests of one file run in one process, one after the other; most of them wait.
TEST_PROCESSES ?= 3
BIN = $(VENV)/bin

.PHONY: demo test lint format soak bench install

install: $(VENV)/.installed

$(VENV)/.installed: pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --editable '.[dev]'
	touch $@

demo: install
	$(BIN)/python -m redwingvalve demo

test: install
	$(BIN)/python -m pytest -n $(TEST_PROCESSES) --dist loadfile

lint: install
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8 redwingvalve tests

format: install
	$(BIN)/ruff format .

soak: install
	$(BIN)/python -m redwingvalve soak --seed 1 --duration-s 60
