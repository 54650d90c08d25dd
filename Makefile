# Front door: `make` lists the targets.
VENV ?= .venv
PY := $(VENV)/bin/python
PACKAGES := settings sheet policy messages transfers ownership platform targets entry daemon cli standins bench

.PHONY: help install format format-check lint types imports tables test check
.PHONY: bench-policy
.PHONY: bench-send

help:  ## list the targets
	@grep -hE '^[a-z-]+:.*##' $(MAKEFILE_LIST) | sed 's/:.*##/\t/' | sort

$(VENV)/bin/python:
	python3 -m venv $(VENV)

install: $(VENV)/bin/python  ## install the workspace into .venv
	$(PY) -m pip install -q -r requirements.txt
	$(PY) -m pip install -q --no-build-isolation --no-deps $(foreach p,$(PACKAGES),-e packages/$(p))

format:  ## format the code
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix -q .

format-check:  ## check the format
	$(VENV)/bin/ruff format --check .

lint:  ## lint the code
	$(VENV)/bin/ruff check .

types:  ## check the types
	$(VENV)/bin/mypy $(foreach p,$(PACKAGES),packages/$(p)/src) platform/berylstage_adapter

imports:  ## check that no import crosses packages the wrong way
	$(PY) tools/check_imports.py

tables:  ## write the pages' tables from the code
	$(PY) tools/write_tables.py

test:  ## run the tests
	$(PY) -m pytest $(PYTEST_OPTIONS)

.PHONY: demo demo-short up failures failures-ci bench-path bench-control
demo:  ## run an installation through a day with faults, in about a minute
	$(PY) -m berylstage_bench.demo

failures:  ## let real processes fail under load, a few minutes
	$(PY) -m pytest -m failures packages/bench tests

failures-ci:  ## the fixed part of these that CI runs, within two minutes
	$(PY) -m pytest -m failures_ci $(PYTEST_OPTIONS) packages/bench tests

bench-path:  ## what the way through the VMs adds to a request, and what costs most
	$(PY) -m berylstage_bench.path
	$(PY) -m berylstage_bench.path --profile

bench-control:  ## what control costs an idle VM, at 4, 8 and 16 VMs
	$(PY) -m berylstage_bench.control

up:  ## run an installation until Ctrl-C and print what to try
	$(PY) -m berylstage_bench.up

demo-short:  ## the same with the same checks in under 25 s
	$(PY) -m berylstage_bench.demo --short

bench-policy:  ## play the decisions under load against plain routers
	$(PY) -m berylstage_bench.policy

check: format-check lint types imports test  ## everything that CI runs

.PHONY: proto
proto:  ## generate the message code (needs grpcio-tools)
	$(PY) -m pip install -q grpcio-tools
	cd packages/messages/src && PATH=$(abspath $(VENV))/bin:$$PATH $(abspath $(PY)) -m grpc_tools.protoc -I. \
	  --python_out=. --pyi_out=. --grpclib_python_out=. berylstage_messages/*.proto

.PHONY: bench-placement bench-owned soak
bench-placement:  ## what each rule of the choice of a target earns, in a model
	$(PY) -m berylstage_bench.placement

soak:  ## faults one after the other, on the platform's stand-ins (SECONDS=60 SEED=1 STOPS=--stops|--suspended-stops|--hold-ups|--notices|--cuts|--target-cuts|--silent-targets|--uploads|--crowds)
	$(PY) tests/soak/play.py --seconds $(or $(SECONDS),60) --seed $(or $(SEED),1) $(STOPS)

bench-owned:  ## what each rule of dealing out busy keys earns, in a model
	$(PY) -m berylstage_bench.owned

bench-send:  ## measure what a request to a target costs its sender
	$(PY) -m berylstage_bench.send_cost

.PHONY: matrix bench-ownership
matrix:  ## run the whole fault matrix and print one line for each point of the brief
	BERYLSTAGE_MATRIX=full $(PY) -m pytest packages/ownership/tests/test_matrix.py -s

bench-ownership:  ## print times and costs of the lease protocol in virtual time
	$(PY) packages/ownership/tests/ownership_figures.py
