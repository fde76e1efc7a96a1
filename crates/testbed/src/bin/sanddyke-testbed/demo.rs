//! The sub-command `demo`: a fleet on loopback for manual experiments.

use crate::CommandOutcome;
use sanddyke_testbed::TestbedError;
use sanddyke_testbed::engine::{Spec, start};
use sanddyke_testbed::fleet::{Fleet, Plan, TENANT};
use std::path::Path;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};

/// The lease whose holder is printed.
const LEASE: &str = "backup";
const HOLDER_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Starts two engines and three managers, prints how to use them, and reports each new lease holder until a signal.
pub async fn run(program: &Path) -> Result<CommandOutcome, TestbedError> {
    let spec = Spec { cores: 4.0, memory_mb: 4096.0 };
    let engines = [start(spec).await?, start(spec).await?];
    let addresses = engines.iter().map(|engine| engine.address).collect();
    let plan = Plan { engines: addresses, backup_every_ms: 5000, ..Plan::default() };
    let fleet = Fleet::start(program, plan).await?;
    let mut holder = fleet.wait_for_holder(LEASE, None).await?;
    fleet.create_tenant().await?;
    // Both signals return from this function, so that dropping the fleet kills the managers.
    let mut terminated = signal(SignalKind::terminate())?;
    print_instructions(&fleet, holder);
    loop {
        tokio::select! {
            _ = tokio::signal::ctrl_c() => return Ok(CommandOutcome::Passed),
            _ = terminated.recv() => return Ok(CommandOutcome::Passed),
            () = tokio::time::sleep(HOLDER_POLL_INTERVAL) => {}
        }
        if let Some(new_holder) = fleet.holder(LEASE).await.filter(|new_holder| *new_holder != holder) {
            let process_id = fleet.process_id(new_holder).unwrap_or(0);
            println!("the backup is m{new_holder}'s now (process {process_id})");
            holder = new_holder;
        }
    }
}

fn print_instructions(fleet: &Fleet, holder: usize) {
    let client_address = fleet.client_address(0);
    let admin_address = fleet.admin_address(0);
    let token_file = fleet.token_file();
    let token_file = token_file.display();
    let process_id = fleet.process_id(holder).unwrap_or(0);
    println!("Three managers on two engines. Ask one of them (a new X-Txn for each query):\n");
    println!(
        "  curl -s -X POST -H 'X-Txn: 00000000000000a1' -H 'X-Ttl-Ms: 3000' -H 'X-Merchant: {TENANT}' \\"
    );
    println!("    --data 'work=50 SELECT 1 FROM s_1.t' http://{client_address}/do/lookup\n");
    println!("The fleet as m0 sees it:\n");
    println!(
        "  target/release/sanddykectl --url http://{admin_address} --token-file {token_file} fleet show\n"
    );
    println!("The scheduled backup is m{holder}'s. Stop it, see who takes over, and have it go on:\n");
    println!("  kill -STOP {process_id}; sleep 5; kill -CONT {process_id}\n\nCtrl-C ends all.");
}
