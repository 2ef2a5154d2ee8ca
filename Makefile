PYTHON ?= python3
BIN := .venv/bin

.PHONY: build build-lab build-dev demo test lint run

build:
	test -x $(BIN)/python || $(PYTHON) -m venv .venv
	$(BIN)/pip -q install -r requirements.txt

build-lab: build
	$(BIN)/pip -q install -r requirements-lab.txt

demo: build-lab
	$(BIN)/python -m lupinladder demo

build-dev: build
	$(BIN)/pip -q install -r requirements-dev.txt

test: build-dev
	bash tests/run

lint: build-dev
	$(BIN)/ruff check .
	$(BIN)/mypy

run: build
	exec $(BIN)/python -m lupinladder
