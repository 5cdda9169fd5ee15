use super::*;

const MS: Duration = Duration::from_millis(1);

#[test]
fn each_fact_alone_denies_an_attempt() {
    let fine = SendFacts::default();
    assert_eq!(send(&fine), Ok(()));
    let facts = [
        (SendFacts { client_closed: true, ..fine }, Denial::ClientClosed),
        (SendFacts { answered: true, ..fine }, Denial::Answered),
        (SendFacts { window_passed: true, ..fine }, Denial::WindowPassed),
        (SendFacts { upstream_closed: true, ..fine }, Denial::UpstreamClosed),
        (SendFacts { upstream_moved: true, ..fine }, Denial::UpstreamMoved),
        (SendFacts { deadline_excess: 51 * MS, ..fine }, Denial::DeadlineStale),
    ];
    for (facts, denial) in facts {
        assert_eq!(send(&facts), Err(denial), "{facts:?}");
    }
    assert_eq!((start(false), start(true)), (Ok(()), Err(Denial::ClientClosed)));
}

#[test]
fn a_connection_with_unanswered_or_unread_data_is_not_closed() {
    for facts in 0..8 {
        let bit = |n: u8| facts & n > 0;
        let facts = CloseFacts { client_closed: bit(1), unanswered: bit(2), unread: bit(4) };
        let unanswered_or_unread = !facts.client_closed && (facts.unanswered || facts.unread);
        assert_eq!(close(&facts).is_err(), unanswered_or_unread, "{facts:?}");
    }
}

#[test]
fn violations_begin_beyond_the_stated_bounds() {
    let fine = SentFacts { guarded: true, ..SentFacts::default() };
    let rules = |facts| broken(&facts).collect::<Vec<_>>();
    assert_eq!(rules(fine), []);
    let at_the_bounds = SentFacts {
        client_closed: true,
        since_check: 100 * MS,
        past_window: 150 * MS,
        deadline_excess: 150 * MS,
        ..fine
    };
    assert_eq!(rules(at_the_bounds), []);
    let closed = SentFacts { client_closed: true, since_check: 101 * MS, ..fine };
    assert_eq!(rules(closed), [Rule::AttemptAfterClose]);
    assert_eq!(rules(SentFacts { since_check: 900 * MS, ..fine }), [], "its client is there");
    let late = SentFacts { past_window: 151 * MS, deadline_excess: 151 * MS, ..fine };
    assert_eq!(rules(late), [Rule::AttemptAfterWindow, Rule::DeadlineTooLong]);
    let drained = SentFacts { upstream_closed: true, guarded: false, ..fine };
    assert_eq!(rules(drained), [Rule::UnguardedAttempt, Rule::AttemptAtClosedUpstream]);
}
