//! The group of voters: its founding, the admission of a voter whose file was lost, and the state of this node's voter.
//!
//! The voters of a new group send each other their ids. A voter starts to vote once it knows the ids of all voters. If
//! a founded group does not know the id of a voter, the file of this voter was lost. Its earlier votes and acknowledged
//! log entries may be lost with the file, so it does not vote until an operator admits it under its new id.

use super::message::{MessageRejection, PeerMessage};
use super::{LogEvent, Node, Output};
use crate::lease::{Incarnation, LeaseTable};
use crate::lease_holder::Micros;
use crate::voter::{Disk, PersistedState, Voter, VoterError};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use thiserror::Error;

/// Time between two steps of an admission, in microseconds.
const ADMISSION_INTERVAL_US: Micros = 500_000;

/// Names of the managers whose voters form the group, by voter id.
pub type GroupVoters = BTreeMap<u64, String>;

/// Identity of a voter, as stored on its disk.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterIdentity {
    /// Id of the voter, chosen at random when its file is created. A voter whose file was lost has another id
    /// afterwards.
    pub id: u64,
    /// Whether the voter has joined a group.
    pub founded: bool,
}

/// Durable storage of a voter and its identity.
pub trait VoterDisk: Disk {
    /// The identity of the voter whose state is stored here.
    fn identity(&self) -> VoterIdentity;
    /// Stores the initial state of the voter's group atomically.
    ///
    /// # Errors
    /// If the state can't be stored. The text is for operators.
    fn initialize(&mut self, state: &PersistedState) -> Result<(), String>;
    /// Loads the persisted state.
    ///
    /// # Errors
    /// If the state can't be loaded. The text is for operators.
    fn load(&self) -> Result<PersistedState, String>;
}

/// State of a node's voter.
pub(super) enum VoterState {
    /// This manager has no voter disk, because it is not configured as a voter or its voter file can't be used.
    NotVoter,
    /// This node does not know of a founded group. Contains the ids that other voters have sent, by name of the
    /// manager.
    Forming(HashMap<String, u64>),
    /// The voter runs. It votes if the group contains its id.
    Active(Box<Voter>),
    /// The voter does not vote, because its disk failed or its file was lost. After the loss of its file, it votes
    /// again once an operator has admitted it.
    Disabled {
        /// Cause, as text for operators.
        reason: String,
    },
}

impl VoterState {
    /// Loads the state at the start of the node.
    pub(super) fn load(disk: Option<&dyn VoterDisk>) -> VoterState {
        let Some(disk) = disk else { return VoterState::NotVoter };
        let identity = disk.identity();
        if !identity.founded {
            return VoterState::Forming(HashMap::new());
        }
        let state = disk.load().map_err(VoterError::Corrupt);
        VoterState::from_result(state.and_then(|state| Voter::start(identity.id, &state)))
    }

    fn from_result(voter: Result<Voter, VoterError>) -> VoterState {
        match voter {
            Ok(voter) => VoterState::Active(Box::new(voter)),
            Err(error) => VoterState::Disabled { reason: error.to_string() },
        }
    }

    /// The running voter; `None` in all other states.
    pub(super) fn active(&self) -> Option<&Voter> {
        match self {
            VoterState::Active(voter) => Some(voter),
            _ => None,
        }
    }
}

impl std::fmt::Display for VoterState {
    /// The text that the administration API returns.
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            VoterState::NotVoter => out.write_str("no voter"),
            VoterState::Forming(_) => out.write_str("waits for the group to be founded"),
            VoterState::Active(voter) if !voter.is_member() => {
                out.write_str("is not in the group, as far as its log goes")
            }
            VoterState::Active(voter) if voter.is_leader() => {
                write!(out, "leads in term {}", voter.term())
            }
            VoterState::Active(voter) => write!(out, "votes in term {}", voter.term()),
            VoterState::Disabled { reason } => write!(out, "has no vote: {reason}"),
        }
    }
}

/// Why a voter was not admitted.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum AdmissionError {
    /// This manager is not the leader, and only the leader can admit voters.
    #[error("only the leader can: {}", leader.as_deref().unwrap_or("not known"))]
    NotLeader {
        /// Name of the manager whose voter is the leader; `None` if no leader is known.
        leader: Option<String>,
    },
    /// No voter of this name waits for admission at the leader.
    #[error("{name} does not wait to be let in")]
    NotWaiting {
        /// Name that the operator gave.
        name: String,
    },
}

/// A voter that is being admitted.
pub(super) struct Admission {
    name: String,
    id: u64,
}

impl Node {
    /// Starts the admission of a voter under its current id. The group removes its old id. Only the leader can admit
    /// voters.
    ///
    /// # Errors
    /// If this manager is not the leader, or the voter is not waiting for admission.
    pub fn admit(&mut self, name: &str) -> Result<(), AdmissionError> {
        if !self.is_leader() {
            return Err(AdmissionError::NotLeader { leader: self.leader.clone() });
        }
        let name = name.to_owned();
        let Some(id) = self.waiting_voters.get(&name).copied() else {
            return Err(AdmissionError::NotWaiting { name });
        };
        self.admission = Some(Admission { name, id });
        Ok(())
    }

    /// Proposes the next step of an admission. The first step removes the old id, the second one adds the new id. Each
    /// step is a log entry.
    pub(super) fn advance_admission(&mut self, now: Micros) {
        let VoterState::Active(voter) = &mut self.voter_state else { return };
        let Some(Admission { name, id }) = &self.admission else { return };
        if !voter.is_leader() || now < self.schedule.admission_at_us {
            return;
        }
        self.schedule.admission_at_us = now + ADMISSION_INTERVAL_US;
        let voters = &voter.table().voters;
        let old_id =
            voters.iter().find(|(known_id, known)| *known == name && *known_id != id).map(|(id, _)| *id);
        // The raft library accepts one membership change at a time. A step that was rejected or not applied is proposed
        // again.
        if let Some(old_id) = old_id {
            let _retried = voter.remove_voter(old_id);
        } else if !voters.contains_key(id) {
            let _retried = voter.add_voter(*id, name);
        } else {
            self.waiting_voters.remove(name);
            self.admission = None;
        }
    }

    /// Transfers the leadership to another voter that is up, so that the group does not have to wait for the election
    /// timeout.
    pub(super) fn transfer_leadership(&mut self) {
        let VoterState::Active(voter) = &mut self.voter_state else { return };
        if !voter.is_leader() {
            return;
        }
        let is_up = |name: &str| self.membership.others().any(|other| other.incarnation.name == name);
        let next = voter.table().voters.iter().find(|(id, name)| **id != voter.id() && is_up(name));
        if let Some(id) = next.map(|(id, _)| *id) {
            voter.transfer_leadership(id);
        }
    }

    /// Handles the discovery message of another voter.
    pub(super) fn handle_discovery(
        &mut self,
        from: &Incarnation,
        id: u64,
        voters: Option<GroupVoters>,
        out: &mut Vec<Output>,
    ) -> Result<(), MessageRejection> {
        let is_configured = self.config.voters.contains(&from.name);
        if !is_configured && !self.table().voters.values().any(|name| *name == from.name) {
            return Err(MessageRejection::NotAVoter);
        }
        let local_id = self.voter_identity.as_ref().map(|identity| identity.id);
        match (&mut self.voter_state, voters) {
            (VoterState::Active(voter), None) => {
                // The sender may have missed the founding of the group, or its file was lost.
                let voters = voter.table().voters.clone();
                if !voters.contains_key(&id) {
                    self.waiting_voters.insert(from.name.clone(), id);
                }
                if let (Some(to), Some(id)) = (self.membership.address_of(&from.name), local_id) {
                    self.send(to, PeerMessage::Discovery { id, voters: Some(voters) }, out);
                }
            }
            (VoterState::Forming(ids), None) => {
                ids.insert(from.name.clone(), id);
            }
            (VoterState::Forming(ids), Some(voters)) => {
                if local_id.is_some_and(|local_id| voters.contains_key(&local_id)) {
                    *ids = voters.into_iter().map(|(id, name)| (name, id)).collect();
                } else {
                    let reason = "its file was lost: the group knows it under another number".to_owned();
                    out.push(Output::LogEvent(LogEvent::VoteUnavailable { reason: reason.clone() }));
                    self.voter_state = VoterState::Disabled { reason };
                }
            }
            _ => {}
        }
        Ok(())
    }

    /// Starts the voter once the ids of all voters are known, or once this voter has been admitted.
    pub(super) fn start_voting(&mut self, disk: &mut dyn VoterDisk, out: &mut Vec<Output>) {
        let Some(identity) = &self.voter_identity else { return };
        let id = identity.id;
        let Some(voters) = self.initial_voters(identity) else { return };
        let voter_count = voters.len();
        let table = LeaseTable { voters, ..LeaseTable::default() };
        let voter = PersistedState::initial(&table).and_then(|state| {
            disk.initialize(&state).map_err(VoterError::Disk)?;
            Voter::start(id, &state)
        });
        if voter.is_ok() {
            out.push(Output::LogEvent(LogEvent::VotingStarted { voters: voter_count }));
        }
        self.voter_identity = Some(VoterIdentity { id, founded: true });
        self.voter_state = VoterState::from_result(voter);
    }

    /// The group that this voter starts with; `None` if it can't start yet.
    fn initial_voters(&self, identity: &VoterIdentity) -> Option<GroupVoters> {
        match &self.voter_state {
            VoterState::Forming(ids) => {
                let local = (self.local_incarnation().name.clone(), identity.id);
                let all: HashMap<String, u64> = ids.clone().into_iter().chain([local]).collect();
                let is_complete = self.config.voters.iter().all(|name| all.contains_key(name));
                is_complete.then(|| all.into_iter().map(|(name, id)| (id, name)).collect())
            }
            // The voter was admitted under its new id. It starts without a log, and the leader sends it the log.
            VoterState::Disabled { .. } if !identity.founded => {
                let known = &self.holder.table().voters;
                let others = || known.clone().into_iter().filter(|(id, _)| *id != identity.id).collect();
                known.contains_key(&identity.id).then(others)
            }
            _ => None,
        }
    }
}
