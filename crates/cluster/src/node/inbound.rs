//! Handles the messages of other managers, after a check of their sender.

use super::message::{self, Envelope, MessageRejection, PeerMessage};
use super::{Node, Output, VoterState};
use crate::lease::Incarnation;
use crate::lease_holder::Micros;
use crate::rolling_restart::{self, ReportedStatus, RestartStep};

impl Node {
    /// Decodes and handles a received message. A rejected message has no effect apart from its count.
    pub(super) fn handle_message(
        &mut self,
        now: Micros,
        bytes: &[u8],
        out: &mut Vec<Output>,
    ) -> Result<(), MessageRejection> {
        let Envelope { cluster, from, message, .. } = message::decode(bytes)?;
        if cluster != self.config.cluster {
            return Err(MessageRejection::OtherCluster);
        }
        let is_member = self.check_sender(&from)?;
        match message {
            PeerMessage::Gossip(packet) => self
                .membership
                .handle_gossip(now, &packet, &mut self.membership_events)
                .map_err(|_| MessageRejection::InvalidGossip)?,
            PeerMessage::Raft(bytes) => match &mut self.voter_state {
                VoterState::Active(voter) => {
                    voter.step(&bytes).map_err(|_| MessageRejection::NotAVoter)?;
                }
                _ => return Err(MessageRejection::NotAVoter),
            },
            PeerMessage::Discovery { id, voters } => self.handle_discovery(&from, id, voters, out)?,
            PeerMessage::LeaseRequest(routed) => self.route_request(routed, out),
            PeerMessage::LeaseResponse { nonce, outcome } => {
                self.holder.handle_outcome(now, nonce, outcome, &mut self.lease_effects);
            }
            PeerMessage::TablePoll { index } => self.send_newer_table(&from, index, out),
            PeerMessage::RestartStep { fencing_token, step } => {
                self.handle_restart_step(&from, fencing_token, step, out)?;
            }
            // Accepted from members only. Statuses are stored by name, and the number of other names is not bounded.
            PeerMessage::MemberStatus(_) if !is_member => return Err(MessageRejection::StaleIncarnation),
            PeerMessage::MemberStatus(status) => {
                out.push(Output::MemberStatus(ReportedStatus { incarnation: from, status }));
            }
            PeerMessage::LeaseTable(table) => {
                if self.voter_state.active().is_none() {
                    self.holder.update_table(now, table, &mut self.lease_effects);
                }
            }
        }
        Ok(())
    }

    /// Rejects messages of incarnations that have ended. Returns whether the sender is a member.
    fn check_sender(&mut self, from: &Incarnation) -> Result<bool, MessageRejection> {
        let member = self.membership.by_name(&from.name);
        let member_number = member.map_or(0, |member| member.incarnation.number);
        let latest = self.latest_incarnations.get(&from.name).copied().unwrap_or(0).max(member_number);
        let local = self.local_incarnation();
        let is_other_local = from.name == local.name && from != local;
        if from.number < latest || is_other_local {
            return Err(MessageRejection::StaleIncarnation);
        }
        // Only the names of members are stored, because the number of other names is not bounded.
        let is_member = member_number > 0;
        if is_member {
            self.latest_incarnations.insert(from.name.clone(), from.number);
        }
        Ok(is_member)
    }

    fn send_newer_table(&self, from: &Incarnation, index: u64, out: &mut Vec<Output>) {
        let table = self.table();
        if table.index <= index {
            return;
        }
        if let Some(to) = self.membership.address_of(&from.name) {
            self.send(to, PeerMessage::LeaseTable(table.clone()), out);
        }
    }

    /// Accepts a step only under the fencing token in the table of leases. A manager that has just started does not
    /// have the table yet, so it rejects each step until it has received the table.
    fn handle_restart_step(
        &self,
        from: &Incarnation,
        fencing_token: u64,
        step: RestartStep,
        out: &mut Vec<Output>,
    ) -> Result<(), MessageRejection> {
        let record = self.table().leases.get(rolling_restart::LEASE_NAME);
        let grant = record.and_then(|record| record.grant.as_ref());
        if !grant.is_some_and(|grant| grant.fencing_token == fencing_token && grant.holder == *from) {
            return Err(MessageRejection::StaleFencingToken);
        }
        if let Some(reply_to) = self.membership.address_of(&from.name) {
            out.push(Output::RestartStep { reply_to, step });
        }
        Ok(())
    }
}
