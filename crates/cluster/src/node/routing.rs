//! Routes lease requests to the leader of the voters, and its responses back to the requesting manager.

use super::message::PeerMessage;
use super::{LogEvent, Node, Output, VoterState};
use crate::lease::{Incarnation, LeaseRequest, Proposal};
use crate::lease_holder::Micros;
use crate::voter::{AppliedProposal, Disk, VoterMessage, VoterOutput};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Maximum number of requests that a leader has proposed and not yet responded to. Further requests are dropped.
const MAX_PENDING_RESPONSES: usize = 4096;
/// Maximum number of times that voters which are not the leader forward one request.
const MAX_HOPS: u8 = 2;

/// A request that is routed to the leader. The wire format depends on the order of fields.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutedRequest {
    /// Identifies the request among those of the requesting manager.
    pub nonce: u64,
    /// What the manager requests.
    pub request: LeaseRequest,
    /// Number of times that voters have forwarded the request.
    pub hops: u8,
    /// The requesting manager.
    pub from: Incarnation,
    /// Address to which the response is sent.
    pub reply_to: SocketAddr,
}

/// Identifies a request across managers.
#[derive(Debug, PartialEq, Eq, Hash)]
pub(super) struct RequestId {
    from: Incarnation,
    nonce: u64,
}

impl Node {
    /// Proposes a request if this node is the leader. Otherwise forwards it towards the leader, or drops it if that is
    /// not possible. The lease holder resends dropped acquisitions and renewals.
    pub(super) fn route_request(&mut self, routed: RoutedRequest, out: &mut Vec<Output>) {
        match &self.voter_state {
            VoterState::Active(voter) if voter.is_leader() => self.propose(routed),
            VoterState::Active(voter) => {
                let leader = voter.leader_name().and_then(|name| self.membership.address_of(name));
                if let Some(leader) = leader
                    && routed.hops < MAX_HOPS
                {
                    let routed = RoutedRequest { hops: routed.hops + 1, ..routed };
                    self.send(leader, PeerMessage::LeaseRequest(routed), out);
                }
            }
            _ if routed.hops == 0 => {
                if let Some(voter) = self.next_voter() {
                    self.send(voter, PeerMessage::LeaseRequest(routed), out);
                }
            }
            _ => {}
        }
    }

    fn propose(&mut self, routed: RoutedRequest) {
        let VoterState::Active(voter) = &mut self.voter_state else { return };
        if self.pending_responses.len() >= MAX_PENDING_RESPONSES {
            return;
        }
        let RoutedRequest { nonce, request, from, reply_to, .. } = routed;
        let proposal = Proposal { from, nonce, request };
        if voter.propose(&proposal).is_ok() {
            self.pending_responses.insert(RequestId { from: proposal.from, nonce }, reply_to);
        }
    }

    /// Processes what the voter has ready, and handles its output.
    pub(super) fn run_voter(&mut self, now: Micros, disk: &mut dyn Disk, out: &mut Vec<Output>) {
        let VoterState::Active(voter) = &mut self.voter_state else { return };
        let output = match voter.process_ready(disk) {
            Ok(output) => output,
            Err(error) => {
                // All votes and entries that the voter has acknowledged are persisted, and it acknowledges no more.
                let reason = error.to_string();
                out.push(Output::LogEvent(LogEvent::VotingStopped { reason: reason.clone() }));
                self.voter_state = VoterState::Disabled { reason };
                return;
            }
        };
        let leader = voter.leader_name().cloned();
        let is_leader = voter.is_leader();
        let changed_table = output.table_changed.then(|| voter.table().clone());
        let VoterOutput { messages, applied, .. } = output;
        if leader != self.leader {
            out.push(Output::LogEvent(LogEvent::LeaderChanged { leader: leader.clone() }));
            self.leader = leader;
        }
        self.send_voter_messages(messages, out);
        for applied in applied {
            self.respond(now, applied, out);
        }
        if !is_leader {
            self.pending_responses.clear();
        }
        if let Some(table) = changed_table {
            self.holder.update_table(now, table, &mut self.lease_effects);
        }
    }

    fn send_voter_messages(&self, messages: Vec<VoterMessage>, out: &mut Vec<Output>) {
        let Some(voter) = self.voter_state.active() else { return };
        for message in messages {
            let name = voter.table().voters.get(&message.to);
            if let Some(to) = name.and_then(|name| self.membership.address_of(name)) {
                self.send(to, PeerMessage::Raft(message.bytes), out);
            }
        }
    }

    fn respond(&mut self, now: Micros, applied: AppliedProposal, out: &mut Vec<Output>) {
        let AppliedProposal { proposal: Proposal { from, nonce, .. }, outcome } = applied;
        let is_local = from == *self.local_incarnation();
        let reply_to = self.pending_responses.remove(&RequestId { from, nonce });
        if is_local {
            self.holder.handle_outcome(now, nonce, outcome, &mut self.lease_effects);
        } else if let Some(to) = reply_to {
            self.send(to, PeerMessage::LeaseResponse { nonce, outcome }, out);
        }
    }

    /// The address of the next voter in the rotation over the voters that are up, without this node. `None` if there is
    /// none.
    pub(super) fn next_voter(&mut self) -> Option<SocketAddr> {
        let local = self.config.local.address;
        let addresses: Vec<SocketAddr> = self
            .voter_names()
            .into_iter()
            .filter_map(|name| self.membership.address_of(name))
            .filter(|address| *address != local)
            .collect();
        self.next_voter_index = self.next_voter_index.wrapping_add(1);
        addresses.get(self.next_voter_index % addresses.len().max(1)).copied()
    }

    /// Names of the voters in the latest table of leases, or the configured ones if the table has none.
    fn voter_names(&self) -> Vec<&String> {
        let known = &self.table().voters;
        if known.is_empty() { self.config.voters.iter().collect() } else { known.values().collect() }
    }
}
