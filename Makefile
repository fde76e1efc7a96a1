.PHONY: build test lint run

build:
	cargo build --release --locked

test:
	cargo test --locked

lint:
	cargo fmt --check
	cargo clippy --locked --all-targets -- -D warnings

run: build
	SANDDYKE_CONFIG=deploy/operator.toml target/release/sanddyke
