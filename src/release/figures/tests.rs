use super::*;

fn text(served: u64, errors: u64) -> String {
    format!(
        "# TYPE upstream_attempts_total counter\n\
         upstream_attempts_total{{upstream=\"a\",end=\"served\"}} {served}\n\
         upstream_attempts_total{{upstream=\"a\",end=\"errors\"}} {errors}\n\
         # TYPE upstream_latency_seconds histogram\n\
         upstream_latency_seconds_bucket{{le=\"0.01\",upstream=\"a\"}} {served}\n\
         upstream_latency_seconds_bucket{{le=\"+Inf\",upstream=\"a\"}} {served}\n\
         upstream_latency_seconds_sum{{upstream=\"a\"}} 1\n\
         upstream_latency_seconds_count{{upstream=\"a\"}} {served}\n"
    )
}

#[test]
fn counts_accumulate_from_the_first_scrape_and_across_a_restart() {
    let (mut window, proxy) = (Window::default(), SocketAddr::from(([127, 0, 0, 1], 1)));
    for (served, errors) in [(100, 9), (130, 10), (5, 0)] {
        window.record(proxy, parse_metrics(&text(served, errors)).expect("a scrape"));
    }
    let seen = window.upstream_observation(&["a"].into(), &["b"].into());
    assert_eq!((seen.new.attempts, seen.new.errors), (36, 1));
    assert_eq!(seen.new.latencies.0, BTreeMap::from([(10_000, 35)]));
    assert_eq!(seen.old, TrafficStats::default());
    window.restart();
    assert_eq!(window.upstream_observation(&["a"].into(), &["b"].into()).new.attempts, 0);
    assert!(parse_metrics("no figure at all").map_or(true, |c| c.is_empty()));
}
