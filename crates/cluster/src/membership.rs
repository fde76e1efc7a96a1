//! Members: who is there, by the SWIM protocol of the foca library (probes, indirect probes, suspicion, gossip), on
//! virtual time. The number and size of what a member says a second is level in the size of the fleet.

use crate::lease::Life;
use crate::lease_holder::Micros;
use foca::{Foca, Identity, Notification, PostcardCodec, Runtime, Timer};
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::num::{NonZeroU32, NonZeroUsize};
use std::time::Duration;
use thiserror::Error;

/// The size that the library's times are made for: how long a suspect has to say otherwise, and how often news is passed
/// on, grow with its logarithm. Fleets of 3 to 9 were played; larger ones were not.
const FLEET: u32 = 8;
/// One member that was given up is asked so often whether it is back.
const RETURN_EVERY: Duration = Duration::from_secs(2);
/// Bytes of one word between members, at most.
const LONGEST: usize = 1400;

/// A member as the others know it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its name and life.
    pub life: Life,
    /// Where other managers reach it.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// How often it came back within this life after the others had given it up.
    pub returns: u32,
}

impl Identity for Member {
    type Addr = SocketAddr;

    fn renew(&self) -> Option<Member> {
        Some(Member { returns: self.returns.wrapping_add(1), ..self.clone() })
    }

    fn addr(&self) -> SocketAddr {
        self.address
    }

    fn win_addr_conflict(&self, other: &Member) -> bool {
        (self.life.number, self.returns) > (other.life.number, other.returns)
    }
}

/// A word that can't be used.
#[derive(Debug, Error)]
#[error("{0}")]
pub struct Unreadable(String);

/// What members want done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Word {
    /// Say this to a member.
    Say(Member, Vec<u8>),
    /// One came.
    Up(Member),
    /// One is gone: it left, or answers nobody.
    Down(Member),
    /// The others had given this one up; it is back under the same life.
    Back,
}

struct Shell<'a> {
    now: Micros,
    timers: &'a mut BinaryHeap<Reverse<(Micros, u64)>>,
    waiting: &'a mut std::collections::HashMap<u64, Timer<Member>>,
    count: &'a mut u64,
    out: &'a mut Vec<Word>,
}

impl Runtime<Member> for Shell<'_> {
    fn notify(&mut self, notification: Notification<'_, Member>) {
        match notification {
            Notification::MemberUp(member) => self.out.push(Word::Up(member.clone())),
            Notification::MemberDown(member) => self.out.push(Word::Down(member.clone())),
            Notification::Rename(old, new) if old.life != new.life => {
                self.out.push(Word::Down(old.clone()));
                self.out.push(Word::Up(new.clone()));
            }
            Notification::Rejoin(_) => self.out.push(Word::Back),
            _ => {}
        }
    }

    fn send_to(&mut self, to: Member, data: &[u8]) {
        self.out.push(Word::Say(to, data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<Member>, after: Duration) {
        *self.count += 1;
        let after = Micros::try_from(after.as_micros()).unwrap_or(Micros::MAX);
        self.timers.push(Reverse((self.now.saturating_add(after), *self.count)));
        self.waiting.insert(*self.count, event);
    }
}

/// The members as one of them sees them.
pub struct Members {
    foca: Foca<Member, PostcardCodec, StdRng, foca::NoCustomBroadcast>,
    timers: BinaryHeap<Reverse<(Micros, u64)>>,
    waiting: std::collections::HashMap<u64, Timer<Member>>,
    count: u64,
}

impl std::fmt::Debug for Members {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        out.debug_struct("Members").field("me", self.foca.identity()).finish_non_exhaustive()
    }
}

impl Members {
    /// Alone so far.
    pub fn new(me: Member, seed: u64) -> Members {
        let size = NonZeroU32::new(FLEET).unwrap_or(NonZeroU32::MIN);
        let mut config = foca::Config::new_lan(size);
        config.max_packet_size = NonZeroUsize::new(LONGEST).unwrap_or(config.max_packet_size);
        // One that was given up is forgotten soon: lives are many, and a later one wins by its number.
        config.remove_down_after = Some(Duration::from_secs(600));
        // After a cut each side has given the other up: without this they would find each other after a minute.
        config.periodic_announce_to_down_members =
            Some(foca::PeriodicParams { frequency: RETURN_EVERY, num_members: NonZeroUsize::MIN });
        let foca = Foca::new(me, config, StdRng::seed_from_u64(seed), PostcardCodec);
        Members { foca, timers: BinaryHeap::new(), waiting: std::collections::HashMap::new(), count: 0 }
    }

    /// This member.
    pub fn me(&self) -> &Member {
        self.foca.identity()
    }

    /// The others that are there.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.foca.iter_members().map(foca::Member::id)
    }

    /// A member of this name, where it is there.
    pub fn named(&self, name: &str) -> Option<&Member> {
        // One that came back at another address is there twice until the others have given up its old life.
        let all = self.others().chain([self.me()]).filter(|one| one.life.name == name);
        all.max_by_key(|one| one.life.number)
    }

    fn with(
        &mut self,
        now: Micros,
        out: &mut Vec<Word>,
        act: impl FnOnce(
            &mut Foca<Member, PostcardCodec, StdRng, foca::NoCustomBroadcast>,
            Shell<'_>,
        ) -> Result<(), foca::Error>,
    ) -> Result<(), Unreadable> {
        let (timers, waiting, count) = (&mut self.timers, &mut self.waiting, &mut self.count);
        let shell = Shell { now, timers, waiting, count, out };
        act(&mut self.foca, shell).map_err(|error| Unreadable(error.to_string()))
    }

    /// Asks to be let in by one whose address is known and nothing else of it.
    pub fn join(&mut self, now: Micros, at: SocketAddr, out: &mut Vec<Word>) {
        let unknown = Life { name: String::new(), number: 0 };
        let seed = Member { life: unknown, address: at, zone: String::new(), returns: 0 };
        // It goes to the address, whoever is there.
        let _unsent = self.with(now, out, |foca, shell| foca.announce(seed, shell));
    }

    /// Tells the others that this one goes.
    pub fn leave(&mut self, now: Micros, out: &mut Vec<Word>) {
        let _unsent = self.with(now, out, |foca, shell| foca.leave_cluster(shell));
    }

    /// What another member said.
    pub fn hear(&mut self, now: Micros, word: &[u8], out: &mut Vec<Word>) -> Result<(), Unreadable> {
        if word.len() > LONGEST {
            return Err(Unreadable(format!("{} bytes", word.len())));
        }
        self.with(now, out, |foca, shell| foca.handle_data(word, shell))
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<Word>) {
        while self.timers.peek().is_some_and(|Reverse((at, _))| *at <= now) {
            let Some(Reverse((_, number))) = self.timers.pop() else { return };
            if let Some(timer) = self.waiting.remove(&number) {
                // The library refuses timers of a round that is over.
                let _stale = self.with(now, out, |foca, shell| foca.handle_timer(timer, shell));
            }
        }
    }
}
