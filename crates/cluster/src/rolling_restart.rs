//! A roll: managers take turns at being drained or restarted, so many of one zone at once, while the rest serve. The one
//! that holds the duty ([`DUTY`]) plays it; its state is the duty's note, so whoever holds the duty next goes on from it.
//!
//! ```text
//!   left --begin--> Draining --drained, nothing open--> Returning --ready (restarted: in a new life)--> done
//!                       \--------- not within the time of a turn: the roll stops, and says why --------/
//! ```
//!
//! Each step that matters is noted before it is acted on: a step may be told twice, by two holders one after another,
//! and does no harm. Whoever is told looks at the teller's fencing number.

use crate::lease::Life;
use crate::lease_holder::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The duty of whoever plays rolls.
pub const DUTY: &str = "warden";
/// A manager that has not come back by then stops the roll: the longest deadline of a request (25 s) twice, and some.
pub const TURN_WITHIN: Micros = 60_000_000;

/// What is done to each manager.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum How {
    /// It is drained, and goes back to work.
    Drain,
    /// It is drained and ends; what runs it starts it again.
    Restart,
}

/// Where a roll stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It goes on.
    Running,
    /// Those whose turn has begun come back; nobody else's begins.
    Paused,
    /// It was taken back: those whose turn has begun go back to work, and it stops.
    TakenBack,
    /// It has stopped.
    Stopped,
    /// All had their turn.
    Done,
}

/// What a manager is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// Say where you stand.
    Look,
    /// Send your clients away, where it is still this life: the word may reach the next one.
    Quiesce(u64),
    /// Back to work.
    Resume,
    /// End, where it is still this life.
    Restart(u64),
}

/// Where a manager stands, by its own word.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stand {
    /// It takes work.
    pub ready: bool,
    /// It sends clients away.
    pub drained: bool,
    /// Requests and connections that it still has.
    pub open: u64,
    /// When it said so, by its own clock in microseconds: words overtake each other.
    pub at: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Stage {
    Draining,
    Returning,
}

/// A manager whose turn is to come.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Turn {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Begun {
    name: String,
    zone: String,
    /// Its life as its turn began: after a restart it is another.
    life: u64,
    stage: Stage,
}

/// A roll.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roll {
    how: How,
    /// Managers at once, all of one zone.
    most: usize,
    state: State,
    left: Vec<Turn>,
    now: Vec<Begun>,
    done: Vec<String>,
    /// Why it stopped.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    why: String,
}

/// Where each manager stands, and in which life it said so.
pub type Stands = BTreeMap<String, (Life, Stand)>;

/// Takes a manager's word in, unless a later one is there.
pub fn hear(stands: &mut Stands, life: Life, stand: Stand) {
    let known = stands.get(&life.name).map_or((0, 0), |(life, stand)| (life.number, stand.at));
    if (life.number, stand.at) >= known {
        stands.insert(life.name.clone(), (life, stand));
    }
}

/// What one holder of the duty has seen: it begins anew with each.
#[derive(Debug, Default)]
pub struct Watch {
    /// Where the managers stand.
    pub stands: Stands,
    since: BTreeMap<String, (bool, Micros)>,
}

impl Roll {
    /// Over these managers in this order, whoever plays it (`last`) at the end.
    pub fn new(how: How, most: usize, mut turns: Vec<Turn>, last: &str) -> Roll {
        turns.sort_by_key(|turn| (turn.name == last, turn.zone.clone(), turn.name.clone()));
        Roll {
            how,
            most: most.max(1),
            state: State::Running,
            left: turns,
            now: Vec::new(),
            done: Vec::new(),
            why: String::new(),
        }
    }

    /// From a duty's note.
    pub fn read(note: &str) -> Option<Roll> {
        serde_json::from_str(note).ok()
    }

    /// As a duty's note.
    pub fn note(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Where it stands.
    pub fn state(&self) -> State {
        self.state
    }

    /// Whether somebody's turn has not ended.
    pub fn is_open(&self) -> bool {
        !matches!(self.state, State::Stopped | State::Done)
    }

    /// Those whose turn it is.
    pub fn now(&self) -> impl Iterator<Item = &str> {
        self.now.iter().map(|begun| begun.name.as_str())
    }

    /// An operator's word: pause, go on, take back. False where it makes no sense now.
    pub fn turn_to(&mut self, state: State) -> bool {
        let may = match (self.state, state) {
            (State::Running, State::Paused | State::TakenBack)
            | (State::Paused, State::Running | State::TakenBack) => true,
            // What stopped goes on where it was: with the one that did not come back.
            (State::Stopped, State::Running) => true,
            _ => false,
        };
        if may {
            self.state = state;
            self.why.clear();
        }
        may
    }

    /// Goes one step on. Where it gives `true` the roll has changed, and its note must be kept before anything is told;
    /// else it gives what is to be told to whom.
    pub fn step(&mut self, now: Micros, watch: &mut Watch, tell: &mut Vec<(String, Step)>) -> bool {
        if !self.is_open() {
            watch.since.clear();
            return false;
        }
        let before = self.clone();
        let (how, state) = (self.how, self.state);
        let mut late = None;
        for begun in &mut self.now {
            let stand = watch.stands.get(&begun.name);
            let again = stand.is_some_and(|(life, _)| life.number > begun.life);
            let stand = stand.map(|(_, stand)| *stand);
            let returned = stand.is_some_and(|stand| stand.ready)
                && (how == How::Drain || again || state == State::TakenBack);
            let empty = stand.is_some_and(|stand| stand.drained && stand.open == 0);
            let step = match (begun.stage, state, how) {
                (_, State::TakenBack, _) if returned => None,
                (_, State::TakenBack, _) => Some(Step::Resume),
                (Stage::Draining, _, How::Restart) if again => None,
                (Stage::Draining, _, How::Drain) if empty => None,
                (Stage::Draining, _, How::Restart) if empty => Some(Step::Restart(begun.life)),
                (Stage::Draining, ..) => Some(Step::Quiesce(begun.life)),
                (Stage::Returning, ..) if returned => None,
                (Stage::Returning, ..) => Some(Step::Resume),
            };
            match step {
                Some(step) => tell.push((begun.name.clone(), step)),
                None if begun.stage == Stage::Draining && state != State::TakenBack => {
                    begun.stage = Stage::Returning
                }
                None => self.done.push(begun.name.clone()),
            }
            let returning = begun.stage == Stage::Returning;
            let since = watch.since.entry(begun.name.clone()).or_insert((returning, now));
            if since.0 != returning {
                *since = (returning, now);
            }
            if step.is_some() && now - since.1 > TURN_WITHIN {
                let what = if returning { "ready" } else { "drained" };
                late = Some(format!("{} was not {what} within {} s", begun.name, TURN_WITHIN / 1_000_000));
            }
        }
        let done = &self.done;
        self.now.retain(|begun| !done.contains(&begun.name));
        watch.since.retain(|name, _| self.now.iter().any(|begun| begun.name == *name));
        if let Some(why) = late {
            (self.state, self.why) = (State::Stopped, why);
            // Taken up again, it has all its time once more.
            watch.since.clear();
        }
        if self.state == State::Running {
            self.begin(watch);
        }
        match (self.state, self.now.is_empty()) {
            (State::Running, true) if self.left.is_empty() => self.state = State::Done,
            (State::TakenBack, true) => {
                (self.state, self.why) = (State::Stopped, "it was taken back".to_owned())
            }
            _ => {}
        }
        let changed = *self != before;
        if changed {
            tell.clear();
        }
        changed
    }

    /// Begins turns: of one zone at a time, so that the others serve. One who stands where nobody can tell waits.
    fn begin(&mut self, watch: &Watch) {
        for turn in std::mem::take(&mut self.left) {
            let room = self.now.len() < self.most && self.now.iter().all(|begun| begun.zone == turn.zone);
            match watch.stands.get(&turn.name).filter(|(_, stand)| room && stand.ready) {
                Some((life, _)) => {
                    let Turn { name, zone } = turn;
                    self.now.push(Begun { name, zone, life: life.number, stage: Stage::Draining });
                }
                None => self.left.push(turn),
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use oorandom::Rand64;

    fn turns(count: usize) -> Vec<Turn> {
        (0..count)
            .map(|number| Turn { name: format!("m{number}"), zone: format!("z{}", number % 3) })
            .collect()
    }

    /// Managers that do as they are told, some of it late, told by holders that change in the middle and keep only the
    /// note: every one has its turn, none of a zone beyond the bound, and the state never goes back.
    #[test]
    fn every_manager_has_its_turn_whoever_plays_the_roll() {
        for seed in 0..200 {
            let mut rng = Rand64::new(seed);
            let (count, most) = (3 + (seed % 7) as usize, 1 + (seed % 2) as usize);
            let how = if seed % 3 == 0 { How::Restart } else { How::Drain };
            let mut note = Roll::new(how, most, turns(count), "m1").note();
            let mut lives = vec![1u64; count];
            let mut stands = vec![Stand { ready: true, drained: false, open: 3, at: 0 }; count];
            let (mut watch, mut now, mut drained_once) = (Watch::default(), 0, vec![false; count]);
            for round in 0..20_000 {
                now += 50_000;
                if rng.rand_float() < 0.02 {
                    watch = Watch::default(); // the next holder
                }
                for number in 0..count {
                    if rng.rand_float() < 0.3 {
                        let life = Life { name: format!("m{number}"), number: lives[number] };
                        watch.stands.insert(life.name.clone(), (life, stands[number]));
                    }
                    let stand = &mut stands[number];
                    if stand.drained && stand.open > 0 && rng.rand_float() < 0.2 {
                        stand.open -= 1;
                    }
                }
                let (mut roll, mut tell) = (Roll::read(&note).unwrap(), Vec::new());
                if roll.step(now, &mut watch, &mut tell) {
                    assert!(tell.is_empty(), "what is not noted is not told");
                    // A note may be lost with its holder.
                    if rng.rand_float() < 0.8 {
                        note = roll.note();
                    }
                }
                for (name, step) in tell.into_iter().filter(|_| rng.rand_float() < 0.9) {
                    let number: usize = name[1..].parse().unwrap();
                    let stand = &mut stands[number];
                    match step {
                        Step::Look => {}
                        Step::Quiesce(life) if life != lives[number] => {}
                        Step::Quiesce(_) => {
                            drained_once[number] = true;
                            (stand.ready, stand.drained) = (false, true);
                        }
                        Step::Resume => (stand.ready, stand.drained, stand.open) = (true, false, 2),
                        Step::Restart(life) if life != lives[number] => {}
                        Step::Restart(_) => {
                            lives[number] += 1;
                            *stand = Stand { ready: true, drained: false, open: 1, at: now };
                        }
                    }
                }
                let out: Vec<usize> = (0..count).filter(|number| !stands[*number].ready).collect();
                assert!(out.len() <= most, "seed {seed}: {out:?} at once");
                assert!(
                    out.iter().all(|number| number % 3 == out[0] % 3),
                    "seed {seed}: {out:?} of two zones"
                );
                if Roll::read(&note).unwrap().state() == State::Done {
                    assert!(drained_once.iter().all(|once| *once), "seed {seed}: {drained_once:?}");
                    assert!(
                        how == How::Drain || lives.iter().all(|life| *life == 2),
                        "seed {seed}: {lives:?}"
                    );
                    assert!(stands.iter().all(|stand| stand.ready));
                    break;
                }
                assert!(round < 19_999, "seed {seed}: it does not end: {note}");
            }
        }
    }

    /// Guards against a word from before a drain that comes after one from within it.
    #[test]
    fn a_word_that_was_overtaken_is_not_heard() {
        let mut stands = Stands::new();
        let life = |number| Life { name: "m0".to_owned(), number };
        let stand = |ready, at| Stand { ready, drained: !ready, open: 0, at };
        hear(&mut stands, life(2), stand(false, 7));
        hear(&mut stands, life(2), stand(true, 6));
        hear(&mut stands, life(1), stand(true, 9));
        assert_eq!(stands["m0"], (life(2), stand(false, 7)));
        hear(&mut stands, life(3), stand(true, 1));
        assert_eq!(stands["m0"], (life(3), stand(true, 1)));
    }

    /// Guards against a roll that goes on draining while one does not come back.
    #[test]
    fn it_stops_at_the_first_that_does_not_come_back() {
        let (mut roll, mut watch) = (Roll::new(How::Drain, 1, turns(3), "m2"), Watch::default());
        let stand = |name: &str, ready: bool| {
            let life = Life { name: name.to_owned(), number: 1 };
            (name.to_owned(), (life, Stand { ready, drained: !ready, open: 5, at: 0 }))
        };
        watch.stands.extend([stand("m0", true)]);
        assert!(roll.step(0, &mut watch, &mut Vec::new()));
        watch.stands.extend([stand("m0", false)]);
        let mut tell = Vec::new();
        assert!(!roll.step(1, &mut watch, &mut tell));
        assert_eq!(tell, [("m0".to_owned(), Step::Quiesce(1))]);
        assert!(roll.step(TURN_WITHIN + 10, &mut watch, &mut Vec::new()));
        assert_eq!(roll.state(), State::Stopped);
        assert!(roll.note().contains("m0 was not drained within 60 s"), "{}", roll.note());
        // Taken up again it goes on with that one; taken back, that one goes back to work.
        assert!(
            roll.turn_to(State::Running) && !roll.turn_to(State::Running) && roll.turn_to(State::TakenBack)
        );
        let mut tell = Vec::new();
        roll.step(TURN_WITHIN + 20, &mut watch, &mut tell);
        assert_eq!(tell, [("m0".to_owned(), Step::Resume)]);
        watch.stands.extend([stand("m0", true)]);
        assert!(roll.step(TURN_WITHIN + 30, &mut watch, &mut Vec::new()));
        assert_eq!((roll.state(), roll.now().count()), (State::Stopped, 0));
    }
}
