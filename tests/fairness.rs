//! A short form of the measurement in `docs/tenants.md`: the testbed's experiments with the program built for these
//! tests.

use sanddyke_testbed::experiment::Experiment;
use sanddyke_testbed::{TestbedError, run};
use std::path::Path;

/// Guards against a tenant that takes service from others by sending more than its share. Of three tenants, one sends
/// five times its share; the service of each stays near its share. The bound is wider than that of the measurement,
/// because ten seconds hold few requests on a busy machine.
#[test]
fn a_tenant_that_exceeds_its_share_takes_no_service_from_others() -> Result<(), TestbedError> {
    let experiment = Experiment::read(Path::new("experiments/short.toml"))?;
    let allowed = experiment.within_points.expect("the experiment sets within_points");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let report = runtime.block_on(run(experiment, Path::new(env!("CARGO_BIN_EXE_sanddyke"))))?;
    let table = report.csv();
    assert!(report.worst_points <= allowed, "{:.1} points:\n{table}", report.worst_points);
    for row in &report.rows {
        assert!(row.served > 40, "too few requests served to compare shares:\n{table}");
        assert_eq!(row.failed, 0, "requests failed:\n{table}");
        assert!(row.unanswered * 10 <= row.asked, "more than a tenth of the requests unanswered:\n{table}");
    }
    Ok(())
}

/// Guards against lost answers when one engine drains during the run and another is suspended for two seconds. The
/// first is sent nothing new, and requests on the second are still answered.
#[test]
fn no_answer_is_lost_when_an_engine_drains_or_is_suspended() -> Result<(), TestbedError> {
    let experiment = Experiment::read(Path::new("experiments/engines.toml"))?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let report = runtime.block_on(run(experiment, Path::new(env!("CARGO_BIN_EXE_sanddyke"))))?;
    let row = &report.rows[0];
    assert!(row.served * 10 >= row.asked * 8, "less than 80 % served: {row:?}");
    assert_eq!(row.served + row.refused + row.failed + row.unanswered + row.unsent, row.asked, "{row:?}");
    let [drained, suspended, undisturbed] = report.engines[..] else {
        panic!("expected three engines: {report:?}")
    };
    // The first engine drains after a quarter of the time.
    assert!(drained * 2 < undisturbed, "drained, suspended, undisturbed: {:?}", report.engines);
    assert!(suspended > 0 && suspended < undisturbed, "{:?}", report.engines);
    Ok(())
}
