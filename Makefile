PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: demo test install format clean

install: $(VENV)/.installed

$(VENV)/.installed: pyproject.toml requirements.lock
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $@

demo: install
	$(BIN)/python -m standins.demo

test: install
	$(BIN)/black --check --quiet src standins tests conftest.py
	$(BIN)/ruff check --quiet --no-cache src standins tests conftest.py
	$(BIN)/python -m pytest

format: install
	$(BIN)/black --quiet src standins tests conftest.py
	$(BIN)/ruff check --quiet --no-cache --fix src standins tests conftest.py

clean:
	rm -rf $(VENV) .run
