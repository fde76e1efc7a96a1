//! Membership: the managers that are reachable, by the SWIM protocol of the foca library (probes, indirect probes,
//! suspicion, gossip), on the caller's time. The number and size of a member's messages per second does not depend on
//! the size of the fleet.

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

/// Fleet size that the library's times are derived from: the time that a suspect has to refute, and the number of
/// retransmissions, grow with its logarithm. Fleets of 3 to 9 were simulated; larger ones were not.
const ASSUMED_FLEET_SIZE: u32 = 8;
/// How often one member that is considered down is asked whether it is back.
const ANNOUNCE_TO_DOWN_INTERVAL: Duration = Duration::from_secs(2);
/// How long a member that is considered down is remembered. Incarnations are many, and a later one wins by its number.
const REMOVE_DOWN_AFTER: Duration = Duration::from_secs(600);
/// Maximum size of one gossip packet, in bytes.
const MAX_PACKET_BYTES: usize = 1400;

/// A member as the others know it. The order of fields is that of the wire format.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its name and incarnation.
    pub incarnation: Incarnation,
    /// Address at which other managers reach it.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// How often it rejoined within this incarnation after the others had considered it down.
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

/// A gossip packet that can't be used.
#[derive(Debug, Error)]
pub enum GossipError {
    /// It is longer than any packet.
    #[error("gossip packet of {0} bytes: at most {MAX_PACKET_BYTES} are accepted")]
    TooLong(usize),
    /// The library rejected it.
    #[error("gossip packet was rejected: {0}")]
    Protocol(foca::Error),
}

/// What follows from gossip and time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipEvent {
    /// Send a gossip packet to a member.
    Send {
        /// Its recipient.
        to: Member,
        /// The packet.
        packet: Vec<u8>,
    },
    /// A member joined.
    Up(Member),
    /// A member left or does not respond.
    Down(Member),
    /// The others had considered this manager down; it rejoined as the same incarnation.
    Rejoined,
}

/// The caller's side of the library: collects its timers and events.
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

/// Timers by their time, and in the order of submission where times are equal.
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

/// The members as one of them sees them.
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
    /// Knows this member only.
    pub fn new(local: Member, seed: u64) -> Membership {
        let size = NonZeroU32::new(ASSUMED_FLEET_SIZE).unwrap_or(NonZeroU32::MIN);
        let mut config = foca::Config::new_lan(size);
        config.max_packet_size = NonZeroUsize::new(MAX_PACKET_BYTES).unwrap_or(config.max_packet_size);
        config.remove_down_after = REMOVE_DOWN_AFTER.into();
        // After a partition each side considers the other down: without this they would find each other after a minute.
        config.periodic_announce_to_down_members = Some(foca::PeriodicParams {
            frequency: ANNOUNCE_TO_DOWN_INTERVAL,
            num_members: NonZeroUsize::MIN,
        });
        let protocol = Foca::new(local, config, StdRng::seed_from_u64(seed), PostcardCodec);
        Membership { protocol, timers: TimerQueue::default() }
    }

    /// This member.
    pub fn local(&self) -> &Member {
        self.protocol.identity()
    }

    /// The other members that are up.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.protocol.iter_members().map(foca::Member::id)
    }

    /// The member of this name, if it is up.
    pub fn by_name(&self, name: &str) -> Option<&Member> {
        // A member that restarted at another address is known twice until its old incarnation is considered down.
        let all = self.others().chain([self.local()]);
        all.filter(|member| member.incarnation.name == name).max_by_key(|member| member.incarnation.number)
    }

    /// The address of the member of this name, if it is up.
    pub fn address_of(&self, name: &str) -> Option<SocketAddr> {
        self.by_name(name).map(|member| member.address)
    }

    fn run(
        &mut self,
        now: Micros,
        out: &mut Vec<MembershipEvent>,
        operation: impl FnOnce(&mut Protocol, FocaRuntime<'_>) -> Result<(), foca::Error>,
    ) -> Result<(), foca::Error> {
        let runtime = FocaRuntime { now, timers: &mut self.timers, out };
        operation(&mut self.protocol, runtime)
    }

    /// Asks the member at this address, of which nothing else is known, to admit this one.
    pub fn join(&mut self, now: Micros, address: SocketAddr, out: &mut Vec<MembershipEvent>) {
        let unknown = Incarnation { name: String::new(), number: 0 };
        let seed = Member { incarnation: unknown, address, zone: String::new(), rejoin_count: 0 };
        // Sent to the address, whichever member is there. If it fails, the next attempt follows.
        let _unsent = self.run(now, out, |protocol, runtime| protocol.announce(seed, runtime));
    }

    /// Notifies the others that this member leaves.
    pub fn leave(&mut self, now: Micros, out: &mut Vec<MembershipEvent>) {
        // Where it fails, the others' probes find out.
        let _unsent = self.run(now, out, |protocol, runtime| protocol.leave_cluster(runtime));
    }

    /// Handles a gossip packet.
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
        self.run(now, out, |protocol, runtime| protocol.handle_data(packet, runtime))
            .map_err(GossipError::Protocol)
    }

    /// Time has passed: runs the timers that are due.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<MembershipEvent>) {
        while let Some(timer) = self.timers.pop_due(now) {
            // The library rejects timers of a probe round that is over.
            let _stale = self.run(now, out, |protocol, runtime| protocol.handle_timer(timer, runtime));
        }
    }
}
