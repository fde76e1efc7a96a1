//! The duty of scheduled backups: one copy of the store each period, whoever holds it.
//!
//! A period is a whole number of its length since the Unix epoch, the same for every manager. The copy's name is the
//! period's, and it appears under it only once it is whole and where there is none (`Store::backup`); the voters' note
//! says the last period that is done. So a holder that dies before its note leaves a file that the next one finds, and
//! one that was stopped in the middle and goes on later finds the name taken: neither makes a second.

use super::{Cluster, DutyNews};
use crate::clock::Clock;
use crate::tenants::TenantService;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// The duty's name.
pub const DUTY: &str = "backup";
/// How often a holder looks whether a period has begun.
const LOOK_EVERY: Duration = Duration::from_millis(200);

/// Does the duty's work for as long as the program runs.
pub async fn run(
    cluster: Cluster,
    mut news: mpsc::Receiver<DutyNews>,
    tenant_service: Arc<TenantService>,
    clock: Clock,
    every_ms: u64,
) {
    let mut looks = tokio::time::interval(LOOK_EVERY);
    looks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            told = news.recv() => match told {
                // Between two looks nothing is begun.
                Some(DutyNews::Finish) => cluster.finished(DUTY).await,
                Some(DutyNews::Began | DutyNews::Noted | DutyNews::Ended) => {}
                None => return,
            },
            _ = looks.tick() => {
                let period = clock.unix_ms() / every_ms;
                let (on, note) = cluster.note_of(DUTY);
                let done = note.parse().ok();
                if done.is_some_and(|done: u64| done >= period) {
                    continue;
                }
                let Some(fence) = cluster.may_act(DUTY) else { continue };
                match tenant_service.backup_as(&format!("period-{period}.redb"), fence).await {
                    Ok(made) => {
                        let how = if made { "written" } else { "there already" };
                        log::info!("duty {DUTY}: period {period} fence={fence} at_us={}: {how}", clock.unix_us());
                        cluster.note(DUTY, on, period.to_string()).await;
                        // The note is seen within some rounds of the voters; until then the look above finds the file.
                        tokio::time::sleep(LOOK_EVERY).await;
                    }
                    Err(error) => {
                        log::error!("duty {DUTY}: period {period} fence={fence}: {error}");
                        tokio::time::sleep(5 * LOOK_EVERY).await;
                    }
                }
            }
        }
    }
}
