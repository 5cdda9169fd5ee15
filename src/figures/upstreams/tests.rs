use std::collections::BTreeMap;

use prometheus_parse::{Scrape, Value};

use super::*;

fn encode_all(upstreams: &Upstreams) -> Vec<String> {
    let mut page = Page::start();
    let mut pages = Vec::new();
    while let Some(text) = upstreams.encode_page(&mut page) {
        pages.push(text.expect("it is encoded"));
    }
    pages
}

fn parse(text: &str) -> Scrape {
    Scrape::parse(text.lines().map(|line| Ok(line.to_owned()))).expect("the text format")
}

fn named(count: usize) -> Upstreams {
    let upstreams = Upstreams::default();
    (0..count).for_each(|i| drop(upstreams.upstream(&format!("s-{i:04}"))));
    upstreams
}

#[test]
fn every_upstream_has_its_series_once_in_pages_of_limited_size() {
    const COUNT: usize = 2 * ATTEMPTS_PER_PAGE + 1;
    let pages = encode_all(&named(COUNT));
    assert_eq!(pages.len(), 3 + COUNT.div_ceil(LATENCIES_PER_PAGE));
    assert!(pages.iter().all(|page| page.len() < 64 << 10));
    let text = pages.concat();
    assert_eq!(text.lines().filter(|line| line.starts_with("# TYPE")).count(), 2, "{text}");
    let mut series: BTreeMap<String, usize> = BTreeMap::new();
    for sample in parse(&text).samples {
        let upstream = sample.labels.get("upstream").expect("a label").to_owned();
        *series.entry(upstream).or_default() += 1;
    }
    assert_eq!(series.len(), COUNT);
    // Each end, and a histogram with its sum and its count.
    assert!(series.values().all(|n| *n == ENDS.len() + 3), "{series:?}");
}

#[test]
fn attempts_are_counted_by_their_end_and_latency() {
    let upstreams = Upstreams::default();
    let upstream = upstreams.upstream("a");
    for outcome in [Outcome::Ok, Outcome::Ok, Outcome::Timeout, Outcome::Reset, Outcome::Full] {
        upstream.record_attempt(outcome, Duration::from_millis(2));
    }
    upstream.record_attempt(Outcome::ConnectFailed, Duration::ZERO);
    upstream.record_attempt(Outcome::Cancelled, Duration::ZERO);
    upstream.record_attempt(Outcome::NotSent, Duration::ZERO);
    upstream.record_attempt(Outcome::Ok, Duration::from_secs(60));
    assert_eq!(upstream.counts(), [3, 2, 1, 1]);
    let text = encode_all(&upstreams).concat();
    let scrape = parse(&text);
    let buckets = scrape.samples.iter().find_map(|sample| match &sample.value {
        Value::Histogram(buckets) => Some(buckets),
        _ => None,
    });
    let counts: Vec<(f64, f64)> =
        buckets.expect("a histogram").iter().map(|b| (b.less_than, b.count)).collect();
    assert_eq!(counts.len(), BOUNDED_BUCKETS + 1);
    assert!(
        counts
            .iter()
            .all(|(bound, n)| *n == if *bound < 0.002 { 0.0 } else { 3.0 } || bound.is_infinite())
    );
    assert_eq!(counts[BOUNDED_BUCKETS], (f64::INFINITY, 4.0));
    assert!(text.contains("upstream_latency_seconds_count{upstream=\"a\"} 4\n"), "{text}");
    assert!(text.contains("upstream_latency_seconds_sum{upstream=\"a\"} 60.006"), "{text}");
}

#[test]
fn upstreams_that_come_and_go_between_pages_leave_the_others_in_place() {
    let upstreams = named(2 * ATTEMPTS_PER_PAGE);
    let mut page = Page::start();
    let first = upstreams.encode_page(&mut page).expect("a page").expect("it is encoded");
    let last = format!("s-{:04}", ATTEMPTS_PER_PAGE - 1);
    assert!(first.contains(&last), "{first}");
    upstreams.remove(&last);
    upstreams.upstream("a-new");
    let second = upstreams.encode_page(&mut page).expect("a page").expect("it is encoded");
    for i in ATTEMPTS_PER_PAGE..2 * ATTEMPTS_PER_PAGE {
        assert!(second.contains(&format!("s-{i:04}")), "{second}");
    }
    assert!(!second.starts_with('#'), "{second}");
}

#[test]
fn removed_upstream_has_no_series() {
    let upstreams = named(1);
    upstreams.remove("s-0000");
    assert!(encode_all(&upstreams).is_empty());
}
