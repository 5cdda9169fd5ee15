//! Shared code of the benches behind docs/CAPACITY.md: processor time and memory of a process, bytes on a connection,
//! linear fits over sizes, and command line options.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Processor time of all threads of a process so far, in seconds. Read from `/proc/PID/task/*/schedstat`, which counts
/// in nanoseconds; `/proc/PID/stat` counts in steps of 10 ms, too coarse to measure 1% of a core.
pub fn cpu_seconds(pid: u32) -> f64 {
    schedstat_seconds(pid, 0)
}

/// How long the threads of a process were runnable but waiting for a processor so far, in seconds: the delay caused by
/// load on the machine.
pub fn runnable_wait_seconds(pid: u32) -> f64 {
    schedstat_seconds(pid, 1)
}

fn schedstat_seconds(pid: u32, column: usize) -> f64 {
    let tasks = std::fs::read_dir(format!("/proc/{pid}/task"));
    let of = |task: std::fs::DirEntry| {
        let text = std::fs::read_to_string(task.path().join("schedstat")).ok()?;
        text.split_whitespace().nth(column)?.parse::<f64>().ok()
    };
    tasks.map(|t| t.flatten().filter_map(of).sum::<f64>()).unwrap_or(0.0) / 1e9
}

/// A line of `/proc/PID/status` in MB (10^6 bytes): `VmRSS` for current and `VmHWM` for peak resident memory.
pub fn memory_mb(pid: u32, line: &str) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix(line)?.strip_prefix(':'));
    let kib = line.and_then(|l| l.split_whitespace().next()?.parse::<f64>().ok());
    kib.unwrap_or(0.0) * 1024.0 / 1e6
}

/// Runs `run` and returns the processor time of process `pid` meanwhile, the elapsed time (both in seconds), and the
/// result of `run`.
pub fn measure_cpu<T>(pid: u32, run: impl FnOnce() -> T) -> (f64, f64, T) {
    let (from, before) = (Instant::now(), cpu_seconds(pid));
    let done = run();
    let (spent, took) = (cpu_seconds(pid) - before, from.elapsed().as_secs_f64());
    (spent, took, done)
}

/// Linear least-squares fit: the value at 0 and the slope.
pub fn fit_line(points: &[(f64, f64)]) -> (f64, f64) {
    let n = points.len() as f64;
    let (x, y) = points.iter().fold((0.0, 0.0), |(x, y), p| (x + p.0 / n, y + p.1 / n));
    let over: f64 = points.iter().map(|p| (p.0 - x) * (p.1 - y)).sum();
    let under: f64 = points.iter().map(|p| (p.0 - x) * (p.0 - x)).sum();
    let slope = if under > 0.0 { over / under } else { 0.0 };
    (y - slope * x, slope)
}

/// Prints a measurement at each size, its linear fit, and the ratios to the first size.
pub fn print_scaling(what: &str, unit: &str, points: &[(f64, f64)]) {
    let (constant, slope) = fit_line(points);
    let each: Vec<String> = points.iter().map(|(x, y)| format!("{y:.3} at {x}")).collect();
    let first = points.first().map_or(1.0, |p| p.1);
    let times: Vec<String> = points.iter().map(|p| format!("{:.2}", p.1 / first)).collect();
    println!(
        "{what}: {} {unit}; {constant:.4} + {slope:.3e} x count; ratios {}",
        each.join(", "),
        times.join(", ")
    );
}

/// The value of the command line argument `name=value`, if present.
pub fn option(name: &str) -> Option<String> {
    std::env::args().find_map(|a| Some(a.strip_prefix(name)?.strip_prefix('=')?.to_owned()))
}

/// The value of [`option`] as a number.
pub fn number(name: &str, default: usize) -> usize {
    option(name).map_or(default, |v| v.parse().expect("a number"))
}

/// The value of the option `sizes`, a comma-separated list of numbers.
pub fn sizes(default: &[usize]) -> Vec<usize> {
    let read = |v: String| v.split(',').map(|n| n.parse().expect("a number")).collect();
    option("sizes").map_or(default.to_vec(), read)
}

/// Whether this part of the bench is selected on the command line. Without a selection all parts run.
pub fn is_selected(part: &str) -> bool {
    let parts: Vec<String> =
        std::env::args().skip(1).filter(|a| !a.starts_with('-') && !a.contains('=')).collect();
    parts.is_empty() || parts.iter().any(|p| p == part)
}

/// Forwards connections to another address and counts the payload bytes, without TCP and IP overhead.
pub struct Relay {
    pub address: SocketAddr,
    /// Bytes sent by the connecting side.
    pub out: Arc<AtomicU64>,
    /// Bytes sent to the connecting side.
    pub back: Arc<AtomicU64>,
    pub connections: Arc<AtomicU64>,
}

fn forward(mut from: TcpStream, mut to: TcpStream, count: Arc<AtomicU64>) {
    let mut buffer = vec![0; 64 << 10];
    while let Ok(n) = from.read(&mut buffer) {
        count.fetch_add(n as u64, Ordering::Relaxed);
        if n == 0 || to.write_all(&buffer[..n]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Write);
    let _ = from.shutdown(Shutdown::Read);
}

impl Relay {
    pub fn to(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("bound");
        let [out, back, connections]: [Arc<AtomicU64>; 3] = Default::default();
        let (counted, answered, opened) = (out.clone(), back.clone(), connections.clone());
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let Ok(far) = TcpStream::connect(target) else { continue };
                opened.fetch_add(1, Ordering::Relaxed);
                let _ = (near.set_nodelay(true), far.set_nodelay(true));
                let (Ok(near2), Ok(far2)) = (near.try_clone(), far.try_clone()) else { continue };
                let (counted, answered) = (counted.clone(), answered.clone());
                thread::spawn(move || forward(near, far, counted));
                thread::spawn(move || forward(far2, near2, answered));
            }
        });
        Self { address, out, back, connections }
    }

    pub fn bytes(&self) -> (u64, u64) {
        (self.out.load(Ordering::Relaxed), self.back.load(Ordering::Relaxed))
    }
}

/// Calls `run` for every number below `count`, distributed over `threads` threads, and returns the elapsed time.
pub fn run_in_parallel(threads: usize, count: usize, run: impl Fn(usize) + Sync) -> Duration {
    let from = Instant::now();
    thread::scope(|s| {
        for t in 0..threads {
            let run = &run;
            s.spawn(move || (t..count).step_by(threads).for_each(run));
        }
    });
    from.elapsed()
}
