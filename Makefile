PYTHON ?= .venv/bin/python
SEED ?= 1
# The tests in KNOWN-RED.txt that the verdict passes over.
KNOWN_RED := $(shell sed -n "s/^passed over: //p" KNOWN-RED.txt 2>/dev/null)
# Quoted, as the names of parametrized tests have brackets.
DESELECTED = $(foreach test,$(KNOWN_RED),--deselect='$(test)')

.PHONY: help setup test format lint types unit demo bench prove proto binary report capacity

help: ## Show the targets.
	@grep -E '^[a-z]+:.*##' $(MAKEFILE_LIST) | sed -E 's/:.*## /\t/'

.venv/.installed: requirements-dev.txt
	test -x .venv/bin/python || python3 -m venv .venv
	.venv/bin/python -m pip install --quiet --require-hashes -r requirements-dev.txt
	touch .venv/.installed

setup: .venv/.installed ## Create the virtual environment from the hashed lock file.

test: lint types unit ## Run the formatter check, the linter, the types and all tests.

format: setup ## Format the sources.
	$(PYTHON) -m ruff format .
	$(PYTHON) -m ruff check --fix .

lint: setup ## Check format and lint rules.
	$(PYTHON) -m ruff format --check .
	$(PYTHON) -m ruff check .

types: setup ## Check the types.
	$(PYTHON) -m mypy

unit: setup ## Run the tests; failures of those in KNOWN-RED.txt are only printed.
	$(if $(KNOWN_RED),-PYTHONHASHSEED=0 $(PYTHON) -m pytest $(foreach test,$(KNOWN_RED),'$(test)'))
	PYTHONHASHSEED=0 $(PYTHON) -m pytest -n 4 -m "not serial" $(DESELECTED)
	PYTHONHASHSEED=0 $(PYTHON) -m pytest -m serial $(DESELECTED)

proto: setup ## Generate the gRPC code again.
	$(PYTHON) -m grpc_tools.protoc -I . --python_out=. --pyi_out=. --grpc_python_out=. cassiaweir/rpc/cell.proto cassiaweir/rpc/node.proto

binary: setup ## Build dist/cassiaweir, one file that runs as one process.
	rm -rf build/site
	$(PYTHON) -m pip install --quiet --require-hashes --target build/site -r requirements.txt
	cp -r cassiaweir build/site/cassiaweir
	mkdir -p dist
	$(PYTHON) -m shiv --site-packages build/site --compressed --reproducible \
		--entry-point cassiaweir.cmdline:main --output-file dist/cassiaweir

demo: setup ## Show the whole path in separate processes on this machine.
	$(PYTHON) -m prove.demo

prove: setup ## Run processes under failures and check the history; SEED or SEEDS.
	$(PYTHON) -m prove.run --seed $(or $(SEEDS),$(SEED))

bench: setup ## Measure the policy against the baselines; SEED chooses the load.
	$(PYTHON) -m bench --seed $(SEED)

report: setup ## Draw the plots of the last bench into docs/.
	$(PYTHON) -m bench plots

capacity: setup ## Measure what workers, tasks, teams, requests and peers cost.
	$(PYTHON) -m lab.capacity
