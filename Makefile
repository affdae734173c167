.PHONY: build check test lint run demo try ledger-fault-test shutdown-stress-test ledger-benchmark gateway-conformance-test

build:
	cargo build --release --locked

# Checks that the programs start and that the sample settings are valid.
check: build
	target/release/query-aggregator --version
	target/release/query-aggregator check --settings deploy/query-aggregator.ini > /dev/null

# The programs first: tests start them.
test:
	cargo build --locked --workspace
	cargo test --locked --workspace $(TEST_ARGS)

lint:
	cargo fmt --all --check
	cargo clippy --locked --workspace --all-targets -- -D warnings

# A complete installation on loopback, until Ctrl-C.
demo: build
	exec target/release/demo

# The same for five seconds; fails if no query is answered.
try: build
	exec target/release/demo --seconds 5

# One aggregator with the configuration that BALANCER_CONFIG names.
run: build
	exec target/release/query-aggregator

# Faults of three aggregators, the settlement and the receiver; the ledger's totals must equal what the clients sent.
ledger-fault-test: build
	exec target/release/ledger-fault-test $(ARGS)

# The cost of the usage log, and the speed of a large settlement.
ledger-benchmark: build
	exec target/release/ledger-benchmark $(ARGS)

# Shutdowns under load, with client deadlines shorter and longer than each phase; no request may be lost.
shutdown-stress-test: build
	exec target/release/shutdown-stress-test $(ARGS)

# The same searches through both frontends; each page is compared with the exact one.
gateway-conformance-test: build
	exec target/release/gateway-conformance-test $(ARGS)
