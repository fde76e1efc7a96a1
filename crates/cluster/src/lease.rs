//! The table of duties: what the voters agree on, one proposal after another. It knows no clock. Whether a lease is
//! over is for managers to find out, each by its own clock; the table only lets the first of them win.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Duties at most.
pub const MOST_DUTIES: usize = 256;
/// Bytes of a duty's note at most.
pub const LONGEST_NOTE: usize = 4096;
/// Bytes of a name at most.
pub const LONGEST_NAME: usize = 64;
/// The shortest and the longest lease, in microseconds.
pub const LEASES_US: (u64, u64) = (100_000, 600_000_000);

/// One life of a manager: a restart under the same name is another.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Life {
    /// The manager's name.
    pub name: String,
    /// Grows from life to life.
    pub number: u64,
}

impl std::fmt::Display for Life {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(out, "{}#{:x}", self.name, self.number)
    }
}

/// Who holds a duty.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Its holder.
    pub holder: Life,
    /// The fencing number: higher with every grant of any duty.
    pub fence: u64,
    /// For how long each renewal is, from before it was asked for, in microseconds.
    pub lease_us: u64,
    /// Names the question by which it was granted: only who asked it knows since when it holds.
    pub nonce: u64,
}

/// A duty.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Its holder, if it has one.
    pub grant: Option<Grant>,
    /// Changes with every grant, renewal and release.
    pub version: u64,
    /// The name of the manager that the last holder would have next.
    pub successor: Option<String>,
    /// How far the duty's work has come, in the holder's words: the next one goes on from here.
    pub note: String,
    /// Changes with every note.
    pub noted: u64,
}

/// What a manager asks of the voters.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ask {
    /// A duty that is free, or whose lease has run out by the asker's clock.
    Take {
        /// The duty.
        duty: String,
        /// The version that the asker has seen unchanged for long enough; 0 for a duty that nobody ever held.
        version: u64,
        /// For how long, in microseconds.
        lease_us: u64,
    },
    /// To go on holding.
    Renew {
        /// The duty.
        duty: String,
        /// The number that it is held under.
        fence: u64,
    },
    /// To hold no longer. Whoever asks this has stopped already.
    Release {
        /// The duty.
        duty: String,
        /// The number that it was held under.
        fence: u64,
        /// Who should be next.
        successor: Option<String>,
    },
    /// To note how far the work has come. A holder of the past is refused.
    Note {
        /// The duty.
        duty: String,
        /// The number that it is held under.
        fence: u64,
        /// [`Row::noted`] of the note that this one was worked out from: what was noted since is not lost.
        on: u64,
        /// The note.
        note: String,
    },
}

impl Ask {
    /// The duty that it is about.
    pub fn duty(&self) -> &str {
        match self {
            Ask::Take { duty, .. } | Ask::Renew { duty, .. } => duty,
            Ask::Release { duty, .. } | Ask::Note { duty, .. } => duty,
        }
    }
}

/// An ask as the voters' log has it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proposal {
    /// Who asks.
    pub from: Life,
    /// Names the question.
    pub nonce: u64,
    /// What it asks.
    pub ask: Ask,
}

/// What became of an ask.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The duty is the asker's, under this fencing number.
    Granted(u64),
    /// It goes on being the asker's.
    Renewed,
    /// It is free.
    Released,
    /// It is noted.
    Noted,
    /// Somebody else was sooner, or holds on.
    Moved,
    /// The asker does not hold it.
    NotHolder,
    /// The ask breaks a bound.
    Unfit,
}

/// All duties.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    /// The last proposal of the log that is in it.
    pub index: u64,
    /// By name.
    pub rows: BTreeMap<String, Row>,
    /// The voters, by their numbers: the names of their managers.
    pub voters: BTreeMap<u64, String>,
}

impl Table {
    /// Carries out a proposal. The same proposals in the same order give the same table everywhere. The place in the
    /// log is the fencing number of a grant, so it grows across all duties, lives and elections.
    pub fn apply(&mut self, index: u64, proposal: &Proposal) -> Verdict {
        debug_assert!(index > self.index, "the log goes one way");
        self.index = index;
        let duty = proposal.ask.duty();
        let known = self.rows.contains_key(duty);
        let fits = !duty.is_empty() && duty.len() <= LONGEST_NAME && (known || self.rows.len() < MOST_DUTIES);
        if !fits || proposal.from.name.len() > LONGEST_NAME {
            return Verdict::Unfit;
        }
        let row = self.rows.get(duty);
        let held = row.and_then(|row| row.grant.as_ref());
        let is_holder =
            |fence: u64| held.is_some_and(|grant| grant.fence == fence && grant.holder == proposal.from);
        let verdict =
            match &proposal.ask {
                Ask::Take { lease_us, .. } if !(LEASES_US.0..=LEASES_US.1).contains(lease_us) => {
                    Verdict::Unfit
                }
                Ask::Take { version, .. } if row.map_or(0, |row| row.version) != *version => Verdict::Moved,
                Ask::Take { .. } => Verdict::Granted(index),
                Ask::Renew { fence, .. } if is_holder(*fence) => Verdict::Renewed,
                Ask::Release { fence, .. } if is_holder(*fence) => Verdict::Released,
                Ask::Note { note, .. } if note.len() > LONGEST_NOTE => Verdict::Unfit,
                Ask::Note { fence, on, .. } if is_holder(*fence) => {
                    if row.is_some_and(|row| row.noted == *on) { Verdict::Noted } else { Verdict::Moved }
                }
                Ask::Renew { .. } | Ask::Release { .. } | Ask::Note { .. } => Verdict::NotHolder,
            };
        let row = match verdict {
            Verdict::Granted(_) | Verdict::Renewed | Verdict::Released | Verdict::Noted => {
                self.rows.entry(duty.to_owned()).or_default()
            }
            Verdict::Moved | Verdict::NotHolder | Verdict::Unfit => return verdict,
        };
        if verdict != Verdict::Noted {
            row.version = index;
        }
        match &proposal.ask {
            Ask::Take { lease_us, .. } => {
                let (holder, nonce) = (proposal.from.clone(), proposal.nonce);
                row.grant = Some(Grant { holder, fence: index, lease_us: *lease_us, nonce });
                row.successor = None;
            }
            Ask::Renew { .. } => {}
            Ask::Note { note, .. } => (row.note, row.noted) = (note.clone(), index),
            Ask::Release { successor, .. } => {
                row.grant = None;
                row.successor = successor.clone().filter(|name| name.len() <= LONGEST_NAME);
            }
        }
        verdict
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ask(table: &mut Table, from: &str, ask: Ask) -> Verdict {
        let from = Life { name: from.to_owned(), number: 1 };
        table.apply(table.index + 1, &Proposal { from, nonce: 0, ask })
    }

    fn take(version: u64) -> Ask {
        Ask::Take { duty: "backup".to_owned(), version, lease_us: 1_000_000 }
    }

    /// Guards against two that have both waited: one of them wins, and its number is above all before.
    #[test]
    fn of_two_that_take_the_same_version_one_wins() {
        let mut table = Table::default();
        assert_eq!(ask(&mut table, "a", take(0)), Verdict::Granted(1));
        assert_eq!(ask(&mut table, "b", take(0)), Verdict::Moved);
        assert_eq!(ask(&mut table, "b", take(1)), Verdict::Granted(3));
        let renew = |fence| Ask::Renew { duty: "backup".to_owned(), fence };
        assert_eq!(ask(&mut table, "a", renew(1)), Verdict::NotHolder, "a holder of the past");
        assert_eq!(ask(&mut table, "b", renew(3)), Verdict::Renewed);
        assert_eq!(ask(&mut table, "c", take(3)), Verdict::Moved, "it was renewed meanwhile");
    }

    /// Guards against a duty that is handed over while another still counts its lease, and against a life before
    /// a restart that goes on under its name.
    #[test]
    fn what_was_released_is_free_and_only_its_own_life_renews_it() {
        let mut table = Table::default();
        ask(&mut table, "a", take(0));
        let again = Life { name: "a".to_owned(), number: 2 };
        let renew = Ask::Renew { duty: "backup".to_owned(), fence: 1 };
        assert_eq!(table.apply(2, &Proposal { from: again, nonce: 0, ask: renew }), Verdict::NotHolder);
        let release = Ask::Release { duty: "backup".to_owned(), fence: 1, successor: Some("b".to_owned()) };
        assert_eq!(ask(&mut table, "a", release), Verdict::Released);
        assert_eq!(table.rows["backup"].successor.as_deref(), Some("b"));
        assert_eq!(ask(&mut table, "b", take(3)), Verdict::Granted(4));
    }

    /// Guards against one of two notes that were worked out from the same one and is lost without a word.
    #[test]
    fn of_two_notes_on_the_same_one_the_second_is_refused() {
        let mut table = Table::default();
        ask(&mut table, "a", take(0));
        let note =
            |on, note: &str| Ask::Note { duty: "backup".to_owned(), fence: 1, on, note: note.to_owned() };
        assert_eq!(ask(&mut table, "a", note(0, "first")), Verdict::Noted);
        assert_eq!(ask(&mut table, "a", note(0, "second")), Verdict::Moved);
        assert_eq!(table.rows["backup"].note, "first");
        assert_eq!(ask(&mut table, "a", note(2, "third")), Verdict::Noted);
        assert_eq!(ask(&mut table, "b", note(4, "b's")), Verdict::NotHolder);
        assert_eq!((table.rows["backup"].note.as_str(), table.rows["backup"].version), ("third", 1));
    }

    #[test]
    fn what_is_out_of_bounds_changes_nothing() {
        let mut table = Table::default();
        let short = Ask::Take { duty: "backup".to_owned(), version: 0, lease_us: 1 };
        assert_eq!(ask(&mut table, "a", short), Verdict::Unfit);
        for number in 0..MOST_DUTIES + 1 {
            let take = Ask::Take { duty: format!("d{number}"), version: 0, lease_us: 1_000_000 };
            let granted = matches!(ask(&mut table, "a", take), Verdict::Granted(_));
            assert_eq!(granted, number < MOST_DUTIES);
        }
        assert_eq!(table.rows.len(), MOST_DUTIES);
    }
}
