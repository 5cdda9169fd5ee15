//! Fault injectors in front of the stand-in processes: they record each attempt and make some fail.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use socket2::SockRef;

use crate::record::{Attempt, Record};

/// How an injector handles an attempt.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Pass,
    Delay(Duration),
    NotRun,
    Error,
    Reset,
    Hang,
    Truncate,
    CloseAfter,
    /// The head of a response without a length at once, its body after this time.
    LateBody(Duration),
}

/// How an injector reads a large body.
#[derive(Clone, Copy, Debug)]
enum Reading {
    Fast,
    BytesPerSecond(f64),
    StopsAt(usize),
}

/// Bodies of at least this size may be read slowly.
const LARGE_BODY: usize = 64 << 10;
/// Forwarded in place of a request with a large body.
const EMPTY_REQUEST: &[u8] = b"POST /api HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n";
/// Receive buffer of the injectors, so that what they do not read shows at the proxy.
const RECEIVE_BUFFER: usize = 16 << 10;

/// A hanging attempt is closed after this time unless its proxy closes it first.
const HANG_TIMEOUT: Duration = Duration::from_secs(4);

/// The address at which proxies reach one upstream.
pub struct FaultInjector {
    pub address: SocketAddr,
    /// No faults are injected once this is set.
    pub faults_off: Arc<AtomicBool>,
}

impl FaultInjector {
    /// Starts an injector that forwards to the stand-in at `to`.
    pub fn start(upstream: usize, to: SocketAddr, seed: u64, record: Arc<Record>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        SockRef::from(&listener).set_recv_buffer_size(RECEIVE_BUFFER).expect("a size");
        let address = listener.local_addr().expect("an address");
        let faults_off = Arc::new(AtomicBool::new(false));
        let random = Arc::new(Mutex::new(StdRng::seed_from_u64(seed)));
        let injector = Arc::new(InjectorState {
            upstream,
            to,
            record,
            faults_off: faults_off.clone(),
            random,
        });
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let injector = injector.clone();
                thread::spawn(move || injector.serve(stream));
            }
        });
        Self { address, faults_off }
    }
}

struct InjectorState {
    upstream: usize,
    to: SocketAddr,
    record: Arc<Record>,
    faults_off: Arc<AtomicBool>,
    random: Arc<Mutex<StdRng>>,
}

/// A request as received.
struct ReceivedRequest {
    started: Instant,
    id: String,
    forwarded_deadline: Duration,
    bytes: Vec<u8>,
    /// Whether its body was a large one.
    large: bool,
}

impl InjectorState {
    fn draw_fault(&self) -> Fault {
        if self.faults_off.load(Ordering::Relaxed) {
            return Fault::Pass;
        }
        let mut random = self.random.lock().expect("a generator");
        let delay = Duration::from_millis(random.gen_range(1..250));
        let late_body = Duration::from_millis(random.gen_range(1..1300));
        match random.gen_range(0..100) {
            0..60 => Fault::Pass,
            60..68 => Fault::Delay(delay),
            68..74 => Fault::LateBody(late_body),
            74..82 => Fault::NotRun,
            82..85 => Fault::Error,
            85..89 => Fault::Reset,
            89..94 => Fault::Hang,
            94..97 => Fault::Truncate,
            _ => Fault::CloseAfter,
        }
    }

    fn draw_reading(&self) -> Reading {
        if self.faults_off.load(Ordering::Relaxed) {
            return Reading::Fast;
        }
        let mut random = self.random.lock().expect("a generator");
        match random.gen_range(0..3) {
            0 => Reading::Fast,
            1 => Reading::BytesPerSecond(random.gen_range(70e3..400e3)),
            _ => Reading::StopsAt(random.gen_range(3_000..600_000)),
        }
    }

    fn serve(&self, mut proxy: TcpStream) {
        let _ = proxy.set_nodelay(true);
        let mut stand_in = None;
        while let Some(request) = self.read_request(&mut proxy) {
            let (id, forwarded_deadline, started) =
                (request.id.clone(), request.forwarded_deadline, request.started);
            let attempt = Attempt {
                upstream: self.upstream,
                started,
                forwarded_deadline,
                may_have_run: false,
                cut_off: None,
            };
            let index = self.record.attempt_started(&id, attempt);
            let fault = self.draw_fault();
            if !matches!(fault, Fault::NotRun) {
                self.record.mark_may_have_run(&id, index);
            }
            match fault {
                Fault::NotRun => {
                    let answer = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
                    if proxy.write_all(answer.as_bytes()).is_err() {
                        return;
                    }
                    continue;
                }
                Fault::Error => {
                    let answer = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";
                    if proxy.write_all(answer.as_bytes()).is_err() {
                        return;
                    }
                    continue;
                }
                Fault::Reset => {
                    let _ = SockRef::from(&proxy).set_linger(Some(Duration::ZERO));
                    return;
                }
                Fault::Hang => {
                    let _ = proxy.set_read_timeout(Some(HANG_TIMEOUT));
                    let _ = proxy.read(&mut [0]);
                    return;
                }
                Fault::Delay(delay) => thread::sleep(delay),
                Fault::LateBody(after) if !request.large => {
                    match write_late_body(&mut proxy, after) {
                        LateBody::Written => continue,
                        LateBody::CutOff => self.record.response_cut_off(&id, index),
                        LateBody::Failed => {}
                    }
                    return;
                }
                Fault::LateBody(_) | Fault::Pass | Fault::Truncate | Fault::CloseAfter => {}
            }
            let Some(answer) = self.forward(&mut stand_in, &request.bytes) else { return };
            let length =
                if matches!(fault, Fault::Truncate) { answer.len() - 1 } else { answer.len() };
            if proxy.write_all(&answer[..length]).is_err() {
                return;
            }
            if matches!(fault, Fault::Truncate | Fault::CloseAfter) {
                return;
            }
        }
    }

    /// Reads one request; `None` if the connection ends first.
    fn read_request(&self, proxy: &mut TcpStream) -> Option<ReceivedRequest> {
        let (mut bytes, mut buffer) = (Vec::new(), [0; 32 << 10]);
        let mut started = None;
        loop {
            let n = proxy.read(&mut buffer).ok().filter(|n| *n > 0)?;
            let at = *started.get_or_insert_with(|| received_at(proxy));
            bytes.extend_from_slice(&buffer[..n]);
            let Some(end) = bytes.windows(4).position(|w| w == b"\r\n\r\n") else { continue };
            let head = String::from_utf8_lossy(&bytes[..end]).to_lowercase();
            let header = |name: &str| {
                let mut lines = head.lines().filter_map(|l| l.split_once(": "));
                lines.find(|(n, _)| *n == name).map(|(_, value)| value.to_owned())
            };
            let framing = (header("content-length"), header("transfer-encoding"));
            let large = self.read_body(proxy, &mut bytes, end + 4, framing)?;
            if large {
                // The stand-in takes no large bodies.
                bytes = EMPTY_REQUEST.to_vec();
            }
            let forwarded_deadline =
                header("x-deadline-ms").and_then(|ms| ms.parse().ok()).unwrap_or(u64::MAX);
            let id = header("x-request-id").unwrap_or_default();
            return Some(ReceivedRequest {
                started: at,
                id,
                forwarded_deadline: Duration::from_millis(forwarded_deadline),
                bytes,
                large,
            });
        }
    }

    /// Reads the rest of a body that begins at `start`, and returns whether it is a large one; `None` if the connection
    /// ends first.
    fn read_body(
        &self,
        proxy: &mut TcpStream,
        bytes: &mut Vec<u8>,
        start: usize,
        (length, coding): (Option<String>, Option<String>),
    ) -> Option<bool> {
        let length = length.map_or(0, |n| n.parse().unwrap_or(0));
        let complete = |bytes: &[u8]| match coding {
            Some(_) => bytes.ends_with(b"0\r\n\r\n"),
            None => bytes.len() >= start + length,
        };
        let large = coding.is_some() || length >= LARGE_BODY;
        let reading = if large { self.draw_reading() } else { Reading::Fast };
        let (from, mut buffer) = (Instant::now(), [0; 4 << 10]);
        while !complete(bytes) {
            let read = bytes.len() - start;
            match reading {
                Reading::StopsAt(at) if read >= at => {
                    thread::sleep(HANG_TIMEOUT);
                    return None;
                }
                Reading::BytesPerSecond(pace) => {
                    let due = from + Duration::from_secs_f64(read as f64 / pace);
                    thread::sleep(due.saturating_duration_since(Instant::now()));
                }
                _ => {}
            }
            let n = proxy.read(&mut buffer).ok().filter(|n| *n > 0)?;
            bytes.extend_from_slice(&buffer[..n]);
        }
        Some(large)
    }

    /// Forwards a request to the stand-in; `None` if it does not answer.
    fn forward(&self, stand_in: &mut Option<TcpStream>, request: &[u8]) -> Option<Vec<u8>> {
        if stand_in.is_none() {
            let connected =
                TcpStream::connect_timeout(&self.to, Duration::from_millis(300)).ok()?;
            connected.set_read_timeout(Some(HANG_TIMEOUT)).ok()?;
            *stand_in = Some(connected);
        }
        let stream = stand_in.as_mut()?;
        stream.write_all(request).ok()?;
        let (mut answer, mut buffer) = (Vec::new(), [0; 4096]);
        loop {
            let n = stream.read(&mut buffer).ok().filter(|n| *n > 0)?;
            answer.extend_from_slice(&buffer[..n]);
            let Some(end) = answer.windows(4).position(|w| w == b"\r\n\r\n") else { continue };
            let head = String::from_utf8_lossy(&answer[..end]).to_lowercase();
            let mut lines = head.lines().filter_map(|l| l.strip_prefix("content-length: "));
            let length = lines.next().and_then(|n| n.parse().ok()).unwrap_or(0);
            if answer.len() >= end + 4 + length {
                return Some(answer);
            }
        }
    }
}

/// What became of a response whose body comes late.
enum LateBody {
    Written,
    /// The proxy closed the connection before the body.
    CutOff,
    Failed,
}

/// Writes the head of a response at once and its body after this time, unless the proxy closes the connection before.
fn write_late_body(proxy: &mut TcpStream, after: Duration) -> LateBody {
    let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    if proxy.write_all(head).and_then(|()| proxy.set_read_timeout(Some(after))).is_err() {
        return LateBody::Failed;
    }
    match proxy.read(&mut [0]) {
        Err(cause) if matches!(cause.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
        _ => return LateBody::CutOff,
    }
    let written = proxy.write_all(b"4\r\nlate\r\n0\r\n\r\n");
    match written.and_then(|()| proxy.set_read_timeout(None)) {
        Ok(()) => LateBody::Written,
        Err(_) => LateBody::Failed,
    }
}

/// When the last bytes arrived according to the kernel, as this thread may read them late.
fn received_at(stream: &TcpStream) -> Instant {
    Instant::now() - crate::kernel::since_last_data(stream)
}
