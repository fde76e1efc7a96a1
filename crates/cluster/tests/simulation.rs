//! Fleets on virtual time, from seeds. `SANDDYKE_SIM_SEED` plays one, `SANDDYKE_SIM_RUNS` so many from it.

use sanddyke_cluster::simulation::{Play, Without, play};

fn number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Guards the promises of the page: one holder at a moment, acts in the order of their numbers, one table, and an end
/// of every gap.
#[test]
fn in_every_history_one_holds_and_the_last_fault_is_got_over() {
    let first = number("SANDDYKE_SIM_SEED", 1);
    let runs = number("SANDDYKE_SIM_RUNS", if std::env::var("SANDDYKE_SIM_SEED").is_ok() { 1 } else { 60 });
    let mut fenced = 0;
    for seed in first..first + runs {
        match play(Play::of(seed, Without::Nothing)) {
            Ok(seen) => {
                assert!(seen.acts > 0 && seen.grants > 0, "seed {seed}: nothing was done: {seen:?}");
                fenced += seen.fenced;
            }
            Err(why) => panic!("seed {seed}: {why}"),
        }
    }
    assert!(runs < 20 || fenced > 0, "the plays hold no act of a holder of the past");
}

/// Guards against parts of a fleet that do not find each other again after a cut: members given up for good (697, 1196),
/// and one who knows only old lives of the others, who answer nobody (1071, 1236).
#[test]
fn what_was_not_got_over_once_is() {
    for seed in [697, 1196, 1353, 3216, 1071, 1236, 1395] {
        play(Play::of(seed, Without::Nothing)).unwrap_or_else(|why| panic!("seed {seed}: {why}"));
    }
}

/// A checker that can't fail is none: each mistake put in on purpose is found.
#[test]
fn mistakes_put_in_on_purpose_are_found() {
    for (without, seeds) in [(Without::Margin, 1..200), (Without::Fencing, 1..200), (Without::Disk, 440..460)]
    {
        let found = seeds.clone().find(|seed| play(Play::of(*seed, without)).is_err());
        assert!(found.is_some(), "{without:?} was not missed in the plays of {seeds:?}");
    }
}

#[test]
fn a_seed_plays_the_same_twice() {
    assert_eq!(play(Play::of(7, Without::Nothing)), play(Play::of(7, Without::Nothing)));
}
