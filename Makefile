.PHONY: build test lint run simulate fleet-tests soak demo sites

build:
	cargo build --release --locked

test:
	PROPTEST_RNG_SEED=20261201 cargo test --locked --workspace --features sanddyke/cluster $(ARGS)

lint:
	cargo fmt --all --check
	cargo clippy --locked --workspace --all-targets --all-features -- -D warnings
	cargo clippy --locked --all-targets -- -D warnings
	RUSTDOCFLAGS='-D warnings' cargo doc --locked --workspace --all-features --no-deps

# Three managers on emulated engines, on loopback; Ctrl-C ends all.
demo:
	cargo build --release --locked --features cluster
	cargo build --release --locked --package sanddykectl --package sanddyke-testbed
	target/release/sanddyke-testbed demo

# SANDDYKE_SIM_SEED plays one seed, SANDDYKE_SIM_RUNS that many from it.
simulate:
	cargo run --release --locked --package sanddyke-testbed -- simulate

# SANDDYKE_FAULT_SEED plays one seed of faults between processes, SANDDYKE_FAULT_RUNS that many from it.
fleet-tests:
	cargo build --release --locked --features cluster
	cargo run --release --locked --package sanddyke-testbed -- fleet

run: build
	SANDDYKE_CONFIG=deploy/operator.toml target/release/sanddyke

# What the bench reads beside a site's file is laid beside the variants; it is never committed.
KIT_SITES ?= ../given/kit/sites
sites:
	cp $(KIT_SITES)/real.json $(KIT_SITES)/wire.json $(KIT_SITES)/unlock.txt deploy/sites/

# SANDDYKE_SOAK_SEED plays one seed, SANDDYKE_SOAK_RUNS that many from it, SANDDYKE_SOAK_SECONDS for each.
soak: build
	cargo build --release --locked --package sanddyke-testbed
	target/release/sanddyke-testbed soak
