//! The durable store: time to serve the first list after a start with a long log, write throughput with a sync for each
//! batch, speed of checking records, and size of a member on disk.

#[allow(dead_code)] // The integration tests use the rest.
#[path = "../tests/harness/mod.rs"]
mod harness;

use std::convert::Infallible;
use std::fs;
use std::path::Path;
use std::time::{Duration, Instant};

use criterion::{BatchSize, BenchmarkId, Criterion, Throughput, criterion_group, criterion_main};
use harness::{Fleet, free, look};
use hollowpaddle::discovery::member::{Member, Phase};
use hollowpaddle::replica::command::Command;
use hollowpaddle::replica::core::Replica;
use hollowpaddle::replica::storage::{RaftStorage, Record};
use hollowpaddle::store::record::{self, Read};
use hollowpaddle::store::{Log, Recovery};

const MEMBERS: u64 = 1000;
const RECORDS: usize = 100_000;

fn member(i: u64) -> Member {
    Member {
        id: format!("s-{:08x}", i % MEMBERS),
        host_port: format!("10.1.{}.{}:{}", i % MEMBERS / 250, i % 250, 8000 + i / MEMBERS),
        locality: "taipei".into(),
        flavor: "std".into(),
        cell: 3,
        phase: Phase::Serving,
        size: 1.0,
        up_since_ms: 1.0,
        service: String::new(),
    }
}

/// A single-instance replica that has applied this many writes, and the records it persisted for them.
fn replica_after_writes(writes: u64) -> (Replica, Vec<Vec<u8>>) {
    let storage = RaftStorage::new(vec![1]);
    let retry_after = Duration::from_secs(1);
    let mut replica = Replica::new::<Infallible>(1, storage, 1024, 1, retry_after).expect("starts");
    let mut records = Vec::new();
    let mut advance = |replica: &mut Replica| {
        let persist = |batch: &[Record]| {
            records.extend(batch.iter().map(|r| postcard::to_stdvec(r).expect("a record")));
            Ok::<_, Infallible>(())
        };
        replica.process_ready(Duration::ZERO, persist).expect("goes on");
    };
    replica.campaign();
    advance(&mut replica);
    let seed = Command::Seed { revision: 0, members: vec![] };
    replica.propose(&seed).expect("leads");
    advance(&mut replica);
    for i in 0..writes {
        let command = Command::Register { member: member(i), ttl_ms: None, fence: None };
        replica.propose(&command).expect("leads");
        advance(&mut replica);
    }
    (replica, records)
}

/// Writes the records as a log file in `dir` and returns its contents.
fn write_log(dir: &Path, records: &[Vec<u8>]) -> Vec<u8> {
    let mut data = Vec::new();
    for (i, payload) in records.iter().enumerate() {
        record::encode(i as u64 + 1, payload, &mut data);
    }
    fs::create_dir_all(dir).expect("a folder");
    fs::write(dir.join(format!("log-{:020}", 0)), &data).expect("written");
    data
}

fn restart_with_long_log(c: &mut Criterion) {
    let mut fleet = Fleet::default();
    let dir = fleet.folder("long");
    let (mut replica, mut records) = replica_after_writes(RECORDS as u64);
    records.truncate(RECORDS);
    let data = write_log(&dir, &records);
    let snapshot = replica.compact().expect("compacts");
    eprintln!(
        "on disk: {:.0} bytes a write in the log ({} records, {:.1} MB); {:.0} bytes a member in a snapshot",
        data.len() as f64 / records.len() as f64,
        records.len(),
        data.len() as f64 / 1e6,
        snapshot.len() as f64 / MEMBERS as f64
    );
    let at = free();
    let text = format!(
        "listen = \"{at}\"\nstate_dir = \"{}\"\nsnapshot_bytes = 1000000000\n",
        dir.display()
    );
    let file = fleet.file("long.toml", &text);
    let args = ["discovery", "--config", file.to_str().expect("UTF-8")];
    let mut group = c.benchmark_group("start");
    group.sample_size(10);
    group.bench_function("1,000 members, 100,000 records, to the first list served", |b| {
        b.iter_custom(|times| {
            let mut spent = Duration::ZERO;
            for _ in 0..times {
                let from = Instant::now();
                let process = fleet.start("long", &args, &[]);
                let list = look(at, "/api/targets");
                spent += from.elapsed();
                assert_eq!(list["members"].as_array().map(Vec::len), Some(MEMBERS as usize));
                fleet.kill(process);
            }
            spent
        });
    });
    group.finish();
    let mut group = c.benchmark_group("check");
    group.throughput(Throughput::Bytes(data.len() as u64)).sample_size(20);
    group.bench_function("every record of that log", |b| {
        b.iter(|| {
            let (mut at, mut count) = (0, 0);
            while let Read::Complete { next, .. } = record::read(&data, at) {
                (at, count) = (next, count + 1);
            }
            assert_eq!(count, records.len());
        });
    });
    group.finish();
}

fn append_with_sync(c: &mut Criterion) {
    let mut fleet = Fleet::default();
    let mut group = c.benchmark_group("append with a sync for each batch");
    for batch in [1_usize, 10, 100, 1000] {
        let dir = fleet.folder(&format!("append-{batch}"));
        let mut log = Log::open(&dir, Recovery::Strict, None).expect("opens").log;
        group.throughput(Throughput::Elements(batch as u64));
        group.bench_with_input(BenchmarkId::from_parameter(batch), &batch, |b, &batch| {
            let payloads = || vec![[7_u8; 200]; batch];
            b.iter_batched(payloads, |p| log.append(&p).expect("written"), BatchSize::SmallInput);
        });
    }
    group.finish();
}

criterion_group! {
    name = benches;
    config = Criterion::default().without_plots();
    targets = restart_with_long_log, append_with_sync
}
criterion_main!(benches);
