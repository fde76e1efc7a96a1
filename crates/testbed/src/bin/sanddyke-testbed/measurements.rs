//! The measuring sub-commands `duties`, `second` and `tds-load`.

use crate::CommandOutcome;
use sanddyke_testbed::{TestbedError, faults, operations_endpoint, tds_load};
use std::path::{Path, PathBuf};

/// Measures how long a lease has no holder, and writes the table and the chart to the folder `out`, if any.
pub async fn lease_gaps(
    program: &Path,
    times: usize,
    lease_ms: u64,
    out: Option<PathBuf>,
) -> Result<CommandOutcome, TestbedError> {
    let rows = faults::measure(program, times, lease_ms).await?;
    let table = faults::csv(&rows, lease_ms);
    print!("{table}");
    if let Some(folder) = out {
        std::fs::create_dir_all(&folder)?;
        std::fs::write(folder.join("duties.csv"), table)?;
        faults::chart(&rows, lease_ms, &folder.join("duties.svg"))?;
    }
    Ok(CommandOutcome::Passed)
}

/// Measures the response times of the operations endpoint, and writes the table and the chart to the folder `out`, if
/// any. The result is out of bounds if any call was late.
pub async fn operations_endpoint(
    program: &Path,
    seconds: u64,
    out: Option<PathBuf>,
) -> Result<CommandOutcome, TestbedError> {
    let rows = operations_endpoint::run(program, seconds).await?;
    let table = operations_endpoint::csv(&rows);
    print!("{table}");
    if let Some(folder) = out {
        std::fs::create_dir_all(&folder)?;
        std::fs::write(folder.join("second.csv"), table)?;
        operations_endpoint::chart(&rows, &folder.join("second.svg"))?;
    }
    match rows.iter().all(|row| row.late == 0) {
        true => Ok(CommandOutcome::Passed),
        false => Ok(CommandOutcome::OutOfBounds),
    }
}

/// Compares versions of the program with an engine over TDS, and prints the table.
pub async fn tds_load(plan: &tds_load::Plan) -> Result<CommandOutcome, TestbedError> {
    print!("{}", tds_load::csv(&tds_load::run(plan).await?));
    Ok(CommandOutcome::Passed)
}
