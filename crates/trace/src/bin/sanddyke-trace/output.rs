//! Printing results as tables and lines for people.

use sanddyke_trace::merge::Merged;
use sanddyke_trace::tools::{Info, Summary};
use serde_json::json;
use std::io::{Result, Write};

/// Prints one line for each field.
pub fn print_info(info: &Info, out: &mut impl Write) -> Result<()> {
    for (field, value) in json!(info).as_object().into_iter().flatten() {
        writeln!(out, "{field:<10} {value}")?;
    }
    Ok(())
}

/// Prints the offsets of the clocks and the number of records.
pub fn print_merged(merged: &Merged, out: &mut impl Write) -> Result<()> {
    for offset in &merged.offsets {
        writeln!(
            out,
            "{}: {} us ahead, within {} us",
            offset.manager, offset.ahead_us, offset.error_bound_us
        )?;
    }
    writeln!(out, "{} ties, {} records", merged.constraints, merged.records)
}

/// Prints a table of tenants and classes, and a line for each engine.
pub fn print_summary(summary: &Summary, out: &mut impl Write) -> Result<()> {
    writeln!(
        out,
        "{:<20} {:<10} {:>8} {:>8} {:>8} {:>8} {:>9} {:>9} {:>9}",
        "tenant", "class", "taken", "served", "refused", "failed", "p50 ms", "p95 ms", "p99 ms"
    )?;
    for row in &summary.rows {
        let ended_as = |end: &str| row.ends.get(end).copied().unwrap_or(0);
        writeln!(
            out,
            "{:<20} {:<10} {:>8} {:>8} {:>8} {:>8} {:>9.1} {:>9.1} {:>9.1}",
            row.tenant,
            row.class,
            row.received,
            ended_as("served"),
            ended_as("refused"),
            ended_as("failed"),
            row.p50_ms,
            row.p95_ms,
            row.p99_ms
        )?;
    }
    for (engine, outcomes) in &summary.engines {
        let outcomes: Vec<String> = outcomes.iter().map(|(name, count)| format!("{name} {count}")).collect();
        writeln!(out, "engine {engine}: {}", outcomes.join(", "))?;
    }
    writeln!(out, "without an answer: {}; dropped records: {}", summary.unfinished, summary.dropped)
}
