.PHONY: build test lint run

build:
	cargo build --release --locked

test:
	PROPTEST_RNG_SEED=20261201 cargo test --locked --workspace --features sanddyke/cluster

lint:
	cargo fmt --all --check
	cargo clippy --locked --workspace --all-targets --features sanddyke/cluster -- -D warnings
	cargo clippy --locked -- -D warnings

run: build
	SANDDYKE_CONFIG=deploy/operator.toml target/release/sanddyke
