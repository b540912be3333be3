# Targets for developers and CI. Each target installs its dependencies.
VENV := .venv
BIN := $(VENV)/bin
LIBS := $(wildcard libs/*)

.PHONY: setup format lint types unit model test fuzz soak demo fleet bench lock clean

setup: $(VENV)/.installed

$(VENV)/.installed: requirements.lock $(wildcard libs/*/pyproject.toml)
	@command -v uv >/dev/null || python3 -m pip install --quiet uv
	uv venv --quiet --allow-existing --python 3.11 $(VENV)
	uv pip sync --quiet --python $(BIN)/python --require-hashes requirements.lock
	uv pip install --quiet --python $(BIN)/python --no-deps \
	    --no-build-isolation $(addprefix -e ,$(LIBS))
	@touch $@

# The lock file contains hashes but no download URLs.
lock:
	uv export --quiet --no-emit-workspace --all-groups --no-header \
	    --no-annotate --format requirements.txt > requirements.lock

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

types: setup
	$(BIN)/mypy $(wildcard libs/*/src)
	MYPYPATH=platform $(BIN)/mypy --explicit-package-bases platform/run.py platform/adapter

# The tests with whole fleets run sequentially: each fleet needs several cores,
# and requests miss their deadlines when too many fleets share the machine.
unit: setup
	$(BIN)/python -m pytest -n 4 libs tests/adapter
	$(BIN)/python -m pytest tests --ignore=tests/adapter

model: setup
	@if [ -f model/check ]; then sh model/check; fi

test: lint types unit model

# Soak test of gateway processes under randomized faults, for example
# make soak SOAK_ARGS="--first 1 --count 50 --jobs 2".
soak: setup
	cd tests && ../$(BIN)/python -m soak $(SOAK_ARGS)

# More examples of the property tests of the borders, for example
# make fuzz FUZZ_EXAMPLES=100000.
fuzz: setup
	FUZZ_EXAMPLES=$(or $(FUZZ_EXAMPLES),20000) $(BIN)/python -m pytest -n 4 \
	    tests/adapter/test_fuzz_values.py \
	    libs/gateway/tests/test_fuzz_messages.py \
	    libs/gateway/tests/test_fuzz_leaf_terms.py libs/wire/tests/test_fuzz_frames.py

demo: setup
	@$(BIN)/python -m sapphire_bench.demo --fault=$(or $(FAULT),none)

# Keeps the demo fleet running for the drills in docs/operators.md.
fleet: setup
	@$(BIN)/python -m sapphire_bench.demo --keep

bench: setup
	$(BIN)/sapphirecross-bench run $(BENCH_ARGS)

clean:
	rm -rf $(VENV) .pytest_cache .ruff_cache .mypy_cache .hypothesis build
