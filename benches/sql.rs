//! Benchmarks of the lexer: the time to find the table group of a statement, and to replace its parameters.
//!
//! `cargo bench --bench sql` prints each figure.

use criterion::{Criterion, Throughput, criterion_group, criterion_main};
use sanddyke::core::MAX_STATEMENT_BYTES;
use sanddyke::sql::{self, Binding, Literal};
use std::hint::black_box;
use std::time::Duration;

/// A statement as the platform's clients send it.
const USUAL: &str = "SELECT day, count(*), max(note) FROM sales_17.orders WHERE tag = '3f9c' GROUP BY day";
/// Length of the long statements, in bytes. Most have no table group, so they are read to the end.
const LONG_BYTES: usize = 8_000;

fn repeated(unit: &str) -> String {
    unit.repeat(LONG_BYTES / unit.len())
}

fn table_groups(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("table_group");
    group.measurement_time(Duration::from_secs(1)).warm_up_time(Duration::from_millis(200));
    let statements = [
        ("usual", USUAL.to_owned()),
        ("names", repeated("first, second, ")),
        ("strings", repeated("'it''s a note' ")),
        ("comments", format!("/*{}*/", repeated("a comment * "))),
        ("quoted names", repeated("[first] \"second\" ")),
        ("open brackets", repeated("[")),
        ("usual, at the end", format!("{} {USUAL}", repeated("first, 'second', "))),
    ];
    for (name, statement) in statements {
        group.throughput(Throughput::Bytes(statement.len() as u64));
        group.bench_function(name, |bencher| bencher.iter(|| sql::table_group(black_box(&statement))));
    }
    group.finish();
}

fn bindings(criterion: &mut Criterion) {
    let statement = format!("{USUAL} {}", "AND a = @first AND b = @second ".repeat(20));
    let binding =
        |name: &str| Binding { parameter: name.to_owned(), literal: Literal::Text("value".to_owned()) };
    let bindings = [binding("@first"), binding("@second")];
    let mut group = criterion.benchmark_group("bind");
    group.measurement_time(Duration::from_secs(1)).warm_up_time(Duration::from_millis(200));
    group.bench_function("two parameters, 20 times each", |bencher| {
        bencher.iter(|| sql::bind(black_box(&statement), black_box(&bindings), MAX_STATEMENT_BYTES));
    });
    group.finish();
}

criterion_group!(benches, table_groups, bindings);
criterion_main!(benches);
