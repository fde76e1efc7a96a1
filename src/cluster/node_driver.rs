//! Drives the node on its own thread. It passes time, messages and commands to the node, and applies the outputs of the
//! node.

use super::handle::{Cluster, NodeCommand};
use super::peer_transport::PeerTransport;
use super::voter_disk::FileVoterDisk;
use super::{
    ClusterView, CommandError, HeldLease, HeldLeases, LeaseEvent, LeaseView, MemberView, MessageCounters,
    ProcessControl,
};
use crate::clock::{Clock, Micros};
use crate::config::ClusterSettings;
use crate::memory::MemoryBudget;
use sanddyke_cluster::rolling_restart::{MemberStatuses, ReportedStatus};
use sanddyke_cluster::{
    Incarnation, Input, LeaseEffect, Member, Node, NodeConfig, Output, TICK_US, VoterDisk,
};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};

/// Capacity of the queue of commands and of the queue of received messages.
const QUEUE_CAPACITY: usize = 1024;
/// Capacity of the queue of events of one lease. Further events are dropped.
const EVENT_QUEUE_CAPACITY: usize = 16;
/// Interval at which the time is passed to the node: half a tick of the voter.
const TICK_INTERVAL: Duration = Duration::from_micros(TICK_US / 2);
/// Interval at which the view of the fleet is published. It is also published at each change of a lease.
const VIEW_INTERVAL: Duration = Duration::from_millis(200);

/// The fleet that this manager has joined.
#[derive(Debug)]
pub struct JoinedCluster {
    /// Handle to the node; cloned for each task that uses it.
    pub cluster: Cluster,
    /// Events for the tasks that do the work under the leases, by name of the lease.
    pub lease_events: BTreeMap<String, mpsc::Receiver<LeaseEvent>>,
}

/// Joins the fleet, and starts the thread of the node.
///
/// # Errors
/// If the address can't be listened on, or the thread can't be started. A voter file that can't be used is not an
/// error: this manager logs the cause and serves without a vote.
pub fn start(
    fleet: ClusterSettings,
    name: &str,
    clock: Clock,
    seed: u64,
    process: ProcessControl,
    memory: MemoryBudget,
) -> std::io::Result<JoinedCluster> {
    let listener = std::net::TcpListener::bind(fleet.listen)?;
    listener.set_nonblocking(true)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let disk = open_voter_disk(&fleet, name);
    let config = node_config(&fleet, name, &clock, seed);
    let (commands, command_queue) = mpsc::channel(QUEUE_CAPACITY);
    let (view_sender, view) = watch::channel(Arc::default());
    let (held_sender, held) = watch::channel(HeldLeases::new());
    let (statuses_sender, statuses) = watch::channel(MemberStatuses::default());
    let mut event_senders = BTreeMap::new();
    let mut lease_events = BTreeMap::new();
    for lease in &fleet.leases {
        let (sender, receiver) = mpsc::channel(EVENT_QUEUE_CAPACITY);
        event_senders.insert(lease.clone(), sender);
        lease_events.insert(lease.clone(), receiver);
    }
    let published = PublishedState { view: view_sender, held: held_sender, statuses: statuses_sender };
    let listen = fleet.listen;
    std::thread::Builder::new().name("cluster".to_owned()).spawn(move || {
        runtime.block_on(async move {
            let listener = match tokio::net::TcpListener::from_std(listener) {
                Ok(listener) => listener,
                Err(error) => return log::error!("cluster: {error}"),
            };
            let (inbox_sender, inbox) = mpsc::channel(QUEUE_CAPACITY);
            let transport = PeerTransport::start(listener, listen, inbox_sender, memory);
            let node = start_node(config, &clock, disk.as_ref());
            let driver = NodeDriver {
                node,
                disk,
                clock,
                transport,
                event_senders,
                published,
                process,
                sent: MessageCounters::default(),
                pending_leaves: Vec::new(),
            };
            driver.run(command_queue, inbox).await;
        });
    })?;
    let cluster = Cluster { commands, view, held, statuses, name: name.into(), clock };
    Ok(JoinedCluster { cluster, lease_events })
}

/// Opens the voter file. Returns `None` if this manager is not configured as a voter, or the file can't be used.
fn open_voter_disk(fleet: &ClusterSettings, name: &str) -> Option<FileVoterDisk> {
    if !fleet.voters.iter().any(|voter| voter == name) {
        return None;
    }
    match FileVoterDisk::open(fleet.voter_file.as_ref()?) {
        Ok(disk) => Some(disk),
        Err(error) => {
            log::error!("cluster: no vote: {error}");
            None
        }
    }
}

fn node_config(fleet: &ClusterSettings, name: &str, clock: &Clock, seed: u64) -> NodeConfig {
    // The incarnation is the start time in ms. Two starts under one name in the same millisecond would share it, but no
    // process supervisor restarts that fast.
    let incarnation = Incarnation { name: name.to_owned(), number: clock.unix_ms() };
    NodeConfig {
        cluster: fleet.name.clone(),
        local: Member { incarnation, address: fleet.advertise, zone: fleet.zone.clone(), rejoin_count: 0 },
        seeds: fleet.seeds.clone(),
        voters: fleet.voters.clone(),
        leases: fleet.leases.iter().map(|lease| (lease.clone(), fleet.lease_us)).collect(),
        seed,
    }
}

fn start_node(config: NodeConfig, clock: &Clock, disk: Option<&FileVoterDisk>) -> Node {
    let disk = disk.map(|disk| disk as &dyn VoterDisk);
    let node = Node::start(config, clock.now().0.unsigned_abs(), disk);
    let incarnation = &node.membership().local().incarnation;
    log::info!(incarnation:%, voter = node.voter_status(); "cluster: node started");
    node
}

/// Senders of the state that the [`Cluster`] handles read.
struct PublishedState {
    view: watch::Sender<Arc<ClusterView>>,
    held: watch::Sender<HeldLeases>,
    statuses: watch::Sender<MemberStatuses>,
}

struct NodeDriver {
    node: Node,
    disk: Option<FileVoterDisk>,
    clock: Clock,
    transport: PeerTransport,
    event_senders: BTreeMap<String, mpsc::Sender<LeaseEvent>>,
    published: PublishedState,
    process: ProcessControl,
    sent: MessageCounters,
    /// Callers of [`Cluster::leave`] that wait until this manager holds no lease and has left the fleet.
    pending_leaves: Vec<oneshot::Sender<()>>,
}

impl NodeDriver {
    async fn run(mut self, mut commands: mpsc::Receiver<NodeCommand>, mut inbox: mpsc::Receiver<Vec<u8>>) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut view_updates = tokio::time::interval(VIEW_INTERVAL);
        loop {
            tokio::select! {
                command = commands.recv() => match command {
                    Some(command) => self.handle_command(command),
                    None => return,
                },
                message = inbox.recv() => match message {
                    Some(bytes) => self.input(Input::Message(&bytes)),
                    None => return,
                },
                _ = ticks.tick() => self.input(Input::Tick),
                _ = view_updates.tick() => self.publish_view(),
            }
        }
    }

    fn now_us(&self) -> u64 {
        self.clock.now().0.unsigned_abs()
    }

    fn handle_command(&mut self, command: NodeCommand) {
        match command {
            NodeCommand::SaveCheckpoint { lease, based_on, checkpoint } => {
                self.input(Input::SaveCheckpoint { lease: &lease, based_on, checkpoint });
            }
            NodeCommand::SendRestartStep { member, step } => {
                self.input(Input::SendRestartStep { member: &member, step });
            }
            NodeCommand::WorkFinished { lease } => self.input(Input::WorkFinished { lease: &lease }),
            NodeCommand::HandOver { lease, reply } => {
                let result = self.hand_over(lease);
                let _caller_left = reply.send(result);
            }
            NodeCommand::Admit { voter, reply } => {
                let result = self.node.admit(&voter);
                let rejected = |reason: String| CommandError::AdmissionRejected { reason };
                let _caller_left = reply.send(result.map_err(|error| rejected(error.to_string())));
            }
            NodeCommand::SetDraining(is_draining) => self.input(Input::SetDraining(is_draining)),
            NodeCommand::Leave { reply } => {
                // Leases are released before this manager leaves. `publish_view` completes the call once none is held.
                if self.node.holder().held(self.now_us()).next().is_some() {
                    self.pending_leaves.push(reply);
                } else {
                    self.leave(reply);
                }
            }
        }
    }

    fn hand_over(&mut self, lease: String) -> Result<(), CommandError> {
        let is_held = self.node.holder().held(self.now_us()).any(|held| held.lease == lease);
        self.input(Input::HandOver { lease: &lease });
        if is_held { Ok(()) } else { Err(CommandError::NotHeld { lease }) }
    }

    fn leave(&mut self, reply: oneshot::Sender<()>) {
        self.input(Input::Leave);
        // Other tasks of this thread send the queued messages when this task yields.
        let _caller_left = reply.send(());
    }

    /// Passes an input to the node, and applies the outputs of the node.
    fn input(&mut self, input: Input<'_>) {
        let now_us = self.now_us();
        let mut outputs = Vec::new();
        let mut replies = Vec::new();
        let disk = self.disk.as_mut().map(|disk| disk as &mut dyn VoterDisk);
        self.node.handle(now_us, input, disk, &mut outputs);
        for output in outputs {
            match output {
                Output::Send { to, bytes } => {
                    self.sent.messages += 1;
                    self.sent.bytes += bytes.len() as u64;
                    let is_queued = self.transport.send(to, bytes);
                    self.sent.dropped += u64::from(!is_queued);
                }
                Output::Lease(effect) => self.handle_effect(now_us, effect),
                Output::MemberUp(member) => {
                    let Member { incarnation, address, .. } = member;
                    log::info!(incarnation:%, address:%; "cluster: member joined");
                }
                Output::MemberDown(member) => {
                    let incarnation = member.incarnation;
                    log::info!(incarnation:%; "cluster: member left or does not respond");
                    self.published.statuses.send_modify(|statuses| statuses.remove(&incarnation.name));
                }
                Output::LogEvent(event) => log::info!("cluster: {event}"),
                Output::RestartStep { reply_to, step } => {
                    let local_incarnation = self.node.membership().local().incarnation.number;
                    self.process.apply_step(step, local_incarnation);
                    replies
                        .push(Input::SendStatus { to: reply_to, status: self.process.status(&self.clock) });
                }
                Output::MemberStatus(ReportedStatus { incarnation, status }) => {
                    self.published.statuses.send_modify(|statuses| statuses.update(incarnation, status));
                }
            }
        }
        for reply in replies {
            self.input(reply);
        }
    }

    /// Publishes a change of a lease. `now_us` is the time of the input that caused the change. The current time may be
    /// later, because handling the input may wait for the disk.
    fn handle_effect(&mut self, now_us: u64, effect: LeaseEffect) {
        self.log_effect(now_us, &effect);
        let (lease, event) = match effect {
            LeaseEffect::Acquired { lease, .. } => (lease, Some(LeaseEvent::Acquired)),
            LeaseEffect::Extended { lease, .. } => (lease, None),
            LeaseEffect::CheckpointSaved { lease, .. } => (lease, Some(LeaseEvent::CheckpointSaved)),
            LeaseEffect::FinishWork { lease, .. } => (lease, Some(LeaseEvent::FinishWork)),
            LeaseEffect::Ended { lease, .. } => (lease, Some(LeaseEvent::Ended)),
            LeaseEffect::Submit { .. } => return,
        };
        self.publish_held_leases(now_us);
        if let (Some(event), Some(events)) = (event, self.event_senders.get(&lease))
            // A task that misses the event still sees the change in `Cluster::fencing_token_for_operation`.
            && events.try_send(event).is_err()
        {
            log::warn!(lease = lease.as_str(); "lease event dropped: its task does not keep up");
        }
        self.publish_view();
    }

    /// Logs a change of a lease with its Unix time in microseconds, from which the history of a fleet can be
    /// reconstructed.
    fn log_effect(&self, now_us: u64, effect: &LeaseEffect) {
        let at_us = self.clock.unix_us_of(Micros(now_us as i64));
        match effect {
            LeaseEffect::Acquired { lease, fencing_token, expires_at_us } => {
                let for_us = expires_at_us.saturating_sub(now_us);
                log::info!(lease = lease.as_str(), fencing_token, at_us, for_us; "lease acquired");
            }
            LeaseEffect::Extended { lease, fencing_token, expires_at_us } => {
                let for_us = expires_at_us.saturating_sub(now_us);
                log::debug!(lease = lease.as_str(), fencing_token, at_us, for_us; "lease extended");
            }
            LeaseEffect::FinishWork { lease, fencing_token } => {
                log::info!(lease = lease.as_str(), fencing_token, at_us; "lease handover started");
            }
            LeaseEffect::Ended { lease, fencing_token, reason } => {
                log::info!(lease = lease.as_str(), fencing_token, at_us, reason:%; "lease ended");
            }
            LeaseEffect::CheckpointSaved { .. } | LeaseEffect::Submit { .. } => {}
        }
    }

    fn publish_held_leases(&self, now_us: u64) {
        let holder = self.node.holder();
        let held = holder.held(now_us).map(|held| {
            let state = HeldLease {
                fencing_token: held.fencing_token,
                expires_at_us: held.expires_at_us,
                is_finishing: holder.fencing_token_for_operation(held.lease, now_us).is_none(),
            };
            (held.lease.to_owned(), state)
        });
        self.published.held.send_replace(held.collect());
    }

    fn publish_view(&mut self) {
        let view = self.view();
        if view.leases.iter().all(|lease| lease.left_ms.is_none()) {
            for reply in std::mem::take(&mut self.pending_leaves) {
                self.leave(reply);
            }
        }
        self.published.view.send_if_modified(|published| {
            let has_changed = **published != view;
            if has_changed {
                *published = Arc::new(view);
            }
            has_changed
        });
    }

    fn view(&self) -> ClusterView {
        let table = self.node.table();
        let local = self.node.membership().local();
        let voters = table.voters.iter().map(|(id, name)| (format!("{id:x}"), name.clone()));
        let rejections = self.node.rejections().iter();
        ClusterView {
            local_incarnation: local.incarnation.to_string(),
            zone: local.zone.clone(),
            voter_status: self.node.voter_status(),
            voter_id: self.node.voter_identity().map(|identity| format!("{:x}", identity.id)),
            table_index: table.index,
            voters: voters.collect(),
            waiting_voters: self.node.waiting_voters().cloned().collect(),
            members: self.member_views(),
            leases: self.lease_views(),
            rejections: rejections.map(|(reason, count)| (reason.code().to_owned(), *count)).collect(),
            sent: self.sent,
        }
    }

    fn member_views(&self) -> Vec<MemberView> {
        let view = |member: &Member| MemberView {
            name: member.incarnation.name.clone(),
            incarnation: member.incarnation.to_string(),
            address: member.address.to_string(),
            zone: member.zone.clone(),
        };
        let mut members: Vec<MemberView> = self.node.membership().others().map(view).collect();
        members.sort_by(|a, b| a.name.cmp(&b.name));
        members
    }

    /// The leases configured at this manager and the leases in the table, in order of their names.
    fn lease_views(&self) -> Vec<LeaseView> {
        let table = self.node.table();
        let names: BTreeSet<&String> = self.event_senders.keys().chain(table.leases.keys()).collect();
        names.into_iter().map(|name| self.lease_view(name)).collect()
    }

    fn lease_view(&self, name: &str) -> LeaseView {
        let now_us = self.now_us();
        let record = self.node.table().leases.get(name);
        let grant = record.and_then(|record| record.grant.as_ref());
        let held = self.node.holder().held(now_us).find(|held| held.lease == name);
        LeaseView {
            name: name.to_owned(),
            holder: grant.map(|grant| grant.holder.name.clone()),
            fencing_token: grant.map(|grant| grant.fencing_token),
            left_ms: held.map(|held| (held.expires_at_us - now_us) / 1000),
            checkpoint: record.map(|record| record.checkpoint.clone()).unwrap_or_default(),
            checkpoint_index: record.map_or(0, |record| record.checkpoint_index),
        }
    }
}
