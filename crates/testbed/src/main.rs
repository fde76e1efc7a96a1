//! `sanddyke-testbed`: runs experiments and keeps what they show.

use clap::{Parser, Subcommand};
use sanddyke_testbed::experiment::Experiment;
use sanddyke_testbed::report::Report;
use sanddyke_testbed::{TestbedError, faults, operations_endpoint, run};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Experiments on a sanddyke process with emulated engines.
#[derive(Debug, Parser)]
#[command(
    version,
    after_help = "Exit codes: 0 done; 1 the experiment could not be run; 2 the command line is \
wrong; 3 a tenant's service was off its share by more than the experiment allows, or an answer was late."
)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run an experiment.
    #[command(after_help = "Example:\n  sanddyke-testbed run experiments/flood.toml --out docs/measurements")]
    Run {
        /// The experiment.
        file: PathBuf,
        /// The program.
        #[arg(long, default_value = "target/release/sanddyke")]
        program: PathBuf,
        /// Where tables and charts are written, under the experiment's name.
        #[arg(long)]
        out: Option<PathBuf>,
        /// Print the report as JSON.
        #[arg(long)]
        json: bool,
    },
    /// Start two emulated engines and three managers on loopback, say how to ask, and what to stop next. Ctrl-C ends all.
    Demo {
        /// The program, built with the feature `cluster`.
        #[arg(long, default_value = "target/release/sanddyke")]
        program: PathBuf,
    },
    /// Play fleets on virtual time: SANDDYKE_SIM_SEED plays one seed, SANDDYKE_SIM_RUNS that many from it.
    Simulate,
    /// Play faults between processes: SANDDYKE_FAULT_SEED plays one seed, SANDDYKE_FAULT_RUNS that many from it.
    Fleet {
        /// The program, built with the feature `cluster`.
        #[arg(long, default_value = "target/release/sanddyke")]
        program: PathBuf,
        /// How long faults come in each play.
        #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(1..=600))]
        seconds: u64,
    },
    /// Measure how long a duty is without a holder, by what befalls the one that holds it.
    Duties {
        /// The program, built with the feature `cluster`.
        #[arg(long, default_value = "target/release/sanddyke")]
        program: PathBuf,
        /// How often each fault is tried.
        #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(1..=100))]
        times: u64,
        /// The lease, in ms.
        #[arg(long, default_value_t = 1500, value_parser = clap::value_parser!(u64).range(500..=60_000))]
        lease_ms: u64,
        /// Where the table and the chart are written.
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// Measure how long the second address takes to answer, under four conditions. Needs taskset.
    #[command(after_help = "Example:\n  sanddyke-testbed second --seconds 30 --out docs/measurements")]
    Second {
        /// The program.
        #[arg(long, default_value = "target/release/sanddyke")]
        program: PathBuf,
        /// How long each condition is measured.
        #[arg(long, default_value_t = 30, value_parser = clap::value_parser!(u64).range(1..=300))]
        seconds: u64,
        /// Where the table and the chart are written.
        #[arg(long)]
        out: Option<PathBuf>,
    },
}

/// The number in a variable.
fn variable(name: &str) -> Option<u64> {
    std::env::var(name).ok().and_then(|text| text.parse().ok())
}

/// The seeds that two variables ask for.
fn seeds(first: &str, runs: &str, default: u64) -> std::ops::Range<u64> {
    let from = variable(first).unwrap_or(1);
    from..from + variable(runs).unwrap_or(if variable(first).is_some() { 1 } else { default })
}

/// Says how a run of many ended, as runners of tests do.
fn tell(failed: &[(u64, String)], runs: u64) -> ExitCode {
    failed.iter().for_each(|(seed, why)| println!("seed {seed}: {why}"));
    println!("{} passed, {} failed", runs - failed.len() as u64, failed.len());
    if failed.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn simulate() -> ExitCode {
    use sanddyke_cluster::simulation::{DisabledSafeguard, SimulationPlan, SimulationSummary, run};
    let seeds = seeds("SANDDYKE_SIM_SEED", "SANDDYKE_SIM_RUNS", 300);
    let (next, runs) = (std::sync::atomic::AtomicU64::new(seeds.start), seeds.end - seeds.start);
    let results = std::sync::Mutex::new((Vec::new(), Vec::<SimulationSummary>::new()));
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                    if seed >= seeds.end {
                        return;
                    }
                    let result = run(SimulationPlan::from_seed(seed, DisabledSafeguard::None));
                    let mut results = results.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
                    match result {
                        Ok(summary) => results.1.push(summary),
                        Err(error) => results.0.push((seed, error.to_string())),
                    }
                }
            });
        }
    });
    let (mut failed, summaries) = results.into_inner().unwrap_or_else(std::sync::PoisonError::into_inner);
    failed.sort();
    let sum = |figure: fn(&SimulationSummary) -> u64| summaries.iter().map(figure).sum::<u64>();
    let (acts, fenced, grants) = (sum(|one| one.acts), sum(|one| one.fenced_acts), sum(|one| one.grants));
    println!(
        "{acts} acts, {fenced} kept out by their number, {grants} grants; after the last fault a holder within:"
    );
    let mut after: Vec<u64> = summaries.iter().map(|one| one.settled_after_us / 1000).collect();
    after.sort_unstable();
    let at = |part: f64| {
        after.get(((after.len() as f64 * part) as usize).min(after.len().saturating_sub(1))).copied()
    };
    println!("half {:?} ms, nine in ten {:?} ms, all {:?} ms", at(0.5), at(0.9), at(1.0));
    tell(&failed, runs)
}

async fn play_fleets(program: &Path, seconds: u64) -> ExitCode {
    let seeds = seeds("SANDDYKE_FAULT_SEED", "SANDDYKE_FAULT_RUNS", 6);
    let (mut failed, runs) = (Vec::new(), seeds.end - seeds.start);
    println!(
        "{:>6} {:>9} {:>7} {:>7} {:>6} {:>15}",
        "seed", "managers", "faults", "grants", "acts", "longest gap ms"
    );
    for seed in seeds {
        match faults::play(program, seed, std::time::Duration::from_secs(seconds)).await {
            Ok(one) => println!(
                "{seed:>6} {:>9} {:>7} {:>7} {:>6} {:>15}",
                one.managers, one.faults, one.grants, one.acts, one.longest_gap_ms
            ),
            Err(why) => {
                println!("{seed:>6} {why}");
                failed.push((seed, why.to_string()));
            }
        }
    }
    tell(&failed, runs)
}

async fn demo(program: &Path) -> Result<(), TestbedError> {
    use sanddyke_testbed::engine::{Spec, start};
    use sanddyke_testbed::fleet::{Fleet, Plan, TENANT};
    let spec = Spec { cores: 4.0, memory_mb: 4096.0 };
    let engines = [start(spec).await?, start(spec).await?];
    let engines = engines.iter().map(|engine| engine.address).collect();
    let fleet = Fleet::start(program, Plan { engines, backup_every_ms: 5000, ..Plan::default() }).await?;
    let mut holder = fleet.wait_for_holder("backup", None).await?;
    fleet.make_tenant().await?;
    let mut ended = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())?;
    println!("Three managers on two engines. Ask one of them (a new X-Txn for each query):\n");
    println!(
        "  curl -s -X POST -H 'X-Txn: 00000000000000a1' -H 'X-Ttl-Ms: 3000' -H 'X-Merchant: {TENANT}' \\"
    );
    println!(
        "    --data 'work=50 SELECT 1 FROM s_1.t' http://{}/do/lookup\n\nThe fleet as m0 sees it:\n",
        fleet.http(0)
    );
    let token = fleet.token_file();
    println!(
        "  target/release/sanddykectl --url http://{} --token-file {} fleet show\n",
        fleet.admin(0),
        token.display()
    );
    let id = fleet.id(holder).unwrap_or(0);
    println!("The scheduled backup is m{holder}'s. Stop it, see who takes over, and have it go on:\n");
    println!("  kill -STOP {id}; sleep 5; kill -CONT {id}\n\nCtrl-C ends all.");
    loop {
        tokio::select! {
            _ = tokio::signal::ctrl_c() => return Ok(()),
            // Told to end in another way, it takes its managers along too.
            _ = ended.recv() => return Ok(()),
            () = tokio::time::sleep(std::time::Duration::from_millis(500)) => {}
        }
        if let Some(now) = fleet.holder("backup").await.filter(|now| *now != holder) {
            println!("the backup is m{now}'s now (process {})", fleet.id(now).unwrap_or(0));
            holder = now;
        }
    }
}

async fn measure_duties(
    program: &Path,
    times: usize,
    lease_ms: u64,
    out: Option<PathBuf>,
) -> Result<(), TestbedError> {
    let rows = faults::measure(program, times, lease_ms).await?;
    print!("{}", faults::csv(&rows, lease_ms));
    if let Some(folder) = out {
        std::fs::create_dir_all(&folder)?;
        std::fs::write(folder.join("duties.csv"), faults::csv(&rows, lease_ms))?;
        faults::chart(&rows, lease_ms, &folder.join("duties.svg"))?;
    }
    Ok(())
}

fn measure_second(program: &Path, seconds: u64, out: Option<PathBuf>) -> Result<bool, TestbedError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let rows = runtime.block_on(operations_endpoint::run(program, seconds))?;
    print!("{}", operations_endpoint::csv(&rows));
    if let Some(folder) = out {
        std::fs::create_dir_all(&folder)?;
        std::fs::write(folder.join("second.csv"), operations_endpoint::csv(&rows))?;
        operations_endpoint::chart(&rows, &folder.join("second.svg"))?;
    }
    Ok(rows.iter().all(|row| row.late == 0))
}

fn keep(report: &Report, folder: &Path, name: &str) -> Result<(), TestbedError> {
    std::fs::create_dir_all(folder)?;
    std::fs::write(folder.join(format!("{name}.csv")), report.csv())?;
    std::fs::write(folder.join(format!("{name}-seconds.csv")), report.seconds_csv())?;
    report.chart(&folder.join(format!("{name}.svg")))
}

fn table(report: &Report) {
    println!("{}", report.title);
    println!(
        "{:<16} {:>6} {:>8} {:>7} {:>7} {:>7} {:>7} {:>6} {:>8} {:>8}",
        "tenant", "share", "service", "asked", "served", "refused", "failed", "lost", "p50 ms", "p99 ms"
    );
    for row in report.rows.iter().take(40) {
        println!(
            "{:<16} {:>6.3} {:>8.3} {:>7} {:>7} {:>7} {:>7} {:>6} {:>8.1} {:>8.1}",
            row.tenant,
            row.share,
            row.service,
            row.asked,
            row.served,
            row.refused,
            row.failed,
            row.unanswered + row.unsent,
            row.p50_ms,
            row.p99_ms
        );
    }
    println!("worst distance from a share: {:.2} points", report.worst_points);
}

fn failed(error: &TestbedError) -> ExitCode {
    eprintln!("sanddyke-testbed: {error}");
    ExitCode::FAILURE
}

fn main() -> ExitCode {
    let on_runtime = || tokio::runtime::Builder::new_current_thread().enable_all().build();
    let (file, program, out, json) = match Arguments::parse().command {
        Command::Simulate => return simulate(),
        Command::Demo { program } => {
            let shown =
                on_runtime().map_err(TestbedError::from).and_then(|runtime| runtime.block_on(demo(&program)));
            return shown.map_or_else(|error| failed(&error), |()| ExitCode::SUCCESS);
        }
        Command::Fleet { program, seconds } => {
            return match on_runtime() {
                Ok(runtime) => runtime.block_on(play_fleets(&program, seconds)),
                Err(error) => failed(&error.into()),
            };
        }
        Command::Duties { program, times, lease_ms, out } => {
            let measured = on_runtime().map_err(TestbedError::from).and_then(|runtime| {
                runtime.block_on(measure_duties(&program, times as usize, lease_ms, out))
            });
            return measured.map_or_else(|error| failed(&error), |()| ExitCode::SUCCESS);
        }
        Command::Run { file, program, out, json } => (file, program, out, json),
        Command::Second { program, seconds, out } => {
            return match measure_second(&program, seconds, out) {
                Ok(true) => ExitCode::SUCCESS,
                Ok(false) => ExitCode::from(3),
                Err(error) => {
                    eprintln!("sanddyke-testbed: {error}");
                    ExitCode::FAILURE
                }
            };
        }
    };
    let ran = Experiment::read(&file).and_then(|experiment| {
        let allowed = experiment.within_points;
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        Ok((runtime.block_on(run(experiment, &program))?, allowed))
    });
    let kept = ran.and_then(|(report, allowed)| {
        let name = file.file_stem().map_or("run".to_owned(), |name| name.to_string_lossy().into_owned());
        out.map_or(Ok(()), |folder| keep(&report, &folder, &name))?;
        Ok((report, allowed))
    });
    match kept {
        Ok((report, allowed)) => {
            match json {
                true => println!("{}", serde_json::to_string_pretty(&report).unwrap_or_default()),
                false => table(&report),
            }
            let off = allowed.is_some_and(|points| report.worst_points > points);
            if off { ExitCode::from(3) } else { ExitCode::SUCCESS }
        }
        Err(error) => {
            eprintln!("sanddyke-testbed: {error}");
            ExitCode::FAILURE
        }
    }
}
