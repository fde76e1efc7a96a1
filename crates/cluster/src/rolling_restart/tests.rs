use super::*;
use crate::lease::Incarnation;
use oorandom::Rand64;

fn members(count: usize) -> Vec<PlannedMember> {
    (0..count)
        .map(|number| PlannedMember { name: format!("m{number}"), zone: format!("z{}", number % 3) })
        .collect()
}

fn incarnation(name: &str, number: u64) -> Incarnation {
    Incarnation { name: name.to_owned(), number }
}

/// Simulated managers, which apply the steps that they receive.
struct Managers {
    incarnations: Vec<u64>,
    statuses: Vec<MemberStatus>,
    was_drained: Vec<bool>,
}

impl Managers {
    fn new(count: usize) -> Managers {
        let status = MemberStatus { ready: true, drained: false, open_requests: 3, reported_at_us: 0 };
        Managers {
            incarnations: vec![1; count],
            statuses: vec![status; count],
            was_drained: vec![false; count],
        }
    }

    fn apply_step(&mut self, number: usize, step: RestartStep, now: Micros) {
        let status = &mut self.statuses[number];
        match step {
            RestartStep::ReportStatus => {}
            RestartStep::Quiesce { incarnation } if incarnation != self.incarnations[number] => {}
            RestartStep::Quiesce { .. } => {
                self.was_drained[number] = true;
                status.ready = false;
                status.drained = true;
            }
            RestartStep::Resume => {
                status.ready = true;
                status.drained = false;
                status.open_requests = 2;
            }
            RestartStep::Restart { incarnation } if incarnation != self.incarnations[number] => {}
            RestartStep::Restart { .. } => {
                self.incarnations[number] += 1;
                *status = MemberStatus { ready: true, drained: false, open_requests: 1, reported_at_us: now };
            }
        }
    }
}

/// Guards against members that are skipped, drained beyond the limit, or drained in two zones at once when the
/// controller changes during a rolling restart. Each new controller has only the checkpoint. Steps, reports and
/// checkpoints are lost at random.
#[test]
fn every_member_is_drained_despite_changes_of_the_controller() {
    for seed in 0..200 {
        let mut rng = Rand64::new(seed);
        let count = 3 + (seed % 7) as usize;
        let max_active = 1 + (seed % 2) as usize;
        let mode = if seed % 3 == 0 { RestartMode::Restart } else { RestartMode::Drain };
        let mut checkpoint = RollingRestart::new(mode, max_active, members(count), "m1").to_checkpoint();
        let mut managers = Managers::new(count);
        let mut observations = Observations::default();
        let mut now = 0;
        for round in 0..20_000 {
            now += 50_000;
            if rng.rand_float() < 0.02 {
                observations = Observations::default(); // another controller
            }
            for number in 0..count {
                if rng.rand_float() < 0.3 {
                    let reporter = incarnation(&format!("m{number}"), managers.incarnations[number]);
                    observations.statuses.update(reporter, managers.statuses[number]);
                }
                let status = &mut managers.statuses[number];
                if status.drained && status.open_requests > 0 && rng.rand_float() < 0.2 {
                    status.open_requests -= 1;
                }
            }
            let mut restart = RollingRestart::from_checkpoint(&checkpoint).unwrap();
            match restart.advance(now, &mut observations) {
                // A checkpoint is lost if its controller fails before it is saved.
                AdvanceOutcome::StateChanged if rng.rand_float() < 0.8 => {
                    checkpoint = restart.to_checkpoint()
                }
                AdvanceOutcome::StateChanged => {}
                AdvanceOutcome::SendSteps(steps) => {
                    for step in steps.into_iter().filter(|_| rng.rand_float() < 0.9) {
                        let number: usize = step.member[1..].parse().unwrap();
                        managers.apply_step(number, step.step, now);
                    }
                }
            }
            let not_ready: Vec<usize> =
                (0..count).filter(|number| !managers.statuses[*number].ready).collect();
            assert!(
                not_ready.len() <= max_active,
                "seed {seed}: more than {max_active} members drained: {not_ready:?}"
            );
            assert!(
                not_ready.iter().all(|number| number % 3 == not_ready[0] % 3),
                "seed {seed}: members of two zones drained: {not_ready:?}"
            );
            if RollingRestart::from_checkpoint(&checkpoint).unwrap().state() == RestartState::Done {
                let was_drained = &managers.was_drained;
                assert!(
                    was_drained.iter().all(|was_drained| *was_drained),
                    "seed {seed}: not all members were drained: {was_drained:?}"
                );
                let incarnations = &managers.incarnations;
                assert!(
                    mode == RestartMode::Drain || incarnations.iter().all(|number| *number == 2),
                    "seed {seed}: not all members restarted once: incarnations {incarnations:?}"
                );
                assert!(managers.statuses.iter().all(|status| status.ready));
                break;
            }
            assert!(round < 19_999, "seed {seed}: the rolling restart does not end: {checkpoint}");
        }
    }
}

/// Guards against reports that arrive out of order: one sent before a drain must not replace one sent during the drain.
#[test]
fn a_report_older_than_the_known_one_is_ignored() {
    let mut statuses = MemberStatuses::default();
    let status =
        |ready, reported_at_us| MemberStatus { ready, drained: !ready, open_requests: 0, reported_at_us };
    let reported = |number, status| ReportedStatus { incarnation: incarnation("m0", number), status };
    statuses.update(incarnation("m0", 2), status(false, 7));
    statuses.update(incarnation("m0", 2), status(true, 6));
    statuses.update(incarnation("m0", 1), status(true, 9));
    assert_eq!(statuses.get("m0"), Some(&reported(2, status(false, 7))));
    statuses.update(incarnation("m0", 3), status(true, 1));
    assert_eq!(statuses.get("m0"), Some(&reported(3, status(true, 1))));
}

/// Guards against a rolling restart that drains further members although one is stuck in its stage.
#[test]
fn a_rolling_restart_stops_when_a_member_exceeds_its_time_limit() {
    let mut restart = RollingRestart::new(RestartMode::Drain, 1, members(3), "m2");
    let mut observations = Observations::default();
    let status = |ready: bool| MemberStatus { ready, drained: !ready, open_requests: 5, reported_at_us: 0 };
    let step = |step| AdvanceOutcome::SendSteps(vec![MemberStep { member: "m0".to_owned(), step }]);
    observations.statuses.update(incarnation("m0", 1), status(true));
    assert_eq!(restart.advance(0, &mut observations), AdvanceOutcome::StateChanged);
    observations.statuses.update(incarnation("m0", 1), status(false));
    assert_eq!(restart.advance(1, &mut observations), step(RestartStep::Quiesce { incarnation: 1 }));
    assert_eq!(restart.advance(MEMBER_TIMEOUT_US + 10, &mut observations), AdvanceOutcome::StateChanged);
    assert_eq!(restart.state(), RestartState::Stopped);
    let checkpoint = restart.to_checkpoint();
    assert!(checkpoint.contains("m0 was not drained within 60 s"), "{checkpoint}");
    // A resumed rolling restart continues with that member. A cancelled one makes that member resume work.
    assert!(restart.transition_to(RestartState::Running).is_ok());
    assert!(restart.transition_to(RestartState::Running).is_err());
    assert!(restart.transition_to(RestartState::Cancelling).is_ok());
    assert_eq!(restart.advance(MEMBER_TIMEOUT_US + 20, &mut observations), step(RestartStep::Resume));
    observations.statuses.update(incarnation("m0", 1), status(true));
    assert_eq!(restart.advance(MEMBER_TIMEOUT_US + 30, &mut observations), AdvanceOutcome::StateChanged);
    assert_eq!((restart.state(), restart.active().count()), (RestartState::Stopped, 0));
}

/// Guards the state names in the problem texts of the administration API.
#[test]
fn an_invalid_transition_names_the_current_state() {
    let names = [
        (RestartState::Running, "Running"),
        (RestartState::Paused, "Paused"),
        (RestartState::Cancelling, "TakenBack"),
        (RestartState::Stopped, "Stopped"),
        (RestartState::Done, "Done"),
    ];
    for (current, name) in names {
        let error = InvalidTransition { current, requested: RestartState::Paused };
        assert_eq!(error.to_string(), format!("the roll is {name}"));
    }
}
