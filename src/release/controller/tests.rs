use super::*;
use crate::release::gates::{Latencies, TrafficStats};

const S: Duration = Duration::from_secs(1);

fn controller(state: Option<State>) -> Controller {
    Controller {
        stage_targets: vec![0..1, 1..3, 3..10],
        gates: Gates::default(),
        bake: S,
        on_failure: OnFailure::Rollback,
        state: state.unwrap_or(State {
            name: "r".into(),
            stage: 0,
            step: Step::Measuring,
            p99: None,
        }),
        observed_for: Duration::ZERO,
        hold_reason: None,
    }
}

fn observation(errors: u64, us: u64) -> Observation {
    let latencies = Latencies([(us / 2, 0), (us, 200)].into());
    let new = TrafficStats { attempts: 200, errors, latencies: latencies.clone() };
    let old = TrafficStats { attempts: 200, errors: 0, latencies };
    Observation { new, old, requests: 400, refused: 0 }
}

#[test]
fn a_healthy_release_runs_each_stage_once() {
    let mut c = controller(None);
    let mut moved_targets = Vec::new();
    for _ in 0..20 {
        match c.action() {
            Action::Observe => c.observe(&observation(0, 10_000), S),
            Action::Upgrade(targets) => {
                moved_targets.push(targets);
                c.move_completed(&c.action());
            }
            Action::Finish => break,
            action => panic!("{action:?}"),
        }
    }
    assert_eq!(moved_targets, [0..1, 1..3, 3..10]);
    assert_eq!(c.state().step, Step::Done);
    assert!(c.apply_command(OperatorCommand::Rollback).is_err());
}

#[test]
fn a_failed_gate_rolls_back_all_started_targets() {
    for (bad, cause) in [(observation(40, 10_000), "errors"), (observation(0, 90_000), "latency")] {
        let mut c = controller(None);
        c.observe(&observation(0, 10_000), S);
        c.move_completed(&c.action());
        c.observe(&observation(0, 10_000), S);
        c.move_completed(&c.action());
        c.observe(&bad, S / 10);
        assert!(matches!(&c.state().step, Step::Reverting { why } if why.contains(cause)));
        assert_eq!(c.action(), Action::Revert(0..3));
        c.move_failed(&c.action(), "no answer".into());
        assert_eq!(c.action(), Action::Wait);
        c.apply_command(OperatorCommand::Resume).expect("resumes");
        assert_eq!(c.action(), Action::Revert(0..3), "a failed rollback is retried");
        c.move_completed(&c.action());
        assert_eq!(c.action(), Action::Finish);
    }
}

#[test]
fn a_stage_is_held_without_enough_attempts_and_bakes_again_after_a_restart() {
    let mut c = controller(None);
    c.observe(&observation(0, 10_000), S);
    c.move_completed(&c.action());
    for _ in 0..5 {
        c.observe(&Observation::default(), S);
    }
    assert!(c.hold_reason().is_some());
    assert_eq!((c.state().stage, &c.state().step), (0, &Step::Baking));
    let mut restarted = controller(Some(c.state().clone()));
    restarted.observe(&observation(0, 10_000), S / 2);
    assert_eq!(restarted.state().step, Step::Baking, "the bake time starts again after a restart");
    restarted.observe(&observation(0, 10_000), S / 2);
    assert_eq!((restarted.state().stage, restarted.action()), (1, Action::Upgrade(1..3)));
}

#[test]
fn operator_halt_resume_and_rollback() {
    let mut c = controller(None);
    c.observe(&observation(0, 10_000), S);
    c.apply_command(OperatorCommand::Halt).expect("halts");
    c.apply_command(OperatorCommand::Halt).expect("a repeated halt is no error");
    assert_eq!(c.action(), Action::Wait);
    c.observe(&observation(200, 10_000), S);
    c.apply_command(OperatorCommand::Resume).expect("resumes");
    assert_eq!(c.action(), Action::Upgrade(0..1), "an interrupted move is repeated");
    c.apply_command(OperatorCommand::Rollback).expect("rolls back");
    assert_eq!(c.action(), Action::Revert(0..1));
    c.move_completed(&Action::Upgrade(0..1));
    assert_eq!(
        c.action(),
        Action::Revert(0..1),
        "completion of an action from before the command is ignored"
    );
    c.move_completed(&Action::Revert(0..1));
    assert!(matches!(c.state().step, Step::RolledBack { .. }));
    let mut untouched = controller(None);
    untouched.apply_command(OperatorCommand::Rollback).expect("nothing to undo");
    assert_eq!(untouched.action(), Action::Finish);
}
