//! A fleet on virtual time, from a seed: real state machines, and everything between them made up. Messages are lost,
//! late, repeated, out of order, cut, spoilt, and come again from lives that are over; links are cut one way or both;
//! managers stand still, crash, come back with their files; disks are full; clocks run up to [`DRIFT`] apart and begin
//! anywhere.
//!
//! What must hold is checked all the time:
//!
//! - at no moment of true time do two managers hold one duty, each by its own clock;
//! - an act that a resource takes never has a lower fencing number than one that it took before;
//! - voters that have carried out as much have the same table;
//! - once all faults are over, each duty has a holder and all see each other within [`SETTLED_WITHIN`].

use crate::lease::{Life, Table};
use crate::lease_holder::{DRIFT, Deed, Micros};
use crate::membership::Member;
use crate::node::{Ballot, Input, Node, Output, Setup, VoterDisk, keep_in};
use crate::voter::{Batch, Disk, Kept, TICK_US};
use oorandom::Rand64;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::net::SocketAddr;

/// How long after the last fault each duty has a holder again, and all see each other: the longest lease that may have to
/// run out (3 s), the members' time to find each other (a seed is asked each 5 s), and a voters' election (1 s). Of 10,000
/// seeds the slowest took 5.0 s.
pub const SETTLED_WITHIN: Micros = 10_000_000;
/// The duties' lease here.
const LEASE: u64 = 3_000_000;
/// The duties here.
const DUTIES: [&str; 2] = ["backup", "keeper"];

/// What is taken away on purpose, to see that it is missed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Without {
    /// Nothing.
    Nothing,
    /// The margin between holder's and taker's count, and the count from before the question.
    Margin,
    /// The resource's look at the fencing number.
    Fencing,
    /// The disk's word: what was kept last is gone after a crash.
    Disk,
}

/// A play.
#[derive(Debug, Clone, Copy)]
pub struct Play {
    /// Where all random numbers come from.
    pub seed: u64,
    /// Managers.
    pub managers: usize,
    /// Of those, the first so many vote.
    pub voters: usize,
    /// For how long faults come, in microseconds.
    pub faults_for: Micros,
    /// What is left out.
    pub without: Without,
}

impl Play {
    /// The fleet of a seed: 3 to 7 managers, 3 or 5 of which vote, a minute of faults.
    pub fn of(seed: u64, without: Without) -> Play {
        let managers = 3 + (seed % 5) as usize;
        let voters = if managers >= 5 && seed.is_multiple_of(2) { 5 } else { 3 };
        Play { seed, managers, voters, faults_for: 60_000_000, without }
    }
}

/// What a play showed.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Seen {
    /// Acts that were taken.
    pub acts: u64,
    /// Acts of a holder of the past that the fencing number kept out.
    pub fenced: u64,
    /// How often a duty began.
    pub grants: u64,
    /// Time in which a duty had no holder, over all duties, in microseconds of true time, and the longest.
    pub without_holder: (Micros, Micros),
    /// Messages that managers sent.
    pub messages: u64,
    /// Their bytes.
    pub bytes: u64,
    /// From the last fault until each duty had a holder.
    pub settled_after: Micros,
}

#[derive(Debug, Clone)]
struct MemoryDisk {
    ballot: Ballot,
    kept: Option<Kept>,
    /// What a disk that lies would go back to.
    before: Option<Kept>,
    /// Nothing more can be kept until the next start.
    full: bool,
}

impl Disk for MemoryDisk {
    fn keep(&mut self, batch: &Batch) -> Result<(), String> {
        if self.full {
            return Err("no space is left".to_owned());
        }
        self.before.clone_from(&self.kept);
        self.kept.as_mut().map_or(Err("nothing is founded".to_owned()), |kept| keep_in(kept, batch))
    }
}

impl VoterDisk for MemoryDisk {
    fn ballot(&self) -> Ballot {
        self.ballot.clone()
    }

    fn found(&mut self, kept: &Kept) -> Result<(), String> {
        self.kept = Some(kept.clone());
        self.ballot.founded = true;
        Ok(())
    }

    fn kept(&self) -> Result<Kept, String> {
        self.kept.clone().ok_or("nothing is founded".to_owned())
    }
}

struct Manager {
    node: Option<Node>,
    disk: Option<MemoryDisk>,
    life: u64,
    /// Its clock: local = true * rate + offset.
    rate: f64,
    offset: u64,
    still_until: Micros,
    /// What came while it stood still.
    waiting: Vec<Event>,
}

impl Manager {
    fn local(&self, at: Micros) -> Micros {
        (at as f64 * self.rate) as Micros + self.offset
    }

    /// The first moment of true time at which its clock shows this.
    fn true_time(&self, local: Micros) -> Micros {
        (local.saturating_sub(self.offset) as f64 / self.rate) as Micros
    }
}

#[derive(Debug, Clone)]
enum Event {
    Tick(usize),
    Message { from: usize, to: usize, bytes: Vec<u8> },
    Act { duty: usize, fence: u64 },
    Fault,
    Wake(usize),
    Restart(usize),
    Mend(usize, usize),
}

/// Who holds a duty, by its own clock, until when in true time.
type Holding = HashMap<usize, (u64, Micros)>;

struct World {
    play: Play,
    rng: Rand64,
    now: Micros,
    events: BinaryHeap<Reverse<(Micros, u64)>>,
    bodies: HashMap<u64, Event>,
    count: u64,
    managers: Vec<Manager>,
    cut: BTreeMap<(usize, usize), u32>,
    loss: f64,
    holding: Vec<Holding>,
    highest: Vec<u64>,
    since_none: Vec<Option<Micros>>,
    tables: BTreeMap<u64, Table>,
    seen: Seen,
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 20_000 + number as u16))
}

/// Plays it to its end.
///
/// # Errors
/// What did not hold, and when.
pub fn play(play: Play) -> Result<Seen, String> {
    let mut world = World::new(play);
    let end = play.faults_for + SETTLED_WITHIN;
    while let Some(Reverse((at, number))) = world.events.pop() {
        if at > end {
            let after = SETTLED_WITHIN / 1_000_000;
            return Err(format!(
                "{after} s after the last fault a duty has no holder, or one does not see all"
            ));
        }
        world.now = at;
        let Some(event) = world.bodies.remove(&number) else { continue };
        world.happen(event).map_err(|why| format!("at {:.3} s: {why}", at as f64 / 1e6))?;
        if at > play.faults_for && world.is_settled() {
            world.seen.settled_after = at - play.faults_for;
            return Ok(world.seen);
        }
    }
    Err("nothing happens any more".to_owned())
}

impl World {
    fn new(play: Play) -> World {
        let mut world = World {
            play,
            rng: Rand64::new(u128::from(play.seed)),
            now: 0,
            events: BinaryHeap::new(),
            bodies: HashMap::new(),
            count: 0,
            managers: Vec::new(),
            cut: BTreeMap::new(),
            loss: 0.0,
            holding: vec![Holding::new(); DUTIES.len()],
            highest: vec![0; DUTIES.len()],
            since_none: vec![Some(0); DUTIES.len()],
            tables: BTreeMap::new(),
            seen: Seen::default(),
        };
        world.loss = world.rng.rand_float() * 0.05;
        for number in 0..play.managers {
            let ballot = Ballot { id: world.rng.rand_u64() | 1, founded: false };
            let disk = (number < play.voters).then_some(MemoryDisk {
                ballot,
                kept: None,
                before: None,
                full: false,
            });
            let rate = 1.0 + DRIFT * (2.0 * world.rng.rand_float() - 1.0);
            let offset = world.rng.rand_range(0..1 << 40);
            world.managers.push(Manager {
                node: None,
                disk,
                life: 0,
                rate,
                offset,
                still_until: 0,
                waiting: Vec::new(),
            });
            let at = world.rng.rand_range(0..500_000);
            world.at(at, Event::Restart(number));
        }
        let first = world.rng.rand_range(2_000_000..8_000_000);
        world.at(first, Event::Fault);
        world
    }

    fn at(&mut self, at: Micros, event: Event) {
        self.count += 1;
        self.events.push(Reverse((at.max(self.now), self.count)));
        self.bodies.insert(self.count, event);
    }

    fn after(&mut self, least: Micros, most: Micros, event: Event) {
        let after = self.rng.rand_range(least..most.max(least + 1));
        self.at(self.now + after, event);
    }

    fn happen(&mut self, event: Event) -> Result<(), String> {
        match event {
            Event::Tick(number) | Event::Message { to: number, .. }
                if self.now < self.managers[number].still_until =>
            {
                self.managers[number].waiting.push(event);
            }
            Event::Tick(number) => {
                if self.managers[number].node.is_some() {
                    self.tell(number, Input::Tick)?;
                    self.act(number);
                    self.after(TICK_US * 9 / 10, TICK_US, Event::Tick(number));
                }
            }
            Event::Message { from, to, bytes } => {
                if !self.cut.contains_key(&(from, to)) {
                    self.tell(to, Input::Message(&bytes))?;
                }
            }
            Event::Act { duty, fence } => {
                let kept_out = fence < self.highest[duty];
                match kept_out && self.play.without != Without::Fencing {
                    true => self.seen.fenced += 1,
                    false if kept_out => {
                        return Err(format!(
                            "{}: act {fence} was taken after {}",
                            DUTIES[duty], self.highest[duty]
                        ));
                    }
                    false => {
                        self.highest[duty] = fence;
                        self.seen.acts += 1;
                    }
                }
            }
            Event::Wake(number) => {
                if self.now >= self.managers[number].still_until {
                    for event in std::mem::take(&mut self.managers[number].waiting) {
                        self.happen(event)?;
                    }
                }
            }
            Event::Restart(number) => {
                if self.managers[number].node.is_some() {
                    self.crash(number);
                }
                self.restart(number);
            }
            Event::Mend(from, to) => {
                if let Some(count) = self.cut.get_mut(&(from, to)) {
                    *count -= 1;
                    if *count == 0 {
                        self.cut.remove(&(from, to));
                    }
                }
            }
            Event::Fault => self.fault(),
        }
        Ok(())
    }

    fn restart(&mut self, number: usize) {
        let (seed, now) = (self.rng.rand_u64(), self.now);
        let manager = &mut self.managers[number];
        manager.life += 1;
        manager.disk.iter_mut().for_each(|disk| disk.full = false);
        let life = Life { name: format!("m{number}"), number: manager.life };
        let zone = format!("z{}", number % 3);
        let setup = Setup {
            cluster: "simulated".to_owned(),
            me: Member { life, address: address(number), zone, returns: 0 },
            seeds: (0..self.play.voters).map(address).collect(),
            voters: (0..self.play.voters).map(|voter| format!("m{voter}")).collect(),
            duties: DUTIES.iter().map(|duty| ((*duty).to_owned(), LEASE)).collect(),
            seed,
        };
        let disk = manager.disk.as_ref().map(|disk| disk as &dyn VoterDisk);
        let node = Node::start(setup, manager.local(now), disk);
        manager.node = Some(if self.play.without == Without::Margin { node.careless() } else { node });
        manager.still_until = 0;
        manager.waiting.clear();
        self.after(0, TICK_US, Event::Tick(number));
    }

    fn crash(&mut self, number: usize) {
        let manager = &mut self.managers[number];
        manager.node = None;
        manager.waiting.clear();
        if self.play.without == Without::Disk
            && let Some(disk) = &mut manager.disk
            && disk.before.is_some()
        {
            disk.kept = disk.before.take();
        }
        // What it began it can't go on with.
        for holding in &mut self.holding {
            holding.remove(&number);
        }
        self.note_holders();
    }

    fn cut_off(&mut self, from: usize, to: usize, most: Micros) {
        *self.cut.entry((from, to)).or_default() += 1;
        let left = self.play.faults_for.saturating_sub(self.now).max(1);
        self.after(100_000.min(left - 1), most.min(left), Event::Mend(from, to));
    }

    fn fault(&mut self) {
        let count = self.managers.len();
        let (one, other) =
            (self.rng.rand_range(0..count as u64) as usize, self.rng.rand_range(0..count as u64) as usize);
        let left = self.play.faults_for.saturating_sub(self.now);
        match self.rng.rand_range(0..9) {
            0 if one != other => self.cut_off(one, other, 10_000_000),
            1 => {
                // Cut off from all, one way or both.
                let ways = self.rng.rand_range(1..4);
                for peer in (0..count).filter(|peer| *peer != one) {
                    if ways & 1 != 0 {
                        self.cut_off(one, peer, 10_000_000);
                    }
                    if ways & 2 != 0 {
                        self.cut_off(peer, one, 10_000_000);
                    }
                }
            }
            2 => {
                // In two.
                let parts: Vec<bool> = (0..count).map(|_| self.rng.rand_float() < 0.5).collect();
                for (from, to) in (0..count).flat_map(|from| (0..count).map(move |to| (from, to))) {
                    if parts[from] != parts[to] {
                        self.cut_off(from, to, 6_000_000);
                    }
                }
            }
            3 | 4 => {
                // Stands still, most often the one that holds something.
                let holder = self.holding.iter().flat_map(HashMap::keys).min().copied();
                let one = holder.filter(|_| self.rng.rand_float() < 0.7).unwrap_or(one);
                let most = 10_000_000.min(left.max(1));
                let until = self.now + self.rng.rand_range(0..most);
                self.managers[one].still_until = until;
                self.at(until, Event::Wake(one));
            }
            5 | 6 if self.managers[one].node.is_some() => {
                self.crash(one);
                let most = 5_000_000.min(left.max(1));
                self.after(0, most, Event::Restart(one));
            }
            7 if self.managers[one].disk.as_ref().is_some_and(|disk| disk.kept.is_some()) => {
                // Its disk is full; somebody makes room and starts it again.
                self.managers[one].disk.iter_mut().for_each(|disk| disk.full = true);
                let most = 8_000_000.min(left.max(1));
                self.after(0, most, Event::Restart(one));
            }
            _ => self.loss = self.rng.rand_float() * 0.3,
        }
        let next = self.now + self.rng.rand_range(200_000..4_000_000);
        if next < self.play.faults_for {
            self.at(next, Event::Fault);
        } else {
            self.loss = 0.0;
        }
    }

    /// Hands something to a manager, and sees to what it wants done.
    fn tell(&mut self, number: usize, input: Input<'_>) -> Result<(), String> {
        let manager = &mut self.managers[number];
        let (local, mut out) = (manager.local(self.now), Vec::new());
        let Some(node) = &mut manager.node else { return Ok(()) };
        node.handle(local, input, manager.disk.as_mut().map(|disk| disk as &mut dyn VoterDisk), &mut out);
        if let Some(table) = node.leads().then(|| node.table().clone()) {
            match self.tables.get(&table.index) {
                Some(known) if *known != table => return Err(format!("two tables at place {}", table.index)),
                Some(_) => {}
                None => drop(self.tables.insert(table.index, table)),
            }
            while self.tables.len() > 64 {
                self.tables.pop_first();
            }
        }
        for one in out {
            match one {
                Output::Send(to, bytes) => {
                    (self.seen.messages, self.seen.bytes) =
                        (self.seen.messages + 1, self.seen.bytes + bytes.len() as u64);
                    let to = usize::from(to.port() - 20_000);
                    let copies = 1 + usize::from(self.rng.rand_float() < 0.02);
                    self.remember(number, to, &bytes);
                    let bytes = self.spoil(bytes);
                    for _ in 0..copies {
                        if self.rng.rand_float() >= self.loss && to < self.managers.len() {
                            // Some are very late, and out of order.
                            let most = if self.rng.rand_float() < 0.02 { 2_000_000 } else { 5_000 };
                            self.after(100, most, Event::Message { from: number, to, bytes: bytes.clone() });
                        }
                    }
                }
                Output::Duty(deed) => self.deed(number, deed)?,
                Output::Member(..) | Output::Note(_) | Output::Turn(..) | Output::Stand(..) => {}
            }
        }
        Ok(())
    }

    /// Now and then a message comes again long after it was sent, from a life that may be over.
    fn remember(&mut self, from: usize, to: usize, bytes: &[u8]) {
        if self.rng.rand_float() < 0.005 && to < self.managers.len() {
            self.after(1_000_000, 30_000_000, Event::Message { from, to, bytes: bytes.to_vec() });
        }
    }

    /// Now and then one is cut, or some of it is changed on the way.
    fn spoil(&mut self, mut bytes: Vec<u8>) -> Vec<u8> {
        if self.rng.rand_float() < 0.005 {
            let at = self.rng.rand_range(0..bytes.len() as u64) as usize;
            match self.rng.rand_float() < 0.5 {
                true => bytes.truncate(at),
                false => bytes[at] ^= 1 << self.rng.rand_range(0..8),
            }
        }
        bytes
    }

    fn deed(&mut self, number: usize, deed: Deed) -> Result<(), String> {
        let place = |duty: &str| DUTIES.iter().position(|known| *known == duty).unwrap_or(0);
        match deed {
            Deed::Began { duty, fence, until } => {
                self.seen.grants += 1;
                let until = self.managers[number].true_time(until);
                self.holding[place(&duty)].insert(number, (fence, until));
                self.alone(place(&duty), number)?;
            }
            Deed::Extended { duty, until, .. } => {
                let until = self.managers[number].true_time(until);
                if let Some(held) = self.holding[place(&duty)].get_mut(&number) {
                    held.1 = until;
                }
                self.alone(place(&duty), number)?;
            }
            Deed::Ended { duty, .. } => drop(self.holding[place(&duty)].remove(&number)),
            Deed::Finish { duty, .. } => self.tell(number, Input::Finished(&duty))?,
            Deed::Ask(..) | Deed::Noted { .. } => {}
        }
        self.note_holders();
        Ok(())
    }

    /// Never two at one moment.
    fn alone(&self, duty: usize, number: usize) -> Result<(), String> {
        let other =
            self.holding[duty].iter().find(|(other, (_, until))| **other != number && *until > self.now);
        match other {
            Some((other, (fence, until))) => Err(format!(
                "{}: m{number} holds it, and m{other} does under {fence} for {} us more",
                DUTIES[duty],
                until - self.now
            )),
            None => Ok(()),
        }
    }

    fn note_holders(&mut self) {
        for duty in 0..DUTIES.len() {
            let held = self.holding[duty].values().any(|(_, until)| *until > self.now);
            match (held, self.since_none[duty]) {
                (true, Some(since)) => {
                    let gap = self.now - since;
                    self.seen.without_holder.0 += gap;
                    self.seen.without_holder.1 = self.seen.without_holder.1.max(gap);
                    self.since_none[duty] = None;
                }
                (false, None) => self.since_none[duty] = Some(self.now),
                _ => {}
            }
        }
    }

    /// A holder looks whether it may act, and acts: what it does arrives later, after whatever happens in between.
    fn act(&mut self, number: usize) {
        let manager = &self.managers[number];
        let local = manager.local(self.now);
        let Some(node) = &manager.node else { return };
        let may: Vec<(usize, u64)> = (0..DUTIES.len())
            .filter_map(|duty| Some((duty, node.holder().may_act(DUTIES[duty], local)?)))
            .collect();
        for (duty, fence) in may {
            // Now and then it is stopped between its look and its act, for longer than a lease.
            let most = if self.rng.rand_float() < 0.01 { 4 * LEASE } else { 20_000 };
            self.after(0, most, Event::Act { duty, fence });
        }
    }

    fn is_settled(&self) -> bool {
        let held = |duty: &Holding| duty.values().any(|(_, until)| *until > self.now);
        let sees_all = |manager: &Manager| {
            manager
                .node
                .as_ref()
                .is_some_and(|node| node.members().others().count() + 1 == self.managers.len())
        };
        self.holding.iter().all(held) && self.managers.iter().all(sees_all)
    }
}
