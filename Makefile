# `make test` and `make demo` create the virtual environment if necessary.
VENV ?= .venv
PYTHON = $(VENV)/bin/python
CHECKED = primroselock standins tools

.PHONY: test demo lint unit format binary

test: lint unit

demo: $(VENV)/.installed
	$(PYTHON) -m tools.demo

lint: $(VENV)/.installed
	$(PYTHON) -m ruff format --check $(CHECKED)
	$(PYTHON) -m flake8 $(CHECKED)
	$(PYTHON) -m mypy

unit: $(VENV)/.installed
	$(PYTHON) -m tools.runtests

binary: $(VENV)/.installed
	$(PYTHON) -m tools.binary dist/primroselock

format: $(VENV)/.installed
	$(PYTHON) -m tools.sortimports $(CHECKED)
	$(PYTHON) -m ruff format $(CHECKED)

$(VENV)/.installed: requirements.txt
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --disable-pip-version-check \
	    --requirement requirements.txt
	touch $@
