use super::*;
use crate::release::gates::{Latencies, Seen};

const S: Duration = Duration::from_secs(1);

fn controller(state: Option<State>) -> Controller {
    Controller {
        waves: vec![0..1, 1..3, 3..10],
        gates: Gates::default(),
        bake: S,
        on_failure: OnFailure::Rollback,
        state: state.unwrap_or(State {
            name: "r".into(),
            stage: 0,
            step: Step::Measuring,
            p99: None,
        }),
        watched: Duration::ZERO,
        held: None,
    }
}

fn look(errors: u64, us: u64) -> Observation {
    let latencies = Latencies([(us / 2, 0), (us, 200)].into());
    let new = Seen { attempts: 200, errors, latencies: latencies.clone() };
    let old = Seen { attempts: 200, errors: 0, latencies };
    Observation { new, old, requests: 400, refused: 0 }
}

#[test]
fn a_sound_release_goes_through_its_stages_once_each() {
    let mut c = controller(None);
    let mut moved = Vec::new();
    for _ in 0..20 {
        match c.action() {
            Action::Look => c.seen(&look(0, 10_000), S),
            Action::Forward(wave) => {
                moved.push(wave);
                c.moved(&c.action());
            }
            Action::Finish => break,
            action => panic!("{action:?}"),
        }
    }
    assert_eq!(moved, [0..1, 1..3, 3..10]);
    assert_eq!(c.state().step, Step::Done);
    assert!(c.told(Word::Rollback).is_err());
}

#[test]
fn a_broken_gate_takes_back_all_that_was_touched_at_once() {
    for (bad, cause) in [(look(40, 10_000), "errors"), (look(0, 90_000), "latency")] {
        let mut c = controller(None);
        c.seen(&look(0, 10_000), S);
        c.moved(&c.action());
        c.seen(&look(0, 10_000), S);
        c.moved(&c.action());
        c.seen(&bad, S / 10);
        assert!(matches!(&c.state().step, Step::Reverting { why } if why.contains(cause)));
        assert_eq!(c.action(), Action::Back(0..3));
        c.failed(&c.action(), "no answer".into());
        assert_eq!(c.action(), Action::Wait);
        c.told(Word::Resume).expect("goes on");
        assert_eq!(c.action(), Action::Back(0..3), "there is no way but back");
        c.moved(&c.action());
        assert_eq!(c.action(), Action::Finish);
    }
}

#[test]
fn a_stage_is_held_until_enough_was_seen_and_a_restart_bakes_the_same_stage_anew() {
    let mut c = controller(None);
    c.seen(&look(0, 10_000), S);
    c.moved(&c.action());
    for _ in 0..5 {
        c.seen(&Observation::default(), S);
    }
    assert!(c.held().is_some());
    assert_eq!((c.state().stage, &c.state().step), (0, &Step::Baking));
    let mut again = controller(Some(c.state().clone()));
    again.seen(&look(0, 10_000), S / 2);
    assert_eq!(again.state().step, Step::Baking, "its own bake has to pass");
    again.seen(&look(0, 10_000), S / 2);
    assert_eq!((again.state().stage, again.action()), (1, Action::Forward(1..3)));
}

#[test]
fn halt_resume_and_rollback_by_hand() {
    let mut c = controller(None);
    c.seen(&look(0, 10_000), S);
    c.told(Word::Halt).expect("halts");
    c.told(Word::Halt).expect("no error twice");
    assert_eq!(c.action(), Action::Wait);
    c.seen(&look(200, 10_000), S);
    c.told(Word::Resume).expect("resumes");
    assert_eq!(c.action(), Action::Forward(0..1), "half done is done again");
    c.told(Word::Rollback).expect("goes back");
    assert_eq!(c.action(), Action::Back(0..1));
    c.moved(&Action::Forward(0..1));
    assert_eq!(c.action(), Action::Back(0..1), "what was moved before the word is no answer to it");
    c.moved(&Action::Back(0..1));
    assert!(matches!(c.state().step, Step::RolledBack { .. }));
    let mut untouched = controller(None);
    untouched.told(Word::Rollback).expect("nothing to undo");
    assert_eq!(untouched.action(), Action::Finish);
}
