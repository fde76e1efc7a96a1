//! The duty of rolls: managers take turns at being drained or restarted ([`sanddyke_cluster::rolling_restart`]). Whoever holds it
//! plays the roll in its note, and the next holder goes on from there.

use super::{Cluster, DutyNews};
use crate::clock::Clock;
use crate::lifecycle::LifecycleHandle;
use sanddyke_cluster::rolling_restart::{DUTY, How, Roll, Stand, State, Step, Turn, Watch};
use sanddyke_lifecycle::{Event, Phase};
use std::time::Duration;
use tokio::sync::{Notify, mpsc};

/// How often the roll goes a step on, and managers are asked where they stand.
const STEP_EVERY: Duration = Duration::from_millis(100);
/// A note that was not kept by then is put again.
const NOTED_WITHIN: Duration = Duration::from_millis(500);

/// An operator's word on rolls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Word {
    /// Begin one: drained or restarted, so many at once.
    Begin(How, usize),
    /// Pause it, go on with it, or take it back.
    Turn(State),
}

/// Where this manager stands.
pub fn stand(life: &LifecycleHandle, clock: &Clock) -> Stand {
    Stand {
        at: clock.now().0.unsigned_abs(),
        ready: life.is_ready(),
        drained: life.phase() == Phase::Drained,
        open: (life.unanswered_requests() + life.open_connections()) as u64,
    }
}

/// Carries out a step for this manager, which is in this life.
pub fn carry_out(step: Step, this: u64, life: &LifecycleHandle, restart: &Notify) {
    let told = match step {
        Step::Look => return,
        Step::Quiesce(life_told) if life_told == this => life.apply(Event::Quiesce),
        Step::Resume => life.apply(Event::Resume),
        Step::Restart(life) if life == this => {
            restart.notify_one();
            return;
        }
        Step::Quiesce(_) | Step::Restart(_) => return,
    };
    if let Err(why) = told {
        log::info!("roll: {step:?}: {why}");
    }
}

/// Plays rolls for as long as the program runs and the duty is this manager's.
pub async fn run(cluster: Cluster, mut news: mpsc::Receiver<DutyNews>, clock: Clock) {
    let mut steps = tokio::time::interval(STEP_EVERY);
    steps.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut watch = Watch::default();
    loop {
        tokio::select! {
            told = news.recv() => match told {
                Some(DutyNews::Began) => watch = Watch::default(),
                Some(DutyNews::Finish) => cluster.finished(DUTY).await,
                Some(DutyNews::Noted | DutyNews::Ended) => {}
                None => return,
            },
            _ = steps.tick() => {
                if cluster.may_act(DUTY).is_none() {
                    continue;
                }
                let (on, note) = cluster.note_of(DUTY);
                let Some(mut roll) = Roll::read(&note) else { continue };
                if !roll.is_open() {
                    continue;
                }
                watch.stands = cluster.stands();
                let (mut tell, now) = (Vec::new(), clock.now().0.unsigned_abs());
                if roll.step(now, &mut watch, &mut tell) {
                    log::info!("roll: {}", roll.note());
                    keep(&cluster, &mut news, on, &roll).await;
                    continue;
                }
                // All are asked where they stand; those whose turn it is are told their step.
                let view = cluster.view();
                let named = view.members.iter().map(|member| member.name.clone()).chain([cluster.name().to_owned()]);
                tell.extend(named.filter(|name| !roll.now().any(|now| now == name)).map(|name| (name, Step::Look)));
                for (name, step) in tell {
                    cluster.turn(&name, step).await;
                }
            }
        }
    }
}

/// Has a roll noted, and waits until another note is seen, this one or an operator's; or too long. Either way the next
/// step is worked out from what is noted then.
async fn keep(cluster: &Cluster, news: &mut mpsc::Receiver<DutyNews>, on: u64, roll: &Roll) {
    cluster.note(DUTY, on, roll.note()).await;
    let _late = tokio::time::timeout(NOTED_WITHIN, async {
        while cluster.note_of(DUTY).0 == on {
            match news.try_recv() {
                Ok(DutyNews::Finish) => return cluster.finished(DUTY).await,
                Ok(_) | Err(mpsc::error::TryRecvError::Empty) => tokio::time::sleep(STEP_EVERY / 10).await,
                Err(mpsc::error::TryRecvError::Disconnected) => return,
            }
        }
    })
    .await;
}

/// An operator's word. Only the duty's holder takes it.
///
/// # Errors
/// Why not, in words for operators.
pub async fn order(cluster: &Cluster, word: Word) -> Result<(), String> {
    let view = cluster.view();
    if cluster.may_act(DUTY).is_none() {
        let holder = view.duties.iter().find(|duty| duty.name == DUTY).and_then(|duty| duty.holder.clone());
        return Err(format!(
            "ask the holder of {DUTY}: {}",
            holder.as_deref().unwrap_or("nobody holds it now")
        ));
    }
    let (on, known) = cluster.note_of(DUTY);
    let known = Roll::read(&known);
    let roll = match (word, known) {
        (Word::Begin(..), Some(roll)) if roll.is_open() => {
            return Err("a roll is open: take it back first".to_owned());
        }
        (Word::Begin(how, most), _) => {
            let turn = |name: &str, zone: &str| Turn { name: name.to_owned(), zone: zone.to_owned() };
            let mut turns: Vec<Turn> =
                view.members.iter().map(|member| turn(&member.name, &member.zone)).collect();
            turns.push(turn(cluster.name(), &view.zone));
            Roll::new(how, most, turns, cluster.name())
        }
        (Word::Turn(_), None) => return Err("there is no roll".to_owned()),
        (Word::Turn(state), Some(mut roll)) => match roll.turn_to(state) {
            true => roll,
            false => return Err(format!("the roll is {:?}", roll.state())),
        },
    };
    let note = roll.note();
    if note.len() > sanddyke_cluster::lease::LONGEST_NOTE {
        return Err(format!(
            "too many managers for one roll: {} bytes of {}",
            note.len(),
            sanddyke_cluster::lease::LONGEST_NOTE
        ));
    }
    cluster.note(DUTY, on, note.clone()).await;
    let noted = tokio::time::timeout(4 * NOTED_WITHIN, async {
        while cluster.note_of(DUTY).0 == on {
            tokio::time::sleep(STEP_EVERY / 10).await;
        }
    });
    noted.await.map_err(|_| "the voters did not take it in time: look whether it was".to_owned())?;
    // A step of the roll may have been noted at the same moment: either on top of this word, or in its place.
    let state = Roll::read(&cluster.note_of(DUTY).1).map(|roll| roll.state());
    let took = match (word, state) {
        (Word::Turn(State::TakenBack), Some(state)) => matches!(state, State::TakenBack | State::Stopped),
        (Word::Turn(State::Paused), Some(state)) => state == State::Paused,
        (Word::Begin(..) | Word::Turn(_), state) => state.is_some(),
    };
    if took { Ok(()) } else { Err("the roll took a step at the same moment: try again".to_owned()) }
}
