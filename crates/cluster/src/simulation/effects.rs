//! Passes inputs to the nodes of the managers, and applies the outputs of the nodes to the simulated fleet.

use super::fleet::SimulatedFleet;
use super::{DisabledSafeguard, LEASES, Violation};
use crate::lease_holder::LeaseEffect;
use crate::node::{Input, Output};

/// Number of tables that are retained for comparison, those with the highest log indexes.
const RETAINED_TABLES: usize = 64;

/// Index of a lease in [`LEASES`].
fn lease_index(lease: &str) -> usize {
    LEASES.iter().position(|known| *known == lease).unwrap_or(0)
}

impl SimulatedFleet {
    /// Passes an input to a manager, and applies the outputs.
    pub(super) fn input(&mut self, manager: usize, input: Input<'_>) -> Result<(), Violation> {
        let outputs = self.managers[manager].handle(self.now, input);
        self.compare_tables(manager)?;
        for output in outputs {
            match output {
                Output::Send { to, bytes } => self.send(manager, to, bytes),
                Output::Lease(effect) => self.handle_effect(manager, effect)?,
                Output::MemberUp(_)
                | Output::MemberDown(_)
                | Output::RestartStep { .. }
                | Output::MemberStatus(_)
                | Output::LogEvent(_) => {}
            }
        }
        Ok(())
    }

    /// Returns a violation if the manager is a leader and its table differs from that of another leader at the same log
    /// index.
    fn compare_tables(&mut self, manager: usize) -> Result<(), Violation> {
        let Some(node) = self.managers[manager].node.as_ref().filter(|node| node.is_leader()) else {
            return Ok(());
        };
        let table = node.table();
        let index = table.index;
        if self.tables.entry(index).or_insert_with(|| table.clone()) != table {
            return Err(Violation::DivergentTables { index });
        }
        while self.tables.len() > RETAINED_TABLES {
            self.tables.pop_first();
        }
        Ok(())
    }

    fn handle_effect(&mut self, manager: usize, effect: LeaseEffect) -> Result<(), Violation> {
        let clock = self.managers[manager].clock;
        match effect {
            LeaseEffect::Acquired { lease, fencing_token, expires_at_us } => {
                self.summary.grants += 1;
                let until = clock.true_time(expires_at_us);
                self.holders.acquire(lease_index(&lease), manager, fencing_token, until);
                self.check_single_holder(lease_index(&lease), manager)?;
            }
            LeaseEffect::Extended { lease, expires_at_us, .. } => {
                self.holders.extend(lease_index(&lease), manager, clock.true_time(expires_at_us));
                self.check_single_holder(lease_index(&lease), manager)?;
            }
            LeaseEffect::Ended { lease, .. } => self.holders.end(lease_index(&lease), manager),
            LeaseEffect::FinishWork { lease, .. } => {
                self.input(manager, Input::WorkFinished { lease: &lease })?;
            }
            LeaseEffect::Submit { .. } | LeaseEffect::CheckpointSaved { .. } => {}
        }
        self.update_holder_gaps();
        Ok(())
    }

    /// Processes an operation at its resource. The resource rejects fencing tokens below the highest one that it has
    /// accepted.
    pub(super) fn accept_operation(&mut self, lease: usize, fencing_token: u64) -> Result<(), Violation> {
        let highest = self.highest_tokens[lease];
        let is_stale = fencing_token < highest;
        if is_stale && self.plan.disabled != DisabledSafeguard::Fencing {
            self.summary.fenced_operations += 1;
            return Ok(());
        }
        if is_stale {
            return Err(Violation::StaleOperation { lease: LEASES[lease], fencing_token, highest });
        }
        self.highest_tokens[lease] = fencing_token;
        self.summary.operations += 1;
        Ok(())
    }
}
