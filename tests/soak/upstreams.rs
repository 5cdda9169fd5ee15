//! Taps before the stand-in processes: they note each attempt, and let some fail on the way.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use socket2::SockRef;

use crate::record::{Attempt, Record};

/// What a tap does with an attempt.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Pass,
    Delay(Duration),
    NotRun,
    Error,
    Reset,
    Hang,
    Cut,
    CloseAfter,
}

/// A hung attempt is let go after this, if its proxy has not closed it.
const HANG: Duration = Duration::from_secs(4);

/// One upstream as proxies see it.
pub struct Tap {
    pub address: SocketAddr,
    /// Faults stop once this is set.
    pub calm: Arc<AtomicBool>,
}

impl Tap {
    /// Stands before the stand-in at this address.
    pub fn start(upstream: usize, to: SocketAddr, seed: u64, record: Arc<Record>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let calm = Arc::new(AtomicBool::new(false));
        let random = Arc::new(Mutex::new(StdRng::seed_from_u64(seed)));
        let tap = Arc::new(Served { upstream, to, record, calm: calm.clone(), random });
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let tap = tap.clone();
                thread::spawn(move || tap.serve(stream));
            }
        });
        Self { address, calm }
    }
}

struct Served {
    upstream: usize,
    to: SocketAddr,
    record: Arc<Record>,
    calm: Arc<AtomicBool>,
    random: Arc<Mutex<StdRng>>,
}

/// A request as it came.
struct Head {
    began: Instant,
    id: String,
    told: Duration,
    bytes: Vec<u8>,
}

impl Served {
    fn draw(&self) -> Fault {
        if self.calm.load(Ordering::Relaxed) {
            return Fault::Pass;
        }
        let mut random = self.random.lock().expect("a generator");
        let delay = Duration::from_millis(random.gen_range(1..250));
        match random.gen_range(0..100) {
            0..60 => Fault::Pass,
            60..74 => Fault::Delay(delay),
            74..82 => Fault::NotRun,
            82..85 => Fault::Error,
            85..89 => Fault::Reset,
            89..94 => Fault::Hang,
            94..97 => Fault::Cut,
            _ => Fault::CloseAfter,
        }
    }

    fn serve(&self, mut proxy: TcpStream) {
        let _ = proxy.set_nodelay(true);
        let mut stand_in = None;
        while let Some(request) = self.read(&mut proxy) {
            let (id, told, began) = (request.id.clone(), request.told, request.began);
            let attempt = Attempt { upstream: self.upstream, began, told, may_have_run: false };
            let place = self.record.attempted(&id, attempt);
            let fault = self.draw();
            if !matches!(fault, Fault::NotRun) {
                self.record.may_have_run(&id, place);
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
                    let _ = proxy.set_read_timeout(Some(HANG));
                    let _ = proxy.read(&mut [0]);
                    return;
                }
                Fault::Delay(delay) => thread::sleep(delay),
                Fault::Pass | Fault::Cut | Fault::CloseAfter => {}
            }
            let Some(answer) = self.ask(&mut stand_in, &request.bytes) else { return };
            let most = if matches!(fault, Fault::Cut) { answer.len() - 1 } else { answer.len() };
            if proxy.write_all(&answer[..most]).is_err() {
                return;
            }
            if matches!(fault, Fault::Cut | Fault::CloseAfter) {
                return;
            }
        }
    }

    /// Reads one request; `None` where the connection ends first.
    fn read(&self, proxy: &mut TcpStream) -> Option<Head> {
        let (mut bytes, mut buffer) = (Vec::new(), [0; 32 << 10]);
        let mut began = None;
        loop {
            let n = proxy.read(&mut buffer).ok().filter(|n| *n > 0)?;
            let at = *began.get_or_insert_with(|| received(proxy));
            bytes.extend_from_slice(&buffer[..n]);
            let Some(end) = bytes.windows(4).position(|w| w == b"\r\n\r\n") else { continue };
            let head = String::from_utf8_lossy(&bytes[..end]).to_lowercase();
            let header = |name: &str| {
                let mut lines = head.lines().filter_map(|l| l.split_once(": "));
                lines.find(|(n, _)| *n == name).map(|(_, value)| value.to_owned())
            };
            let length = header("content-length").map_or(0, |n| n.parse().unwrap_or(0));
            if bytes.len() < end + 4 + length {
                continue;
            }
            let told = header("x-deadline-ms").and_then(|ms| ms.parse().ok()).unwrap_or(u64::MAX);
            let id = header("x-request-id").unwrap_or_default();
            return Some(Head { began: at, id, told: Duration::from_millis(told), bytes });
        }
    }

    /// Has the stand-in answer; `None` where it does not.
    fn ask(&self, stand_in: &mut Option<TcpStream>, request: &[u8]) -> Option<Vec<u8>> {
        if stand_in.is_none() {
            let connected =
                TcpStream::connect_timeout(&self.to, Duration::from_millis(300)).ok()?;
            connected.set_read_timeout(Some(HANG)).ok()?;
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

/// When the last bytes arrived, by the kernel's word: this thread may read them late.
fn received(stream: &TcpStream) -> Instant {
    Instant::now() - crate::kernel::since_last_data(stream)
}
