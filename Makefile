# build: what the deploy file does; test: everything that must hold; lint; run: the router with the example.
.PHONY: build dev test lint run bench

build:
	sh -c "$$(sed -n 's/^build = "\(.*\)"$$/\1/p' deploy/balancer.toml)"

dev:
	test -d .venv-ci || python3 -m venv .venv-ci
	.venv-ci/bin/pip -q install -r requirements-dev.txt

test: dev
	PATH="$(CURDIR)/.venv-ci/bin:$$PATH" bash tests/run

lint: dev
	.venv-ci/bin/ruff check .
	.venv-ci/bin/ruff format --check .
	.venv-ci/bin/mypy

run: build
	NODE_CONFIG=$${NODE_CONFIG:-examples/config.json} .venv/bin/python -m spoolbarrow

bench: dev
	for one in agreement connection_memory slow_start_overload admission drains event_delay failover flows fleet_updates client_disconnects lab placement startup_cpu served_share service shadow drain_propagation; do .venv-ci/bin/python benchmarks/$$one.py --short || exit 1; done
