use super::*;

#[test]
fn only_lower_revisions_count_as_moved_backwards() {
    let figures = BalancerFigures::default();
    for (revision, back) in [(5, 0), (5, 0), (4, 1), (6, 1), (2, 2)] {
        figures.record_message(revision, 3, revision == 2);
        assert_eq!(figures.went_back.get(), back, "at {revision}");
    }
    assert_eq!((figures.messages.get(), figures.entries.get()), (5, 15));
    assert_eq!(figures.whole_lists.get(), 1);
}

#[test]
fn summary_has_mean_largest_and_revisions_of_running_balancers() {
    let all = [BalancerFigures::default(), BalancerFigures::default(), BalancerFigures::default()];
    for (i, figures) in all.iter().enumerate() {
        figures.record_message(10 + i as u64, 1, false);
        figures.bytes.set(100 * (i as u64 + 1));
        // The balancer with the highest revision is not running.
        figures.running.set(i < 2);
    }
    let summary = Balancers::over(all.iter());
    assert_eq!((summary.running, summary.lowest_revision, summary.highest_revision), (2, 10, 11));
    assert_eq!(summary.bytes, MeanAndLargest { mean: 200, largest: 300 });
    assert_eq!(Balancers::over([].iter()), Balancers::default());
}

#[test]
fn policy_time_is_summed_and_its_maximum_recorded() {
    let figures = BalancerFigures::default();
    for ns in [5_000, 9_000, 1_000] {
        figures.record_policy_call(ns);
    }
    assert_eq!((figures.module_ns.get(), figures.module_calls.get()), (15_000, 3));
    assert_eq!(figures.module_longest_ns.get(), 9_000);
}
