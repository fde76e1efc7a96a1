//! One manager of a fleet: its membership, its leases, and its voter where it is one, behind one function that takes
//! what happened and gives what is to be done.

use crate::lease::{Ask, LONGEST_NAME, Life, Proposal, Table, Verdict};
use crate::lease_holder::{Deed, Holder, Micros, Why, Wish};
use crate::membership::{Member, Members, Word};
use crate::rolling_restart::{self, Stand, Step};
use crate::voter::{Batch, Disk, Failed, Kept, TICK_US, Voter};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// The form of what managers say to each other. One that hears a later form refuses it; forms of the same number stay
/// readable: what is added goes to the end of [`Body`].
pub const FORM: u16 = 1;
/// Bytes of one message at most: the longest table of [`crate::lease::MOST_DUTIES`] duties has some 60 KB.
pub const LONGEST_MESSAGE: usize = 256 * 1024;
/// Bytes of the checksum (CRC-32) before each message. It guards against what is cut or spoilt on the way, not against
/// somebody who means harm: for that the address must be shut to others.
const CHECK: usize = 4;
/// Who is no voter asks one for news of the table so often, in microseconds; so does a voter that is let in by none.
const LOOK_EVERY: Micros = 250_000;
/// Who knows no other member asks the seeds to be let in so often, in microseconds.
const JOIN_EVERY: Micros = 1_000_000;
/// One seed after another is asked so often by who knows others, in microseconds.
const REJOIN_EVERY: Micros = 5_000_000;
/// A voter of a new group asks the others so often whether they are new too, in microseconds.
const HELLO_EVERY: Micros = 250_000;
/// The steps of letting a voter in are put so far apart, in microseconds.
const ADMIT_EVERY: Micros = 500_000;
/// Proposals that a leader may owe an answer for.
const MOST_OWED: usize = 4096;

/// How a manager is set up.
#[derive(Debug, Clone)]
pub struct Setup {
    /// The fleet's name: who has another is a stranger.
    pub cluster: String,
    /// This manager.
    pub me: Member,
    /// Where others may be found at the start.
    pub seeds: Vec<SocketAddr>,
    /// The names of the voters of a new group. A group that is founded knows its own.
    pub voters: Vec<String>,
    /// The duties, and the lease of each in microseconds.
    pub duties: BTreeMap<String, u64>,
    /// For random numbers.
    pub seed: u64,
}

/// What a voter's disk holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ballot {
    /// The voter's number, drawn when its file was made: one whose file is lost has another, and no vote.
    pub id: u64,
    /// Whether the group was founded with it.
    pub founded: bool,
}

/// The disk of one that is to vote.
pub trait VoterDisk: Disk {
    /// What is there of its own.
    fn ballot(&self) -> Ballot;
    /// The group is founded: keeps the beginning, all of it or none.
    fn found(&mut self, kept: &Kept) -> Result<(), String>;
    /// What was kept.
    fn kept(&self) -> Result<Kept, String>;
}

/// What managers say to each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Membership.
    Gossip(Vec<u8>),
    /// Between voters.
    Vote(Vec<u8>),
    /// A voter of a group that is not founded yet tells its number; one that is founded tells the voters it knows.
    Hello {
        /// Its own number.
        id: u64,
        /// The voters of the group, where it is founded.
        voters: Option<BTreeMap<u64, String>>,
    },
    /// A manager asks something of the voters.
    Ask {
        /// Names the question.
        nonce: u64,
        /// The question.
        ask: Ask,
        /// Voters that have passed it on.
        hops: u8,
        /// Who asks.
        from: Life,
        /// Where the answer goes.
        back: SocketAddr,
    },
    /// The voters' answer.
    Answer {
        /// The question.
        nonce: u64,
        /// The answer.
        verdict: Verdict,
    },
    /// A manager has the table up to here, and asks for a newer one.
    Look {
        /// The last entry in it.
        index: u64,
    },
    /// The table.
    Table(Table),
    /// Whoever plays a roll tells a manager its step, under the number that it holds the duty by.
    Turn {
        /// The fencing number.
        fence: u64,
        /// The step.
        step: Step,
    },
    /// The answer: where the manager stands.
    Stand(Stand),
}

/// A message with its sender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Of this form.
    pub form: u16,
    /// Of this fleet.
    pub cluster: String,
    /// From this life of a manager.
    pub from: Life,
    /// What it says.
    pub body: Body,
}

/// Why a message was refused. Each is counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Refused {
    /// Longer than any message is.
    TooLong,
    /// Cut, spoilt, or of an unknown kind.
    Unreadable,
    /// Of a later form.
    LaterForm,
    /// Of another fleet.
    OtherCluster,
    /// Of a life that is over.
    OldLife,
    /// A voter's word to one that has no vote, from one that has none, or that makes no sense.
    NoVote,
    /// Membership that can't be used.
    Gossip,
    /// An act under a number that is not its duty's holder's.
    OldNumber,
}

impl Refused {
    /// Its code, as metrics and pages have it.
    pub fn code(self) -> &'static str {
        match self {
            Refused::TooLong => "too_long",
            Refused::Unreadable => "unreadable",
            Refused::LaterForm => "later_form",
            Refused::OtherCluster => "other_cluster",
            Refused::OldLife => "old_life",
            Refused::NoVote => "no_vote",
            Refused::Gossip => "gossip",
            Refused::OldNumber => "old_number",
        }
    }
}

/// What happened.
#[derive(Debug)]
pub enum Input<'a> {
    /// Time has passed: at least once in [`TICK_US`].
    Tick,
    /// A message came.
    Message(&'a [u8]),
    /// What was begun under a duty is done.
    Finished(&'a str),
    /// Note how far a duty's work has come, worked out from the note of this number.
    Note(&'a str, u64, String),
    /// Tell a manager a step of the roll; it goes out only while the duty is held.
    Turn(&'a str, Step),
    /// Say there where this manager stands.
    Stand(SocketAddr, Stand),
    /// Hand one duty over.
    HandOver(&'a str),
    /// Hand all over and take none (`true`), or take again.
    Drain(bool),
    /// This manager goes for good.
    Leave,
}

/// What is to be done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Send this there. It may be lost.
    Send(SocketAddr, Vec<u8>),
    /// Of a duty: begun, held for longer, to be finished, ended. ([`Deed::Ask`] does not come out.)
    Duty(Deed),
    /// A member came (`true`) or is gone.
    Member(Member, bool),
    /// A step of a roll for this manager, told under the number of the duty's holder; where its stand is to be told.
    Turn(SocketAddr, Step),
    /// Where another manager stands, by its own word.
    Stand(Life, Stand),
    /// Something for the log.
    Note(String),
}

/// Where the vote of a manager stands.
enum Vote {
    /// It is no voter.
    None,
    /// The group is not founded, as far as it knows: what others have told of themselves.
    Waiting(HashMap<String, u64>),
    /// It votes.
    Voter(Box<Voter>),
    /// Its disk failed, or it was lost: it votes no more until an operator lets it in.
    Out(String),
}

/// One manager.
pub struct Node {
    setup: Setup,
    members: Members,
    holder: Holder,
    vote: Vote,
    ballot: Option<Ballot>,
    /// Questions that this leader has put to the voters, by asker and number: where the answer goes.
    owed: HashMap<(Life, u64), SocketAddr>,
    lives: HashMap<String, u64>,
    refused: BTreeMap<Refused, u64>,
    ticked: Micros,
    look_at: Micros,
    join_at: Micros,
    joined: usize,
    hello_at: Micros,
    /// The voter that is asked next, by turns.
    turn: usize,
    /// The leader as it was last told.
    leader: Option<String>,
    /// Numbers of voters that the group does not know, by name.
    knocking: BTreeMap<String, u64>,
    admitting: Option<(String, u64)>,
    admit_at: Micros,
    words: Vec<Word>,
    deeds: Vec<Deed>,
}

impl std::fmt::Debug for Node {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        out.debug_struct("Node")
            .field("me", &self.setup.me.life)
            .field("vote", &self.standing())
            .finish_non_exhaustive()
    }
}

impl Node {
    /// A manager that starts now. A disk makes it a voter, if the group has it as one.
    pub fn start(setup: Setup, now: Micros, disk: Option<&dyn VoterDisk>) -> Node {
        let ballot = disk.map(VoterDisk::ballot);
        let vote = match (&ballot, disk) {
            (Some(ballot), Some(disk)) if ballot.founded => {
                let started =
                    disk.kept().map_err(Failed::Kept).and_then(|kept| Voter::start(ballot.id, &kept, true));
                match started {
                    Ok(voter) => Vote::Voter(Box::new(voter)),
                    Err(why) => Vote::Out(why.to_string()),
                }
            }
            (Some(_), _) => Vote::Waiting(HashMap::new()),
            _ => Vote::None,
        };
        let members = Members::new(setup.me.clone(), setup.seed);
        let holder = Holder::new(setup.me.life.clone(), setup.seed ^ 0x6c65_6173_6573);
        let mut node = Node {
            members,
            holder,
            vote,
            ballot,
            owed: HashMap::new(),
            lives: HashMap::new(),
            refused: BTreeMap::new(),
            ticked: now,
            look_at: now,
            join_at: now,
            joined: 0,
            hello_at: now,
            turn: setup.seed as usize % 8,
            leader: None,
            knocking: BTreeMap::new(),
            admitting: None,
            admit_at: now,
            words: Vec::new(),
            deeds: Vec::new(),
            setup,
        };
        node.rank();
        node
    }

    /// A manager whose leases are counted wrongly, for simulations.
    #[doc(hidden)]
    pub fn careless(mut self) -> Node {
        self.holder = Holder::careless(self.setup.me.life.clone(), self.setup.seed);
        self.rank();
        self
    }

    /// Its leases.
    pub fn holder(&self) -> &Holder {
        &self.holder
    }

    /// Its members.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// The table as it is known here.
    pub fn table(&self) -> &Table {
        match &self.vote {
            Vote::Voter(voter) if voter.table().index > self.holder.table().index => voter.table(),
            _ => self.holder.table(),
        }
    }

    /// What was refused, by reason.
    pub fn refused(&self) -> &BTreeMap<Refused, u64> {
        &self.refused
    }

    /// Whether it leads the voters.
    pub fn leads(&self) -> bool {
        matches!(&self.vote, Vote::Voter(voter) if voter.leads())
    }

    /// Where its vote stands, in words for operators.
    pub fn standing(&self) -> String {
        match &self.vote {
            Vote::None => "no voter".to_owned(),
            Vote::Waiting(_) => "waits for the group to be founded".to_owned(),
            Vote::Voter(voter) if !voter.is_member() => {
                "is not in the group, as far as its log goes".to_owned()
            }
            Vote::Voter(voter) if voter.leads() => format!("leads in term {}", voter.term()),
            Vote::Voter(voter) => format!("votes in term {}", voter.term()),
            Vote::Out(why) => format!("has no vote: {why}"),
        }
    }

    /// Its number as a voter.
    pub fn ballot(&self) -> Option<&Ballot> {
        self.ballot.as_ref()
    }

    /// Voters whose number the group does not know: they wait to be let in.
    pub fn waiting(&self) -> impl Iterator<Item = &String> {
        self.knocking.keys()
    }

    /// Lets a voter in under the number that it has now; its old one goes. Only the leader can.
    ///
    /// # Errors
    /// Why not, in words for operators.
    pub fn admit(&mut self, name: &str) -> Result<(), String> {
        if !self.leads() {
            return Err(format!("only the leader can: {}", self.leader.as_deref().unwrap_or("not known")));
        }
        let id =
            self.knocking.get(name).copied().ok_or_else(|| format!("{name} does not wait to be let in"))?;
        self.admitting = Some((name.to_owned(), id));
        Ok(())
    }

    /// Has another voter lead, so that the group need not wait until it misses this one.
    fn hand_lead_over(&mut self) {
        if let Vote::Voter(voter) = &mut self.vote
            && voter.leads()
        {
            let there = |name: &String| self.members.others().any(|one| one.life.name == *name);
            let next = voter.table().voters.iter().find(|(id, name)| **id != voter.id() && there(name));
            if let Some(id) = next.map(|(id, _)| *id) {
                voter.hand_lead_to(id);
            }
        }
    }

    /// One step of letting a voter in: the old number goes first, then the new one comes. Each is an entry of the log.
    fn let_in(&mut self, now: Micros) {
        let (Vote::Voter(voter), Some((name, id))) = (&mut self.vote, &self.admitting) else { return };
        if !voter.leads() || now < self.admit_at {
            return;
        }
        self.admit_at = now + ADMIT_EVERY;
        let voters = &voter.table().voters;
        let old = voters.iter().find(|(known, of)| *of == name && *known != id).map(|(known, _)| *known);
        let is_in = voters.contains_key(id);
        // A step that is not carried out by then is put again; the library takes one at a time.
        let _again = match (old, is_in) {
            (Some(old), _) => voter.change_voters(old, None),
            (None, false) => voter.change_voters(*id, Some(name)),
            (None, true) => {
                self.knocking.remove(name);
                self.admitting = None;
                Ok(())
            }
        };
    }

    /// Takes what happened, and gives what is to be done.
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
                if let Err(why) = self.message(now, bytes, out) {
                    *self.refused.entry(why).or_default() += 1;
                }
            }
            Input::Finished(duty) => {
                let successor = self.successor(duty);
                self.holder.finished(now, duty, successor, &mut self.deeds);
            }
            Input::Note(duty, on, note) => self.holder.note(now, duty, on, note, &mut self.deeds),
            Input::Turn(name, step) => {
                let to = self.members.named(name).map(|member| member.address);
                if let (Some(fence), Some(to)) = (self.holder.may_act(rolling_restart::DUTY, now), to) {
                    match to == self.setup.me.address {
                        true => out.push(Output::Turn(to, step)),
                        false => self.send(to, Body::Turn { fence, step }, out),
                    }
                }
            }
            Input::Stand(to, stand) if to == self.setup.me.address => {
                out.push(Output::Stand(self.setup.me.life.clone(), stand));
            }
            Input::Stand(to, stand) => self.send(to, Body::Stand(stand), out),
            Input::HandOver(duty) => self.holder.hand_over(duty, &mut self.deeds),
            Input::Drain(draining) => self.holder.drain(draining, &mut self.deeds),
            Input::Leave => {
                self.hand_lead_over();
                self.members.leave(now, &mut self.words);
            }
        }
        self.settle(now, disk, out);
    }

    /// Goes on until nothing more follows from what happened.
    fn settle(&mut self, now: Micros, mut disk: Option<&mut dyn VoterDisk>, out: &mut Vec<Output>) {
        loop {
            for word in std::mem::take(&mut self.words) {
                match word {
                    Word::Say(to, data) => self.send(to.address, Body::Gossip(data), out),
                    Word::Up(member) => self.came(member, true, out),
                    Word::Down(member) => self.came(member, false, out),
                    Word::Back => {
                        out.push(Output::Note("the members had given this manager up: it is back".to_owned()))
                    }
                }
            }
            for deed in std::mem::take(&mut self.deeds) {
                match deed {
                    Deed::Ask(nonce, ask) => {
                        let (from, back) = (self.setup.me.life.clone(), self.setup.me.address);
                        self.put(nonce, ask, 0, from, back, out);
                    }
                    deed => out.push(Output::Duty(deed)),
                }
            }
            if let Some(disk) = disk.as_deref_mut() {
                self.begin(disk, out);
                self.vote(now, disk, out);
            }
            if self.words.is_empty() && self.deeds.is_empty() {
                return;
            }
        }
    }

    fn tick(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.members.tick(now, &mut self.words);
        if now >= self.join_at {
            let (me, alone) = (self.setup.me.address, self.members.others().next().is_none());
            self.join_at = now + if alone { JOIN_EVERY } else { REJOIN_EVERY };
            let seeds: Vec<SocketAddr> = self.setup.seeds.iter().copied().filter(|at| *at != me).collect();
            // One after another: it may be that only others' old lives are known here, who answer nobody.
            self.joined = self.joined.wrapping_add(1);
            let next = seeds.get(self.joined % seeds.len().max(1)).copied();
            let asked = seeds.into_iter().filter(|at| alone || Some(*at) == next);
            asked.for_each(|at| self.members.join(now, at, &mut self.words));
        }
        if let Vote::Voter(voter) = &mut self.vote {
            // One that was stopped for long does not make up for it: a leader's time to be heard begins anew.
            if now - self.ticked >= TICK_US {
                voter.tick();
                self.ticked = now.max(self.ticked + TICK_US) - (now - self.ticked) % TICK_US;
            }
        }
        if now >= self.hello_at
            && let (Vote::Waiting(_) | Vote::Out(_), Some(ballot)) = (&self.vote, &self.ballot)
            && !ballot.founded
        {
            self.hello_at = now + HELLO_EVERY;
            let (id, me) = (ballot.id, &self.setup.me.life.name);
            let others = self
                .setup
                .voters
                .iter()
                .filter(|name| *name != me)
                .filter_map(|name| self.members.named(name));
            let others: Vec<SocketAddr> = others.map(|member| member.address).collect();
            others.into_iter().for_each(|at| self.send(at, Body::Hello { id, voters: None }, out));
        }
        if now >= self.look_at && !matches!(self.vote, Vote::Voter(_)) {
            self.look_at = now + LOOK_EVERY;
            if let Some(at) = self.some_voter() {
                self.send(at, Body::Look { index: self.holder.table().index }, out);
            }
        }
        self.let_in(now);
        self.holder.tick(now, &mut self.deeds);
    }

    /// The voters' names, as far as they are known.
    fn voters(&self) -> Vec<String> {
        let told: Vec<String> = self.table().voters.values().cloned().collect();
        if told.is_empty() { self.setup.voters.clone() } else { told }
    }

    /// A voter that is there, another at each call; the leader first where it is known.
    fn some_voter(&mut self) -> Option<SocketAddr> {
        let voters = self.voters();
        let there = voters.iter().filter_map(|name| self.members.named(name));
        let there: Vec<SocketAddr> =
            there.map(|member| member.address).filter(|at| *at != self.setup.me.address).collect();
        self.turn = self.turn.wrapping_add(1);
        there.get(self.turn % there.len().max(1)).copied()
    }

    fn send(&self, to: SocketAddr, body: Body, out: &mut Vec<Output>) {
        let (cluster, from) = (self.setup.cluster.clone(), self.setup.me.life.clone());
        match postcard::to_stdvec(&Envelope { form: FORM, cluster, from, body }) {
            Ok(told) if told.len() <= LONGEST_MESSAGE - CHECK => {
                let mut bytes = crc32fast::hash(&told).to_le_bytes().to_vec();
                bytes.extend(told);
                out.push(Output::Send(to, bytes));
            }
            _ => out.push(Output::Note("a message was too long to be sent".to_owned())),
        }
    }

    fn message(&mut self, now: Micros, bytes: &[u8], out: &mut Vec<Output>) -> Result<(), Refused> {
        if bytes.len() > LONGEST_MESSAGE {
            return Err(Refused::TooLong);
        }
        let (check, bytes) = bytes.split_at_checked(CHECK).ok_or(Refused::Unreadable)?;
        if check != crc32fast::hash(bytes).to_le_bytes() {
            return Err(Refused::Unreadable);
        }
        // The form comes first in every form.
        let form: u16 = postcard::take_from_bytes(bytes).map_err(|_| Refused::Unreadable)?.0;
        if form > FORM {
            return Err(Refused::LaterForm);
        }
        let (told, rest) = postcard::take_from_bytes::<Envelope>(bytes).map_err(|_| Refused::Unreadable)?;
        if !rest.is_empty() || told.from.name.len() > LONGEST_NAME {
            return Err(Refused::Unreadable);
        }
        if told.cluster != self.setup.cluster {
            return Err(Refused::OtherCluster);
        }
        // Names come and go; only those of members are kept.
        let known = self.members.named(&told.from.name).map_or(0, |member| member.life.number);
        let latest = self.lives.get(&told.from.name).copied().unwrap_or(0).max(known);
        if told.from.number < latest
            || (told.from.name == self.setup.me.life.name && told.from != self.setup.me.life)
        {
            return Err(Refused::OldLife);
        }
        if known > 0 {
            self.lives.insert(told.from.name.clone(), told.from.number);
        }
        match told.body {
            Body::Gossip(word) => {
                self.members.hear(now, &word, &mut self.words).map_err(|_| Refused::Gossip)?;
            }
            Body::Vote(word) => match &mut self.vote {
                Vote::Voter(voter) => voter.step(&word).map_err(|_| Refused::NoVote)?,
                _ => return Err(Refused::NoVote),
            },
            Body::Hello { id, voters } => self.hello(&told.from, id, voters, out)?,
            Body::Ask { nonce, ask, hops, from, back } => self.put(nonce, ask, hops, from, back, out),
            Body::Answer { nonce, verdict } => self.holder.answered(now, nonce, verdict, &mut self.deeds),
            Body::Look { index } => {
                let table = self.table();
                let back = self.members.named(&told.from.name).map(|member| member.address);
                if let (true, Some(back)) = (table.index > index, back) {
                    self.send(back, Body::Table(table.clone()), out);
                }
            }
            Body::Turn { fence, step } => {
                // The table is the voters' and outlives this manager: one that has just started knows no number yet,
                // and heeds none until it has seen it.
                let grant = self.table().rows.get(rolling_restart::DUTY).and_then(|row| row.grant.as_ref());
                if !grant.is_some_and(|grant| grant.fence == fence && grant.holder == told.from) {
                    return Err(Refused::OldNumber);
                }
                if let Some(back) = self.members.named(&told.from.name).map(|member| member.address) {
                    out.push(Output::Turn(back, step));
                }
            }
            // Only of members: names of others come and go.
            Body::Stand(stand) if known > 0 => out.push(Output::Stand(told.from, stand)),
            Body::Stand(_) => return Err(Refused::OldLife),
            Body::Table(table) => {
                if !matches!(self.vote, Vote::Voter(_)) {
                    self.holder.see(now, table, &mut self.deeds);
                }
            }
        }
        Ok(())
    }

    /// Founding. All voters of a new group tell their numbers; once one has heard all, that is the group. A voter whose
    /// number the others do not know has lost its file since: it has no vote, and says so.
    fn hello(
        &mut self,
        from: &Life,
        id: u64,
        voters: Option<BTreeMap<u64, String>>,
        out: &mut Vec<Output>,
    ) -> Result<(), Refused> {
        if !self.setup.voters.contains(&from.name)
            && !self.table().voters.values().any(|name| *name == from.name)
        {
            return Err(Refused::NoVote);
        }
        let back = self.members.named(&from.name).map(|member| member.address);
        let mine = self.ballot.as_ref().map(|ballot| ballot.id);
        match (&mut self.vote, voters) {
            (Vote::Voter(voter), None) => {
                // The one that asks may have missed the founding, or come late to it.
                let voters = voter.table().voters.clone();
                if !voters.contains_key(&id) {
                    self.knocking.insert(from.name.clone(), id);
                }
                if let (Some(back), Some(id)) = (back, mine) {
                    self.send(back, Body::Hello { id, voters: Some(voters) }, out);
                }
            }
            (Vote::Waiting(heard), None) => drop(heard.insert(from.name.clone(), id)),
            (Vote::Waiting(heard), Some(voters)) => match mine.filter(|mine| voters.contains_key(mine)) {
                Some(_) => *heard = voters.into_iter().map(|(id, name)| (name, id)).collect(),
                None => {
                    let why = "its file was lost: the group knows it under another number".to_owned();
                    out.push(Output::Note(format!("no vote: {why}")));
                    self.vote = Vote::Out(why);
                }
            },
            _ => {}
        }
        Ok(())
    }

    /// Begins to vote once the group is whole, or once it was let in.
    fn begin(&mut self, disk: &mut dyn VoterDisk, out: &mut Vec<Output>) {
        let Some(ballot) = self.ballot.clone() else { return };
        let table = match &self.vote {
            Vote::Waiting(heard) => {
                let mut all = heard.clone();
                all.insert(self.setup.me.life.name.clone(), ballot.id);
                if !self.setup.voters.iter().all(|name| all.contains_key(name)) {
                    return;
                }
                Table { voters: all.into_iter().map(|(name, id)| (id, name)).collect(), ..Table::default() }
            }
            // Let in by an operator under its new number: it begins with nothing, and the leader sends it the rest.
            Vote::Out(_) if self.holder.table().voters.contains_key(&ballot.id) && !ballot.founded => {
                let voters = self.holder.table().voters.clone();
                Table {
                    voters: voters.into_iter().filter(|(id, _)| *id != ballot.id).collect(),
                    ..Table::default()
                }
            }
            _ => return,
        };
        let started = Kept::first(&table).and_then(|kept| {
            disk.found(&kept).map_err(Failed::Disk)?;
            Voter::start(ballot.id, &kept, true)
        });
        self.ballot = Some(Ballot { founded: true, ..ballot });
        self.vote = match started {
            Ok(voter) => {
                out.push(Output::Note(format!("votes, with {} in all", table.voters.len())));
                Vote::Voter(Box::new(voter))
            }
            Err(why) => Vote::Out(why.to_string()),
        };
    }

    /// A question for the voters: put to them where this one leads, passed on where it does not.
    #[allow(clippy::too_many_arguments)]
    fn put(&mut self, nonce: u64, ask: Ask, hops: u8, from: Life, back: SocketAddr, out: &mut Vec<Output>) {
        match &mut self.vote {
            Vote::Voter(voter) if voter.leads() => {
                let proposal = Proposal { from: from.clone(), nonce, ask };
                if self.owed.len() < MOST_OWED && voter.propose(&proposal).is_ok() {
                    self.owed.insert((from, nonce), back);
                }
            }
            Vote::Voter(voter) => {
                let leader = voter.leader().and_then(|id| voter.table().voters.get(&id));
                let at = leader.and_then(|name| self.members.named(name)).map(|member| member.address);
                if let Some(at) = at.filter(|_| hops < 2) {
                    self.send(at, Body::Ask { nonce, ask, hops: hops + 1, from, back }, out);
                }
            }
            _ if hops == 0 => {
                if let Some(at) = self.some_voter() {
                    self.send(at, Body::Ask { nonce, ask, hops, from, back }, out);
                }
            }
            _ => {}
        }
    }

    fn vote(&mut self, now: Micros, disk: &mut dyn VoterDisk, out: &mut Vec<Output>) {
        let Vote::Voter(voter) = &mut self.vote else { return };
        let turn = match voter.turn(disk as &mut dyn Disk) {
            Ok(turn) => turn,
            Err(why) => {
                // What it had promised is there; nothing more is promised.
                out.push(Output::Note(format!("no vote any more: {why}")));
                self.vote = Vote::Out(why.to_string());
                return;
            }
        };
        let leader = voter.leader().and_then(|id| voter.table().voters.get(&id)).cloned();
        let (table, leads) = (turn.changed.then(|| voter.table().clone()), voter.leads());
        let voters = voter.table().voters.clone();
        if leader != self.leader {
            out.push(Output::Note(format!(
                "the voters are led by {}",
                leader.as_deref().unwrap_or("nobody")
            )));
            self.leader = leader;
        }
        for (to, message) in turn.messages {
            if let Some(member) = voters.get(&to).and_then(|name| self.members.named(name)) {
                self.send(member.address, Body::Vote(message), out);
            }
        }
        for (proposal, verdict) in turn.done {
            let nonce = proposal.nonce;
            match self.owed.remove(&(proposal.from.clone(), nonce)) {
                _ if proposal.from == self.setup.me.life => {
                    self.holder.answered(now, nonce, verdict, &mut self.deeds)
                }
                Some(back) => self.send(back, Body::Answer { nonce, verdict }, out),
                None => {}
            }
        }
        if !leads {
            self.owed.clear();
        }
        if let Some(table) = table {
            self.holder.see(now, table, &mut self.deeds);
        }
    }

    fn came(&mut self, member: Member, up: bool, out: &mut Vec<Output>) {
        if !up {
            self.lives.remove(&member.life.name);
        }
        out.push(Output::Member(member, up));
        self.rank();
    }

    /// The order in which managers ask for a duty that is free: by rendezvous hashing of duty and name, so that duties
    /// spread over managers, and the loss of one moves only its own.
    fn order(&self, duty: &str) -> Vec<String> {
        let others = self.members.others().map(|member| member.life.name.clone());
        let mut names: Vec<String> = others.chain([self.setup.me.life.name.clone()]).collect();
        names.sort_by_key(|name| std::cmp::Reverse(weight(duty, name)));
        names.dedup();
        names
    }

    fn successor(&self, duty: &str) -> Option<String> {
        self.order(duty).into_iter().find(|name| *name != self.setup.me.life.name)
    }

    fn rank(&mut self) {
        let wishes = self.setup.duties.iter().map(|(duty, lease_us)| {
            let place = self.order(duty).iter().position(|name| *name == self.setup.me.life.name);
            (duty.clone(), Wish { lease_us: *lease_us, rank: place.unwrap_or(0) as u64 })
        });
        self.holder.wish(wishes.collect());
    }
}

/// Start and factor of the FNV-1a hash.
const FNV: (u64, u64) = (0xcbf2_9ce4_8422_2325, 0x100_0000_01b3);

/// A manager's weight for a duty, the same at every manager and in every build.
fn weight(duty: &str, name: &str) -> u64 {
    let bytes = duty.bytes().chain([0]).chain(name.bytes());
    let hash = bytes.fold(FNV.0, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV.1));
    // The last bytes weigh as much as the first (finalizer of MurmurHash3).
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^ (hash >> 33)
}

/// Takes a batch in where a voter's disk is memory alone.
pub fn keep_in(kept: &mut Kept, batch: &Batch) -> Result<(), String> {
    kept.take(batch).map_err(|error| error.to_string())
}

/// Why a duty ended, in a word for the log.
pub fn word(why: Why) -> &'static str {
    match why {
        Why::Lapsed => "its lease ran out",
        Why::Lost => "another holds it",
        Why::HandedOver => "it was handed over",
    }
}
