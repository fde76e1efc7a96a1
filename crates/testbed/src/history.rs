//! What a fleet did, put together from its managers' logs, and what must hold of it. Each line of a duty carries the
//! Unix time in microseconds; all managers are on one machine, so the times are of one clock.

use std::collections::{BTreeMap, BTreeSet};

/// A manager by its number in the fleet.
pub type Manager = usize;

/// Something that happened, in microseconds of Unix time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A manager holds a duty until then at least, by its own count.
    Holds {
        /// The duty.
        duty: String,
        /// Its number.
        fence: u64,
        /// Until then.
        until: u64,
    },
    /// It holds it no more.
    Ended {
        /// The duty.
        duty: String,
        /// The number that it held it under.
        fence: u64,
    },
    /// An act of a duty took effect.
    Acted {
        /// What was made, by a name that is the same whoever makes it.
        what: String,
        /// The number that it was made under.
        fence: u64,
    },
    /// The manager was killed: it holds nothing from here on.
    Killed,
}

/// What happened, in order of time.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct History(Vec<(u64, Manager, Event)>);

/// The value behind a key in a line.
fn field<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    line.split_whitespace()
        .find_map(|word| word.strip_prefix(key)?.strip_prefix('='))
        .map(|word| word.trim_end_matches(':'))
}

/// A line of a manager's log, where it tells of a duty.
pub fn read(line: &str) -> Option<(u64, Event)> {
    let (duty, told) = line.split_once("duty ")?.1.split_once(": ")?;
    let number = |key: &str| field(told, key)?.parse::<u64>().ok();
    let (at, duty) = (number("at_us")?, duty.to_owned());
    let event = match told.split_whitespace().next()? {
        "begun" | "held" => Event::Holds { duty, fence: number("fence")?, until: at + number("for_us")? },
        "ended" => Event::Ended { duty, fence: number("fence")? },
        "period" if told.ends_with("written") => Event::Acted {
            what: format!("{duty} {}", told.split_whitespace().nth(1)?),
            fence: number("fence")?,
        },
        _ => return None,
    };
    Some((at, event))
}

impl History {
    /// Adds one event.
    pub fn add(&mut self, at: u64, manager: Manager, event: Event) {
        self.0.push((at, manager, event));
    }

    /// Adds what a manager's log tells.
    pub fn add_log(&mut self, manager: Manager, log: &str) {
        self.0.extend(log.lines().filter_map(read).map(|(at, event)| (at, manager, event)));
    }

    fn ordered(&self) -> Vec<(u64, Manager, Event)> {
        let mut all = self.0.clone();
        all.sort_by_key(|(at, manager, _)| (*at, *manager));
        all
    }

    /// When each duty was held, by whom and under which number: from, to.
    pub fn held(&self) -> Vec<(String, Manager, u64, u64, u64)> {
        let mut open: BTreeMap<(String, Manager), (u64, u64, u64)> = BTreeMap::new();
        let mut all = Vec::new();
        for (at, manager, event) in self.ordered() {
            match event {
                Event::Holds { duty, fence, until } => {
                    let known = open.entry((duty.clone(), manager));
                    let held = known.or_insert((fence, at, until));
                    // One that lapsed and begins anew holds it twice.
                    if fence != held.0 || at > held.2 {
                        let before = std::mem::replace(held, (fence, at, until));
                        all.push((duty, manager, before.0, before.1, before.2));
                    }
                    held.2 = held.2.max(until);
                }
                Event::Ended { duty, .. } => {
                    if let Some((fence, from, until)) = open.remove(&(duty.clone(), manager)) {
                        all.push((duty, manager, fence, from, until.min(at)));
                    }
                }
                Event::Killed => {
                    let ended: Vec<_> = open.keys().filter(|(_, of)| *of == manager).cloned().collect();
                    for key in ended {
                        if let Some((fence, from, until)) = open.remove(&key) {
                            all.push((key.0, manager, fence, from, until.min(at)));
                        }
                    }
                }
                Event::Acted { .. } => {}
            }
        }
        all.extend(
            open.into_iter()
                .map(|((duty, manager), (fence, from, until))| (duty, manager, fence, from, until)),
        );
        all.sort_by_key(|(.., from, _)| *from);
        all
    }

    /// Never two holders of one duty at one moment.
    pub fn one_holder(&self) -> Result<(), String> {
        let held = self.held();
        for (at, (duty, manager, fence, from, to)) in held.iter().enumerate() {
            let other = held[at + 1..].iter().find(|(of, other, _, begun, _)| {
                of == duty && other != manager && begun < to && begun >= from
            });
            if let Some((_, other, later, begun, _)) = other {
                return Err(format!(
                    "{duty}: {manager} held it under {fence} for {} us more as {other} began under {later}",
                    to - begun
                ));
            }
        }
        Ok(())
    }

    /// Each holder's number is above those of all before.
    pub fn numbers_grow(&self) -> Result<(), String> {
        let mut last: BTreeMap<String, u64> = BTreeMap::new();
        for (duty, manager, fence, ..) in self.held() {
            let before = last.entry(duty.clone()).or_default();
            if fence <= *before {
                return Err(format!("{duty}: {manager} began under {fence} after {before}"));
            }
            *before = fence;
        }
        Ok(())
    }

    /// Nothing was made twice.
    pub fn once_each(&self) -> Result<(), String> {
        let mut made = BTreeSet::new();
        for (_, manager, event) in self.ordered() {
            if let Event::Acted { what, fence } = event
                && !made.insert(what.clone())
            {
                return Err(format!("{what} was made again by {manager} under {fence}"));
            }
        }
        Ok(())
    }

    /// What was made.
    pub fn made(&self) -> BTreeSet<String> {
        self.0
            .iter()
            .filter_map(
                |(.., event)| if let Event::Acted { what, .. } = event { Some(what.clone()) } else { None },
            )
            .collect()
    }

    /// All that must hold.
    pub fn check(&self) -> Result<(), String> {
        self.one_holder()?;
        self.numbers_grow()?;
        self.once_each()
    }

    /// How long a duty had no holder between two that did, in microseconds.
    pub fn gaps(&self, duty: &str) -> Vec<u64> {
        let held: Vec<_> = self.held().into_iter().filter(|(of, ..)| of == duty).collect();
        held.windows(2).map(|two| two[1].3.saturating_sub(two[0].4)).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn of(lines: &[(Manager, &str)]) -> History {
        let mut history = History::default();
        lines.iter().for_each(|(manager, line)| history.add_log(*manager, line));
        history
    }

    #[test]
    fn two_holders_at_one_moment_are_found() {
        let begun = "x INFO duty backup: begun fence=5 at_us=1000 for_us=500";
        let next = |at: u64| format!("duty backup: begun fence=9 at_us={at} for_us=500");
        assert!(of(&[(0, begun), (1, &next(1500))]).check().is_ok());
        assert!(of(&[(0, begun), (1, &next(1499))]).one_holder().is_err());
        let held = "duty backup: held fence=5 at_us=1400 for_us=500";
        assert!(
            of(&[(0, begun), (0, held), (1, &next(1500))]).one_holder().is_err(),
            "it was held for longer"
        );
        let ended = "duty backup: ended fence=5 at_us=1450: it was handed over";
        assert!(of(&[(0, begun), (0, held), (0, ended), (1, &next(1500))]).check().is_ok());
        let mut killed = of(&[(0, begun), (0, held), (1, &next(1500))]);
        killed.add(1450, 0, Event::Killed);
        assert!(killed.check().is_ok(), "who was killed holds nothing");
        assert_eq!(killed.gaps("backup"), [50]);
    }

    #[test]
    fn numbers_that_do_not_grow_are_found() {
        let history = of(&[
            (0, "duty backup: begun fence=9 at_us=1000 for_us=5"),
            (1, "duty backup: begun fence=9 at_us=2000 for_us=5"),
        ]);
        assert!(history.numbers_grow().is_err());
    }

    #[test]
    fn what_was_made_twice_is_found() {
        let made = |manager, at: u64| {
            (manager, format!("duty backup: period 7 fence={manager} at_us={at}: written"))
        };
        let (one, two) = (made(0, 1), made(1, 2));
        assert!(of(&[(one.0, &one.1)]).once_each().is_ok());
        assert!(of(&[(one.0, &one.1), (two.0, &two.1)]).once_each().is_err());
        let there = "duty backup: period 7 fence=3 at_us=9: there already";
        assert!(of(&[(one.0, &one.1), (1, there)]).once_each().is_ok(), "that is no second one");
    }
}
