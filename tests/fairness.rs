//! The short form of the measurement in `docs/tenants.md`: the rig's experiment, with the program that these
//! tests are built with.

use sanddyke_testbed::experiment::Experiment;
use sanddyke_testbed::{TestbedError, run};
use std::path::Path;

/// Three tenants for some seconds, one of which floods at five times its share: each one's service stays near
/// its share. The bound is wider than the measurement's, as ten seconds hold few requests on a busy machine.
#[test]
fn a_flood_takes_nobodys_share() -> Result<(), TestbedError> {
    let experiment = Experiment::read(Path::new("experiments/short.toml"))?;
    let allowed = experiment.within_points.expect("a bound");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let report = runtime.block_on(run(experiment, Path::new(env!("CARGO_BIN_EXE_sanddyke"))))?;
    let table = report.csv();
    assert!(report.worst_points <= allowed, "{:.1} points:\n{table}", report.worst_points);
    for row in &report.rows {
        assert!(row.served > 40, "enough to tell:\n{table}");
        assert_eq!(row.failed, 0, "nothing fails:\n{table}");
        assert!(row.unanswered * 10 <= row.asked, "a client that gives up is rare:\n{table}");
    }
    Ok(())
}

/// An engine drains in mid-run and another stands still for two seconds: the first gets nothing new, and what the
/// second held is answered all the same.
#[test]
fn engines_that_drain_or_stand_still_lose_no_answers() -> Result<(), TestbedError> {
    let experiment = Experiment::read(Path::new("experiments/engines.toml"))?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let report = runtime.block_on(run(experiment, Path::new(env!("CARGO_BIN_EXE_sanddyke"))))?;
    let row = &report.rows[0];
    assert!(row.served * 10 >= row.asked * 8, "most are served: {row:?}");
    assert_eq!(row.served + row.refused + row.failed + row.unanswered + row.unsent, row.asked, "{row:?}");
    let [drained, stood, whole] = report.engines[..] else { panic!("three engines: {report:?}") };
    assert!(drained * 2 < whole, "one that drained after a quarter of the time: {:?}", report.engines);
    assert!(stood > 0 && stood < whole, "{:?}", report.engines);
    Ok(())
}
