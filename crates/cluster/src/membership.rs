//! Tracks which managers are reachable, with the SWIM protocol of the foca library (probes, indirect probes, suspicion,
//! gossip). The caller passes in the time. The number and size of the messages that a member sends per second do not
//! depend on the size of the fleet.

use crate::lease::Incarnation;
use crate::lease_holder::Micros;
use foca::{Foca, Identity, Notification, PostcardCodec, Runtime, Timer};
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::SocketAddr;
use std::num::{NonZeroU32, NonZeroUsize};
use std::time::Duration;
use thiserror::Error;

/// Fleet size from which the library derives its parameters. The time that a suspected member has to refute the
/// suspicion and the number of retransmissions grow with its logarithm. Simulations covered fleets of 3 to 9 members,
/// none larger.
const ASSUMED_FLEET_SIZE: u32 = 8;
/// How often this member contacts one member that is considered down, in case that one is reachable again.
const ANNOUNCE_TO_DOWN_INTERVAL: Duration = Duration::from_secs(2);
/// How long the record of a member that is considered down is retained. Each restart adds a record, and a later
/// incarnation takes precedence by its number without it.
const REMOVE_DOWN_AFTER: Duration = Duration::from_secs(600);
/// Maximum size of one gossip packet, in bytes.
const MAX_PACKET_BYTES: usize = 1400;

/// A member as the other members know it. The wire format depends on the order of fields.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the manager and number of its incarnation.
    pub incarnation: Incarnation,
    /// Address at which other managers reach this one.
    pub address: SocketAddr,
    /// Zone of the manager; empty if none is configured.
    pub zone: String,
    /// Number of times that this incarnation rejoined after the other members had considered it down.
    pub rejoin_count: u32,
}

impl Identity for Member {
    type Addr = SocketAddr;

    fn renew(&self) -> Option<Member> {
        Some(Member { rejoin_count: self.rejoin_count.wrapping_add(1), ..self.clone() })
    }

    fn addr(&self) -> SocketAddr {
        self.address
    }

    fn win_addr_conflict(&self, other: &Member) -> bool {
        (self.incarnation.number, self.rejoin_count) > (other.incarnation.number, other.rejoin_count)
    }
}

/// Why a gossip packet was rejected.
#[derive(Debug, Error)]
pub enum GossipError {
    /// The packet is longer than any that a member sends. The value is its size in bytes.
    #[error("gossip packet rejected: size of {0} bytes exceeds the maximum of {MAX_PACKET_BYTES}")]
    TooLong(usize),
    /// The library rejected the packet, because it is malformed or not meant for this member.
    #[error("gossip packet rejected: {0}")]
    Protocol(foca::Error),
}

/// An event or an action that follows from received gossip or from the passage of time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipEvent {
    /// Send a gossip packet to a member.
    Send {
        /// The member that the packet is sent to.
        to: Member,
        /// The encoded packet. It may be lost.
        packet: Vec<u8>,
    },
    /// A member joined, or became reachable again.
    Up(Member),
    /// A member left or does not respond.
    Down(Member),
    /// The other members had considered this manager down, and it rejoined as the same incarnation.
    Rejoined,
}

/// The interface through which the library sets timers and reports events. It collects them.
struct FocaRuntime<'a> {
    now: Micros,
    timers: &'a mut TimerQueue,
    out: &'a mut Vec<MembershipEvent>,
}

impl Runtime<Member> for FocaRuntime<'_> {
    fn notify(&mut self, notification: Notification<'_, Member>) {
        match notification {
            Notification::MemberUp(member) => self.out.push(MembershipEvent::Up(member.clone())),
            Notification::MemberDown(member) => self.out.push(MembershipEvent::Down(member.clone())),
            Notification::Rename(old, new) if old.incarnation != new.incarnation => {
                self.out.push(MembershipEvent::Down(old.clone()));
                self.out.push(MembershipEvent::Up(new.clone()));
            }
            Notification::Rejoin(_) => self.out.push(MembershipEvent::Rejoined),
            _ => {}
        }
    }

    fn send_to(&mut self, to: Member, data: &[u8]) {
        self.out.push(MembershipEvent::Send { to, packet: data.to_vec() });
    }

    fn submit_after(&mut self, event: Timer<Member>, after: Duration) {
        let after_us = Micros::try_from(after.as_micros()).unwrap_or(Micros::MAX);
        self.timers.add(self.now.saturating_add(after_us), event);
    }
}

/// Timers in the order of their due time. Timers that are due at the same time keep the order of their submission.
#[derive(Default)]
struct TimerQueue {
    due: BinaryHeap<Reverse<(Micros, u64)>>,
    timers: HashMap<u64, Timer<Member>>,
    last_id: u64,
}

impl TimerQueue {
    fn add(&mut self, at: Micros, timer: Timer<Member>) {
        self.last_id += 1;
        self.due.push(Reverse((at, self.last_id)));
        self.timers.insert(self.last_id, timer);
    }

    fn pop_due(&mut self, now: Micros) -> Option<Timer<Member>> {
        let Reverse((at, id)) = *self.due.peek()?;
        if at > now {
            return None;
        }
        self.due.pop();
        self.timers.remove(&id)
    }
}

type Protocol = Foca<Member, PostcardCodec, StdRng, foca::NoCustomBroadcast>;

/// The members of the fleet, as seen by the local member.
pub struct Membership {
    protocol: Protocol,
    timers: TimerQueue,
}

impl std::fmt::Debug for Membership {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        out.debug_struct("Membership").field("local", self.protocol.identity()).finish_non_exhaustive()
    }
}

impl Membership {
    /// Creates a membership that contains only the local member.
    pub fn new(local: Member, seed: u64) -> Membership {
        let size = NonZeroU32::new(ASSUMED_FLEET_SIZE).unwrap_or(NonZeroU32::MIN);
        let mut config = foca::Config::new_lan(size);
        config.max_packet_size = NonZeroUsize::new(MAX_PACKET_BYTES).unwrap_or(config.max_packet_size);
        config.remove_down_after = REMOVE_DOWN_AFTER.into();
        // After a partition each side considers the other one down. Without these announcements they would find each
        // other only after a minute.
        config.periodic_announce_to_down_members = Some(foca::PeriodicParams {
            frequency: ANNOUNCE_TO_DOWN_INTERVAL,
            num_members: NonZeroUsize::MIN,
        });
        let protocol = Foca::new(local, config, StdRng::seed_from_u64(seed), PostcardCodec);
        Membership { protocol, timers: TimerQueue::default() }
    }

    /// The local member. Its rejoin count may have changed since the start.
    pub fn local(&self) -> &Member {
        self.protocol.identity()
    }

    /// All other members that are considered up.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.protocol.iter_members().map(foca::Member::id)
    }

    /// The member with this name; `None` if it is not up. Includes the local member.
    pub fn by_name(&self, name: &str) -> Option<&Member> {
        // A member that restarted at another address has two records until its old incarnation is considered down.
        let all = self.others().chain([self.local()]);
        all.filter(|member| member.incarnation.name == name).max_by_key(|member| member.incarnation.number)
    }

    /// The address of the member with this name; `None` if it is not up.
    pub fn address_of(&self, name: &str) -> Option<SocketAddr> {
        self.by_name(name).map(|member| member.address)
    }

    fn call_protocol(
        &mut self,
        now: Micros,
        out: &mut Vec<MembershipEvent>,
        operation: impl FnOnce(&mut Protocol, FocaRuntime<'_>) -> Result<(), foca::Error>,
    ) -> Result<(), foca::Error> {
        let runtime = FocaRuntime { now, timers: &mut self.timers, out };
        operation(&mut self.protocol, runtime)
    }

    /// Requests to join the fleet through the member at this address, about which nothing else is known.
    pub fn join(&mut self, now: Micros, address: SocketAddr, out: &mut Vec<MembershipEvent>) {
        let unknown = Incarnation { name: String::new(), number: 0 };
        let seed = Member { incarnation: unknown, address, zone: String::new(), rejoin_count: 0 };
        // Only the address is used, so it does not matter which member is there. The caller retries periodically, so a
        // failure is ignored.
        let _unsent = self.call_protocol(now, out, |protocol, runtime| protocol.announce(seed, runtime));
    }

    /// Notifies other members that the local member leaves the fleet.
    pub fn leave(&mut self, now: Micros, out: &mut Vec<MembershipEvent>) {
        // If this fails, the other members find out by their probes.
        let _unsent = self.call_protocol(now, out, |protocol, runtime| protocol.leave_cluster(runtime));
    }

    /// Handles a gossip packet of another member.
    ///
    /// # Errors
    /// If the packet is too long, malformed, or not meant for this member.
    pub fn handle_gossip(
        &mut self,
        now: Micros,
        packet: &[u8],
        out: &mut Vec<MembershipEvent>,
    ) -> Result<(), GossipError> {
        if packet.len() > MAX_PACKET_BYTES {
            return Err(GossipError::TooLong(packet.len()));
        }
        self.call_protocol(now, out, |protocol, runtime| protocol.handle_data(packet, runtime))
            .map_err(GossipError::Protocol)
    }

    /// Runs the timers that are due. To be called periodically.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<MembershipEvent>) {
        while let Some(timer) = self.timers.pop_due(now) {
            // The library rejects timers of a probe round that has ended, which is expected.
            let _stale =
                self.call_protocol(now, out, |protocol, runtime| protocol.handle_timer(timer, runtime));
        }
    }
}
