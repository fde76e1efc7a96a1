//! The state machine of one manager in a fleet. It combines the membership, the lease holder and, if the manager is a
//! voter, the voter. [`Node::handle`] accepts an input and appends the resulting outputs. The node does no I/O apart
//! from the voter's disk.
//!
//! ```text
//!   message   wire format                 group     founding, admission, state of the voter
//!   inbound   messages of other managers  routing   requests to the leader and its responses
//!   schedule  periodic work               ranking   order in which managers request a free lease
//! ```

mod group;
mod inbound;
mod input_output;
mod message;
mod ranking;
mod routing;
mod schedule;

pub use group::{AdmissionError, GroupVoters, VoterDisk, VoterIdentity};
pub use input_output::{Input, LogEvent, Output};
pub use message::{Envelope, MAX_MESSAGE_BYTES, MessageRejection, PROTOCOL_VERSION, PeerMessage};
pub use routing::RoutedRequest;

use crate::lease::{Incarnation, LeaseTable};
use crate::lease_holder::{DesiredLease, LeaseEffect, LeaseHolder, Micros};
use crate::membership::{Member, Membership, MembershipEvent};
use crate::rolling_restart::{self, MemberStatus, ReportedStatus, RestartStep};
use group::{Admission, VoterState};
use routing::RequestId;
use schedule::Schedule;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// XORed with the seed, so that the lease holder and the membership use different random numbers ("leases" in ASCII).
const HOLDER_SEED_MASK: u64 = 0x6c65_6173_6573;
/// Number of positions at which the rotation over the voters may start. The seed selects one of them.
const VOTER_ROTATION_STARTS: usize = 8;

/// Configuration of a node.
#[derive(Debug, Clone)]
pub struct NodeConfig {
    /// Name of the fleet. Messages that carry another name are rejected.
    pub cluster: String,
    /// This manager, as the other members see it.
    pub local: Member,
    /// Addresses of managers through which this one joins the fleet.
    pub seeds: Vec<SocketAddr>,
    /// Names of the managers whose voters found a new group. A founded group stores its own list.
    pub voters: Vec<String>,
    /// Duration of each lease that this manager wants to hold, in microseconds, by name of the lease.
    pub leases: BTreeMap<String, u64>,
    /// Seed of the node's random numbers.
    pub seed: u64,
}

/// State of one manager: membership, lease holder and voter.
pub struct Node {
    config: NodeConfig,
    membership: Membership,
    holder: LeaseHolder,
    voter_state: VoterState,
    voter_identity: Option<VoterIdentity>,
    /// Requests that this leader has proposed, with the address to which the response is sent.
    pending_responses: HashMap<RequestId, SocketAddr>,
    /// Number of the latest incarnation of each member, by name of the manager.
    latest_incarnations: HashMap<String, u64>,
    rejections: BTreeMap<MessageRejection, u64>,
    schedule: Schedule,
    next_seed_index: usize,
    next_voter_index: usize,
    /// Name of the manager whose voter is the leader; `None` if no leader is known.
    leader: Option<String>,
    /// Ids of voters that the group does not know, by name of the manager. They wait for admission.
    waiting_voters: BTreeMap<String, u64>,
    admission: Option<Admission>,
    /// Membership events and lease effects of the current input that are not handled yet.
    membership_events: Vec<MembershipEvent>,
    lease_effects: Vec<LeaseEffect>,
}

impl std::fmt::Debug for Node {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        out.debug_struct("Node")
            .field("local", self.local_incarnation())
            .field("voter", &self.voter_status())
            .finish_non_exhaustive()
    }
}

impl Node {
    /// Creates the node of a manager that starts at this time. With a disk, it votes once the group contains its voter
    /// id.
    pub fn start(config: NodeConfig, now: Micros, disk: Option<&dyn VoterDisk>) -> Node {
        let mut node = Node {
            membership: Membership::new(config.local.clone(), config.seed),
            holder: LeaseHolder::new(config.local.incarnation.clone(), config.seed ^ HOLDER_SEED_MASK),
            voter_state: VoterState::load(disk),
            voter_identity: disk.map(VoterDisk::identity),
            pending_responses: HashMap::new(),
            latest_incarnations: HashMap::new(),
            rejections: BTreeMap::new(),
            schedule: Schedule::new(now),
            next_seed_index: 0,
            next_voter_index: config.seed as usize % VOTER_ROTATION_STARTS,
            leader: None,
            waiting_voters: BTreeMap::new(),
            admission: None,
            membership_events: Vec::new(),
            lease_effects: Vec::new(),
            config,
        };
        node.update_ranks();
        node
    }

    /// Replaces the lease holder with [`LeaseHolder::without_safety_margin`], which is deliberately incorrect, for
    /// simulations.
    #[doc(hidden)]
    pub fn without_safety_margin(mut self) -> Node {
        self.holder = LeaseHolder::without_safety_margin(self.local_incarnation().clone(), self.config.seed);
        self.update_ranks();
        self
    }

    /// The lease holder of this manager.
    pub fn holder(&self) -> &LeaseHolder {
        &self.holder
    }

    /// The members of the fleet, as this manager sees them.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// The latest table of leases that this manager knows, from its own voter or received from another one.
    pub fn table(&self) -> &LeaseTable {
        match self.voter_state.active() {
            Some(voter) if voter.table().index > self.holder.table().index => voter.table(),
            _ => self.holder.table(),
        }
    }

    /// Number of rejected messages by reason, since the start.
    pub fn rejections(&self) -> &BTreeMap<MessageRejection, u64> {
        &self.rejections
    }

    /// Returns whether the voter of this manager is the leader.
    pub fn is_leader(&self) -> bool {
        self.voter_state.active().is_some_and(|voter| voter.is_leader())
    }

    /// Status of the voter of this manager, as text for operators.
    pub fn voter_status(&self) -> String {
        self.voter_state.to_string()
    }

    /// Identity of the voter of this manager; `None` if the manager has no voter disk.
    pub fn voter_identity(&self) -> Option<&VoterIdentity> {
        self.voter_identity.as_ref()
    }

    /// Names of managers whose voter id the group does not know. They wait until an operator admits them.
    pub fn waiting_voters(&self) -> impl Iterator<Item = &String> {
        self.waiting_voters.keys()
    }

    fn local_incarnation(&self) -> &Incarnation {
        &self.config.local.incarnation
    }

    /// Handles an input, and appends the outputs to `out`. `disk` is that of the voter, the same as at the start.
    pub fn handle(
        &mut self,
        now: Micros,
        input: Input<'_>,
        disk: Option<&mut dyn VoterDisk>,
        out: &mut Vec<Output>,
    ) {
        match input {
            Input::Tick => self.tick(now, out),
            Input::Message(bytes) => {
                if let Err(reason) = self.handle_message(now, bytes, out) {
                    *self.rejections.entry(reason).or_default() += 1;
                }
            }
            Input::WorkFinished { lease } => {
                let successor = self.successor(lease);
                self.holder.work_finished(now, lease, successor, &mut self.lease_effects);
            }
            Input::SaveCheckpoint { lease, based_on, checkpoint } => {
                self.holder.save_checkpoint(now, lease, based_on, checkpoint, &mut self.lease_effects);
            }
            Input::SendRestartStep { member, step } => self.send_restart_step(now, member, step, out),
            Input::SendStatus { to, status } => self.send_status(to, status, out),
            Input::HandOver { lease } => self.holder.hand_over(lease, &mut self.lease_effects),
            Input::SetDraining(is_draining) => {
                self.holder.set_draining(is_draining, &mut self.lease_effects);
            }
            Input::Leave => {
                self.transfer_leadership();
                self.membership.leave(now, &mut self.membership_events);
            }
        }
        self.process_events(now, disk, out);
    }

    /// Handles membership events and lease effects, and runs the voter, until no further events or effects result.
    fn process_events(&mut self, now: Micros, mut disk: Option<&mut dyn VoterDisk>, out: &mut Vec<Output>) {
        loop {
            for event in std::mem::take(&mut self.membership_events) {
                self.handle_membership_event(event, out);
            }
            for effect in std::mem::take(&mut self.lease_effects) {
                self.handle_lease_effect(effect, out);
            }
            if let Some(disk) = disk.as_deref_mut() {
                self.start_voting(disk, out);
                self.run_voter(now, disk, out);
            }
            if self.membership_events.is_empty() && self.lease_effects.is_empty() {
                return;
            }
        }
    }

    fn handle_membership_event(&mut self, event: MembershipEvent, out: &mut Vec<Output>) {
        match event {
            MembershipEvent::Send { to, packet } => {
                self.send(to.address, PeerMessage::Gossip(packet), out);
            }
            MembershipEvent::Up(member) => {
                out.push(Output::MemberUp(member));
                self.update_ranks();
            }
            MembershipEvent::Down(member) => {
                self.latest_incarnations.remove(&member.incarnation.name);
                out.push(Output::MemberDown(member));
                self.update_ranks();
            }
            MembershipEvent::Rejoined => out.push(Output::LogEvent(LogEvent::Rejoined)),
        }
    }

    fn handle_lease_effect(&mut self, effect: LeaseEffect, out: &mut Vec<Output>) {
        match effect {
            LeaseEffect::Submit { nonce, request } => {
                let routed = RoutedRequest {
                    nonce,
                    request,
                    hops: 0,
                    from: self.local_incarnation().clone(),
                    reply_to: self.config.local.address,
                };
                self.route_request(routed, out);
            }
            effect => out.push(Output::Lease(effect)),
        }
    }

    fn send_restart_step(&self, now: Micros, member: &str, step: RestartStep, out: &mut Vec<Output>) {
        let Some(fencing_token) = self.holder.fencing_token_for_operation(rolling_restart::LEASE_NAME, now)
        else {
            return;
        };
        let Some(to) = self.membership.address_of(member) else { return };
        if to == self.config.local.address {
            out.push(Output::RestartStep { reply_to: to, step });
        } else {
            self.send(to, PeerMessage::RestartStep { fencing_token, step }, out);
        }
    }

    fn send_status(&self, to: SocketAddr, status: MemberStatus, out: &mut Vec<Output>) {
        if to == self.config.local.address {
            let incarnation = self.local_incarnation().clone();
            out.push(Output::MemberStatus(ReportedStatus { incarnation, status }));
        } else {
            self.send(to, PeerMessage::MemberStatus(status), out);
        }
    }

    fn send(&self, to: SocketAddr, message: PeerMessage, out: &mut Vec<Output>) {
        let envelope = Envelope {
            version: PROTOCOL_VERSION,
            cluster: self.config.cluster.clone(),
            from: self.local_incarnation().clone(),
            message,
        };
        out.push(match message::encode(&envelope) {
            Some(bytes) => Output::Send { to, bytes },
            None => Output::LogEvent(LogEvent::MessageTooLong),
        });
    }

    /// Names of this manager and of the other members, in the order in which they request the lease when it is free.
    fn ranked(&self, lease: &str) -> Vec<&str> {
        let others = self.membership.others().map(|member| member.incarnation.name.as_str());
        ranking::ranked(lease, others.chain([self.local_incarnation().name.as_str()]))
    }

    fn successor(&self, lease: &str) -> Option<String> {
        let local = self.local_incarnation().name.as_str();
        self.ranked(lease).into_iter().find(|name| *name != local).map(str::to_owned)
    }

    fn update_ranks(&mut self) {
        let mut desired = BTreeMap::new();
        for (lease, lease_us) in &self.config.leases {
            let local = self.local_incarnation().name.as_str();
            let rank = self.ranked(lease).iter().position(|name| *name == local).unwrap_or(0) as u64;
            desired.insert(lease.clone(), DesiredLease { lease_us: *lease_us, rank });
        }
        self.holder.set_desired(desired);
    }
}
