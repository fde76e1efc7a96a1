//! A manager's side of the leases: when it asks for a duty, and for how long it may act on what it was granted.
//!
//! Why there are never two holders at one moment, with clocks that each run at most [`DRIFT`] off true time and are
//! never set back (monotonic ones are not):
//!
//! - A holder counts its lease L from *before* it asked, on its own clock, and acts no more once that is over. In true
//!   time that is at most L / (1 - d) after the asking.
//! - Whoever takes a held duty has seen one version of its row unchanged for [`wait_us`] = L (1 + d) / (1 - d), by its
//!   own clock; in true time at least L / (1 - d), counted from *after* it saw that version. It asks with that version.
//! - A renewal that the voters took before the taking has changed the version, and the taking is refused; one that they
//!   get after it is refused. So the last renewal that counts was asked for before its version could be seen, and its
//!   lease is over by the time that the taking is asked for.
//!
//! No clock of the voters and no message's time enters into it. Where time fails all the same (a holder that is
//! stopped between its look at the clock and its act), the fencing number decides: each act carries it, and whoever
//! receives acts refuses a number below the highest that it has seen.

use crate::lease::{Ask, Life, Table, Verdict};
use oorandom::Rand64;
use std::collections::BTreeMap;

/// Microseconds of a manager's own monotonic clock.
pub type Micros = u64;

/// How far a clock's rate may be off: 1 %. (Crystals are within 0.02 %; a wall clock may jump, which is not read.)
pub const DRIFT: f64 = 0.01;
/// A holder renews when this part of its lease is over, so that two renewals may be lost.
const RENEW_AFTER: f64 = 1.0 / 3.0;
/// A question that has no answer by then is asked anew, in microseconds.
const ANSWER_WITHIN: Micros = 500_000;
/// Managers ask for what is free one after another, in the order of their rank, so far apart, in microseconds: some
/// rounds of the voters, so that the first has it before the second asks.
const RANK_STEP: Micros = 200_000;
/// The last of a long row need not wait for all before it.
const MOST_RANK: u64 = 20;
/// How long the named successor of a duty has before all others, in microseconds.
const SUCCESSOR_FIRST: Micros = 1_000_000;
/// Questions out at once.
const MOST_ASKED: usize = 256;

/// For how long a version must stand still before its duty may be taken: see the module's proof.
pub fn wait_us(lease_us: u64) -> Micros {
    (lease_us as f64 * (1.0 + DRIFT) / (1.0 - DRIFT)).ceil() as Micros
}

/// A duty that this manager would hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Wish {
    /// For how long each lease is, in microseconds.
    pub lease_us: u64,
    /// Its place among the managers that would hold it: 0 asks first.
    pub rank: u64,
}

/// What a holder wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Deed {
    /// Ask the voters this, under this number.
    Ask(u64, Ask),
    /// The duty is this manager's under this fencing number, until then at least.
    Began {
        /// The duty.
        duty: String,
        /// Its number.
        fence: u64,
        /// By this manager's clock, in microseconds.
        until: Micros,
    },
    /// What was to be noted of a duty is noted, and whoever holds it next goes on from there.
    Noted {
        /// The duty.
        duty: String,
        /// Its number.
        fence: u64,
    },
    /// It is held for longer.
    Extended {
        /// The duty.
        duty: String,
        /// Its number.
        fence: u64,
        /// By this manager's clock, in microseconds.
        until: Micros,
    },
    /// Finish what was begun under this number, begin nothing more, and tell when that is done.
    Finish {
        /// The duty.
        duty: String,
        /// Its number.
        fence: u64,
    },
    /// The duty is not this manager's any more: nothing may be done under this number from now on.
    Ended {
        /// The duty.
        duty: String,
        /// Its number.
        fence: u64,
        /// Why.
        why: Why,
    },
}

/// Why a duty ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Why {
    /// Its lease ran out: the voters were not reached in time.
    Lapsed,
    /// The voters say that it is another's.
    Lost,
    /// It was handed over.
    HandedOver,
}

#[derive(Debug)]
struct Held {
    fence: u64,
    lease_us: u64,
    until: Micros,
    renew_at: Micros,
    finishing: bool,
}

#[derive(Debug)]
struct Asked {
    ask: Ask,
    /// When it was asked: the lease counts from here.
    at: Micros,
}

/// The leases of one manager.
#[derive(Debug)]
pub struct Holder {
    me: Life,
    rng: Rand64,
    wishes: BTreeMap<String, Wish>,
    /// Each duty's version, and when it was first seen here.
    seen: BTreeMap<String, (u64, Micros)>,
    table: Table,
    held: BTreeMap<String, Held>,
    asked: BTreeMap<u64, Asked>,
    draining: bool,
    /// What the proof rests on; tests take it away to see that it is missed.
    careful: bool,
}

impl Holder {
    /// A manager that holds nothing.
    pub fn new(me: Life, seed: u64) -> Holder {
        Holder {
            me,
            rng: Rand64::new(u128::from(seed)),
            wishes: BTreeMap::new(),
            seen: BTreeMap::new(),
            table: Table::default(),
            held: BTreeMap::new(),
            asked: BTreeMap::new(),
            draining: false,
            careful: true,
        }
    }

    /// One that counts its leases from the answer and waits no longer than a lease: it is wrong, and a simulation
    /// that does not find out is no proof of the right one.
    #[doc(hidden)]
    pub fn careless(me: Life, seed: u64) -> Holder {
        Holder { careful: false, ..Holder::new(me, seed) }
    }

    /// The duties that this manager would hold from now on. What it holds already it keeps, whatever its rank.
    pub fn wish(&mut self, wishes: BTreeMap<String, Wish>) {
        self.wishes = wishes;
    }

    /// The table as it was last seen here.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// What is held now, with its fencing number and its end by this manager's clock.
    pub fn held(&self, now: Micros) -> impl Iterator<Item = (&str, u64, Micros)> {
        self.held
            .iter()
            .filter(move |(_, held)| now < held.until)
            .map(|(duty, held)| (duty.as_str(), held.fence, held.until))
    }

    /// Whether an act of a duty may begin now: look right before each, and give its number along.
    pub fn may_act(&self, duty: &str, now: Micros) -> Option<u64> {
        self.held.get(duty).filter(|held| now < held.until && !held.finishing).map(|held| held.fence)
    }

    /// A newer table; an older one is passed over.
    pub fn see(&mut self, now: Micros, table: Table, out: &mut Vec<Deed>) {
        if table.index < self.table.index {
            return;
        }
        for (duty, row) in &table.rows {
            let first = (row.version, now);
            let seen = self.seen.entry(duty.clone()).or_insert(first);
            if seen.0 != row.version {
                *seen = first;
            }
        }
        self.seen.retain(|duty, _| table.rows.contains_key(duty));
        self.table = table;
        // An answer may be lost where what it grants was seen: the question's number tells that it is ours.
        let mine = self.table.rows.values().filter_map(|row| row.grant.as_ref());
        let mine: Vec<(u64, u64)> =
            mine.filter(|grant| grant.holder == self.me).map(|grant| (grant.nonce, grant.fence)).collect();
        for (nonce, fence) in mine {
            self.answered(now, nonce, Verdict::Granted(fence), out);
        }
        let table = &self.table;
        let holds = |duty: &String, held: &Held| {
            let grant = table.rows.get(duty).and_then(|row| row.grant.as_ref());
            // A grant that is newer than the table is not in it yet.
            held.fence > table.index || grant.is_some_and(|grant| grant.fence == held.fence)
        };
        let lost = self.held.iter().filter(|(duty, held)| !holds(duty, held)).map(|(duty, _)| duty.clone());
        for duty in lost.collect::<Vec<_>>() {
            self.end(&duty, Why::Lost, out);
        }
    }

    /// What the voters say to a question.
    pub fn answered(&mut self, now: Micros, nonce: u64, verdict: Verdict, out: &mut Vec<Deed>) {
        let Some(asked) = self.asked.remove(&nonce) else { return };
        let from = if self.careful { asked.at } else { now };
        match (&asked.ask, verdict) {
            (Ask::Take { duty, lease_us, .. }, Verdict::Granted(fence)) => {
                let until = from + lease_us;
                // Too late an answer: others may be waiting for its end already.
                if now >= until || self.draining {
                    let release = Ask::Release { duty: duty.clone(), fence, successor: None };
                    return self.ask(now, release, out);
                }
                let renew_at = asked.at + (*lease_us as f64 * RENEW_AFTER) as Micros;
                let held = Held { fence, lease_us: *lease_us, until, renew_at, finishing: false };
                self.held.insert(duty.clone(), held);
                out.push(Deed::Began { duty: duty.clone(), fence, until });
            }
            (Ask::Renew { duty, fence }, Verdict::Renewed) => {
                let Some(held) = self.held.get_mut(duty).filter(|held| held.fence == *fence) else { return };
                // What has run out has ended, though this renewal came in time for the voters.
                if now >= held.until {
                    return self.end(&duty.clone(), Why::Lapsed, out);
                }
                if from + held.lease_us > held.until {
                    held.until = from + held.lease_us;
                    held.renew_at = asked.at + (held.lease_us as f64 * RENEW_AFTER) as Micros;
                    out.push(Deed::Extended { duty: duty.clone(), fence: *fence, until: held.until });
                }
            }
            (Ask::Note { duty, fence, .. }, Verdict::Noted) => {
                out.push(Deed::Noted { duty: duty.clone(), fence: *fence });
            }
            (Ask::Renew { duty, fence } | Ask::Note { duty, fence, .. }, Verdict::NotHolder)
                if self.held.get(duty).is_some_and(|held| held.fence == *fence) =>
            {
                self.end(&duty.clone(), Why::Lost, out);
            }
            _ => {}
        }
    }

    /// Time has passed: ends what has run out, renews, and asks for what may be taken.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<Deed>) {
        let over: Vec<String> =
            self.held.iter().filter(|(_, held)| now >= held.until).map(|(duty, _)| duty.clone()).collect();
        over.iter().for_each(|duty| self.end(duty, Why::Lapsed, out));
        // What may still be answered is kept for as long as the answer could count.
        self.asked.retain(|_, asked| match &asked.ask {
            Ask::Take { lease_us, .. } => now < asked.at + lease_us,
            _ => now < asked.at + 4 * ANSWER_WITHIN,
        });
        let due = self.held.iter_mut().filter(|(_, held)| now >= held.renew_at);
        let mut asks = Vec::new();
        for (duty, held) in due {
            held.renew_at = now + ANSWER_WITHIN.min(held.lease_us / 6);
            asks.push(Ask::Renew { duty: duty.clone(), fence: held.fence });
        }
        if !self.draining {
            asks.extend(self.wishes.iter().filter_map(|(duty, wish)| self.take(now, duty, wish)));
        }
        asks.into_iter().for_each(|ask| self.ask(now, ask, out));
    }

    /// The question for a duty that this manager would hold, where it may be taken by now.
    fn take(&self, now: Micros, duty: &str, wish: &Wish) -> Option<Ask> {
        let is_out = |asked: &&Asked| matches!(asked.ask, Ask::Take { .. }) && asked.ask.duty() == duty;
        let out = self.asked.values().filter(is_out).map(|asked| asked.at).max();
        if self.held.contains_key(duty) || out.is_some_and(|at| now < at + ANSWER_WITHIN) {
            return None;
        }
        let behind = wish.rank.min(MOST_RANK) * RANK_STEP;
        let (version, from) = match (self.table.rows.get(duty), self.seen.get(duty)) {
            (Some(row), Some((version, since))) => {
                let wait = match &row.grant {
                    Some(grant) if self.careful => wait_us(grant.lease_us) + behind,
                    Some(grant) => grant.lease_us + behind,
                    None if row.successor.as_ref() == Some(&self.me.name) => 0,
                    None if row.successor.is_some() => SUCCESSOR_FIRST + behind,
                    None => behind,
                };
                (*version, since + wait)
            }
            // One that nobody ever held: in the order of the ranks too, as far as managers start together.
            _ => (0, behind),
        };
        (now >= from).then(|| Ask::Take { duty: duty.to_owned(), version, lease_us: wish.lease_us })
    }

    /// What was begun under a duty that is to be handed over is done.
    pub fn finished(&mut self, now: Micros, duty: &str, successor: Option<String>, out: &mut Vec<Deed>) {
        if let Some(fence) = self.held.get(duty).map(|held| held.fence) {
            self.end(duty, Why::HandedOver, out);
            self.ask(now, Ask::Release { duty: duty.to_owned(), fence, successor }, out);
        }
    }

    /// Notes how far a duty's work has come; [`Deed::Noted`] tells when it is. It is asked for again by whoever needs it.
    pub fn note(&mut self, now: Micros, duty: &str, on: u64, note: String, out: &mut Vec<Deed>) {
        if let Some(fence) = self.held.get(duty).map(|held| held.fence) {
            self.ask(now, Ask::Note { duty: duty.to_owned(), fence, on, note }, out);
        }
    }

    /// Hands one duty over: its act is finished first.
    pub fn hand_over(&mut self, duty: &str, out: &mut Vec<Deed>) {
        if let Some(held) = self.held.get_mut(duty).filter(|held| !held.finishing) {
            held.finishing = true;
            out.push(Deed::Finish { duty: duty.to_owned(), fence: held.fence });
        }
    }

    /// Hands all over, and takes nothing more; or takes again.
    pub fn drain(&mut self, draining: bool, out: &mut Vec<Deed>) {
        self.draining = draining;
        if draining {
            let all: Vec<String> = self.held.keys().cloned().collect();
            all.iter().for_each(|duty| self.hand_over(duty, out));
        }
    }

    fn end(&mut self, duty: &str, why: Why, out: &mut Vec<Deed>) {
        if let Some(held) = self.held.remove(duty) {
            out.push(Deed::Ended { duty: duty.to_owned(), fence: held.fence, why });
        }
    }

    fn ask(&mut self, now: Micros, ask: Ask, out: &mut Vec<Deed>) {
        if self.asked.len() >= MOST_ASKED {
            return;
        }
        let nonce = self.rng.rand_u64();
        self.asked.insert(nonce, Asked { ask: ask.clone(), at: now });
        out.push(Deed::Ask(nonce, ask));
    }
}
