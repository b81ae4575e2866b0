# On an empty machine with Python 3.11 or newer:  make demo  and  make test
VENV := .venv-make
READY := $(VENV)/ready

.PHONY: demo test
demo: $(READY)
	$(VENV)/bin/loadbalancer demo

# Four workers at the most: with more, tests of timing disturb one another.
test: $(READY)
	$(VENV)/bin/python -m pytest --numprocesses logical --maxprocesses 4 --dist worksteal

$(READY): pyproject.toml
	test -x $(VENV)/bin/python || python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check -e '.[dev]'
	touch $@
