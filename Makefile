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
	for one in agreement cold_engines door drains event_delay failover flows follow gone lab placement ready served service shadow told; do .venv-ci/bin/python benchmarks/$$one.py --short || exit 1; done
