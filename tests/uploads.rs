//! Request bodies that an upstream reads slowly, with pauses, or not to the end: on real processes, by real clocks.

#[allow(dead_code)] // Each test file uses a part of the helpers.
mod load;
#[allow(dead_code)] // Each test file uses a part of the stubs.
mod stubs;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use serde_json::Value;
use socket2::{Domain, Socket, Type};

use load::*;
use stubs::*;

/// A final answer is owed this long after the request's time (STANDING), and time limits on sockets are extended by the
/// rest (PROTOCOL).
const ANSWER_GRACE: Duration = Duration::from_millis(500 + 50);
/// Send buffers of clients; `None` is the kernel's default, which holds megabytes.
const SMALL_BUFFER: Option<usize> = Some(4 << 10);
const MEDIUM_BUFFER: Option<usize> = Some(16 << 10);

/// How an upstream reads a body.
#[derive(Clone, Copy, Debug)]
enum Reading {
    BytesPerSecond(f64),
    /// Stops for good after so many bytes.
    StopsAt(usize),
    /// Pauses after 100,000 bytes, and reads at this pace before and after.
    Pauses(Duration, f64),
    /// Stops after so many bytes, with the head of a response, whose body follows after this time.
    AnswersAt(usize, Duration),
}

impl Reading {
    fn pace(&self) -> f64 {
        match self {
            Reading::BytesPerSecond(pace) | Reading::Pauses(_, pace) => *pace,
            Reading::StopsAt(_) | Reading::AnswersAt(..) => 80_000.0,
        }
    }

    /// Waits until the next bytes may be read after `read` bytes; returns false if none may.
    fn wait(&self, start: &mut Instant, paused: &mut bool, read: usize) -> bool {
        match *self {
            Reading::StopsAt(at) | Reading::AnswersAt(at, _) if read >= at => return false,
            Reading::Pauses(pause, _) if read >= 100_000 && !*paused => {
                *paused = true;
                *start += pause;
                std::thread::sleep(pause);
            }
            _ => {}
        }
        let due = *start + Duration::from_secs_f64(read as f64 / self.pace());
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        true
    }
}

/// One request with a large body.
#[derive(Clone, Copy, Debug)]
struct Upload {
    bytes: usize,
    chunked: bool,
    send_buffer: Option<usize>,
    reading: Reading,
}

/// What became of a request, in times since its first byte.
#[derive(Debug)]
struct Ended {
    /// When its last byte was written; `None` if it was answered before.
    sent: Option<Duration>,
    answered: Option<Duration>,
    status: u16,
}

impl Upload {
    fn text(&self, id: &str, time: Duration) -> Vec<u8> {
        let framing = if self.chunked {
            "Transfer-Encoding: chunked".to_owned()
        } else {
            format!("Content-Length: {}", self.bytes)
        };
        let head = alarm(id, time.as_millis() as u64, "").replace("Content-Length: 0", &framing);
        let mut text = head.into_bytes();
        if !self.chunked {
            text.resize(text.len() + self.bytes, b'x');
            return text;
        }
        for from in (0..self.bytes).step_by(16_384) {
            let size = (self.bytes - from).min(16_384);
            text.extend_from_slice(format!("{size:x}\r\n").as_bytes());
            text.resize(text.len() + size, b'x');
            text.extend_from_slice(b"\r\n");
        }
        text.extend_from_slice(b"0\r\n\r\n");
        text
    }

    /// Sends the request, and reads its answer at the same time.
    fn send(&self, address: SocketAddr, id: &str, time: Duration) -> Ended {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        if let Some(bytes) = self.send_buffer {
            socket.set_send_buffer_size(bytes).expect("a size");
        }
        socket.connect(&address.into()).expect("it accepts");
        let mut stream = TcpStream::from(socket);
        let mut writer = stream.try_clone().expect("a second handle");
        let text = self.text(id, time);
        let start = Instant::now();
        let (report, sent) = channel();
        let writing = std::thread::spawn(move || {
            if writer.write_all(&text).is_ok() {
                let _ = report.send(start.elapsed());
            }
        });
        stream.set_read_timeout(Some(3 * SOON)).expect("a time");
        let mut answer = [0; 64];
        let n = stream.read(&mut answer).unwrap_or(0);
        let answered = (n > 0).then(|| start.elapsed());
        let sent = sent.try_recv().ok();
        let _ = stream.shutdown(Shutdown::Both);
        writing.join().expect("a writer");
        let text = String::from_utf8_lossy(&answer[..n]).into_owned();
        let status = text.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
        Ended { sent, answered, status }
    }
}

/// The bodies of requests to come at an upstream, by their id.
type Readings = Arc<Mutex<Vec<Reading>>>;

/// Starts an upstream that reads the body of request `uN` as `readings[N]` says; others are answered at once.
fn start_upstream(
    receive_buffer: usize,
    readings: Readings,
    completed: Arc<AtomicUsize>,
) -> SocketAddr {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(receive_buffer).expect("a size");
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port");
    socket.listen(1024).expect("it listens");
    serve_connections(TcpListener::from(socket), move |stream| {
        while serve(&stream, &readings, &completed).is_some() {}
    })
}

fn serve(mut stream: &TcpStream, readings: &Readings, completed: &AtomicUsize) -> Option<()> {
    let (head, rest) = read_head(stream)?;
    let header = |name: &str| head.lines().find_map(|l| l.strip_prefix(name));
    let length = header("content-length: ").and_then(|l| l.parse::<usize>().ok());
    let number = header("x-request-id: u").and_then(|n| n.parse::<usize>().ok());
    let reading = number.map(|n| readings.lock().expect("readings")[n]);
    let (mut read, mut tail, mut piece) = (rest.len(), rest, vec![0; 4096]);
    let (mut start, mut paused) = (Instant::now(), false);
    let chunked = head.contains("chunked");
    let complete = |read: usize, tail: &[u8]| match length {
        Some(length) => read >= length,
        None => !chunked || tail.ends_with(b"0\r\n\r\n"),
    };
    while !complete(read, &tail) {
        if reading.is_some_and(|reading| !reading.wait(&mut start, &mut paused, read)) {
            if let Some(Reading::AnswersAt(_, after)) = reading {
                stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n").ok()?;
                std::thread::sleep(after);
                stream.write_all(b"ok").ok()?;
            }
            // Holds the connection open without reading.
            std::thread::sleep(SOON);
            return None;
        }
        let n = stream.read(&mut piece).ok().filter(|n| *n > 0)?;
        read += n;
        tail.extend_from_slice(&piece[..n]);
        tail.drain(..tail.len().saturating_sub(5));
    }
    completed.fetch_add(1, Ordering::Relaxed);
    stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").ok()
}

/// A proxy before one upstream that is listed often enough for all requests.
struct Bench {
    node: Node,
    readings: Readings,
    /// The number of requests that the upstream has read to their end.
    completed: Arc<AtomicUsize>,
}

impl Bench {
    fn start(limits: (usize, usize), receive_buffer: usize) -> Self {
        Self::with_aim(limits, receive_buffer, TIME)
    }

    /// With this aim for the class of all requests.
    fn with_aim(
        (memory_mb, descriptors): (usize, usize),
        receive_buffer: usize,
        aim: Duration,
    ) -> Self {
        let readings = Readings::default();
        let completed = Arc::new(AtomicUsize::new(0));
        let upstream = start_upstream(receive_buffer, readings.clone(), completed.clone());
        let listed = (0..400).map(|i| member(&format!("s-{i}"), upstream, "SERVING")).collect();
        let mut file = config(listed);
        file["limits"]["memory_mb"] = Value::from(memory_mb);
        file["limits"]["sockets"] = Value::from(descriptors);
        file["settings"]["Services"][ALARM]["Aim"] = Value::from(aim.as_millis() as u64);
        Self { node: Node::start(&file), readings, completed }
    }

    /// Sends all requests at once.
    fn send(&self, uploads: &[Upload], time: Duration) -> Vec<JoinHandle<Ended>> {
        *self.readings.lock().expect("readings") = uploads.iter().map(|u| u.reading).collect();
        let address = self.node.address;
        let start = |(n, upload): (usize, &Upload)| {
            let upload = *upload;
            let thread = std::thread::Builder::new().stack_size(256 << 10);
            let send = move || upload.send(address, &format!("u{n}"), time);
            thread.spawn(send).expect("a thread")
        };
        uploads.iter().enumerate().map(start).collect()
    }

    /// Sends all requests at once; returns what became of each.
    fn play(&self, uploads: &[Upload], time: Duration) -> Vec<Ended> {
        let clients = self.send(uploads, time);
        clients.into_iter().map(|client| client.join().expect("a client")).collect()
    }
}

/// The answers that came after their time, or never.
fn late<'a>(uploads: &'a [Upload], ended: &'a [Ended], time: Duration) -> Vec<String> {
    let is_late = |ended: &Ended| match (ended.sent, ended.answered) {
        (_, None) => true,
        (sent, Some(answered)) => sent.is_some_and(|sent| answered > sent + time + ANSWER_GRACE),
    };
    let pairs = uploads.iter().zip(ended).filter(|(_, ended)| is_late(ended));
    pairs.map(|(upload, ended)| format!("{upload:?}: {ended:?}")).collect()
}

/// Sizes of requests, and how their servers read them, as the operators' report has them.
fn reported(send_buffer: Option<usize>) -> Vec<Upload> {
    let paces = [80_665.0, 95_160.0, 76_872.0, 70_582.0, 77_849.0];
    let read = [427_812, 687_359, 686_005, 736_071, 379_718].into_iter().zip(paces);
    let read = read.map(|(bytes, pace)| (bytes, Reading::BytesPerSecond(pace)));
    let stuck = [(209_937, 17_746), (189_341, 9_298), (217_278, 3_673), (437_920, 7_251)];
    let stuck = stuck.into_iter().map(|(bytes, at)| (bytes, Reading::StopsAt(at)));
    let both = read.chain(stuck);
    both.flat_map(|(bytes, reading)| in_both_framings(bytes, send_buffer, reading)).collect()
}

/// The same request with a chunked body and with one of declared length.
fn in_both_framings(bytes: usize, send_buffer: Option<usize>, reading: Reading) -> [Upload; 2] {
    [true, false].map(|chunked| Upload { bytes, chunked, send_buffer, reading })
}

/// Fails unless all were served, and in their time.
fn assert_all_served(uploads: &[Upload], ended: &[Ended], time: Duration) {
    assert_eq!(late(uploads, ended, time), Vec::<String>::new());
    let served = ended.iter().filter(|ended| ended.status == 200).count();
    assert_eq!(served, uploads.len(), "{ended:#?}");
}

const TIME: Duration = Duration::from_secs(2);
/// The place of the class `alarm` in the settings.
const ALARM: usize = 2;

/// Guards against the time of a request that its upstream reads slowly, or stops to read, running from when the proxy reads
/// its last byte.
#[test]
fn slowly_read_upload_is_answered_in_its_time() {
    for receive_buffer in [16 << 10, 128 << 10] {
        let bench = Bench::start((48, 640), receive_buffer);
        let uploads = reported(SMALL_BUFFER);
        let ended = bench.play(&uploads, TIME);
        assert_eq!(late(&uploads, &ended, TIME), Vec::<String>::new());
    }
}

/// Guards against what waits in the client's kernel not being counted as written.
#[test]
fn upload_that_its_clients_kernel_holds_is_answered_in_its_time() {
    let bench = Bench::start((192, 1024), 16 << 10);
    for send_buffer in [MEDIUM_BUFFER, None] {
        let uploads = reported(send_buffer);
        let ended = bench.play(&uploads, TIME);
        assert_eq!(late(&uploads, &ended, TIME), Vec::<String>::new());
    }
}

/// Guards against a request that its client has written whole being answered once its upstream has read it, or is given up,
/// instead of in its time: any size, framing, pace and memory, and short times (review/8).
#[test]
fn upload_that_is_written_whole_is_answered_in_its_time() {
    let readings = [
        Reading::BytesPerSecond(64e3),
        Reading::BytesPerSecond(400e3),
        Reading::StopsAt(20_000),
        Reading::Pauses(Duration::from_secs(1), 200e3),
    ];
    for limits in [(48, 384), (32, 1024)] {
        let bench = Bench::start(limits, 16 << 10);
        for time in [Duration::from_millis(480), Duration::from_millis(1200), 2 * TIME] {
            let uploads: Vec<Upload> = [300_000, 1 << 20, 3 << 20]
                .into_iter()
                .flat_map(|bytes| readings.map(|reading| (bytes, reading)))
                .flat_map(|(bytes, reading)| in_both_framings(bytes, None, reading))
                .collect();
            let ended = bench.play(&uploads, time);
            assert_eq!(late(&uploads, &ended, time), Vec::<String>::new(), "{limits:?}, {time:?}");
        }
    }
}

/// Guards against an upload being cut off that moves, whatever its size, framing and pace, and with a pause.
#[test]
fn upload_that_moves_is_not_cut_off() {
    let bench = Bench::start((48, 640), 16 << 10);
    let pause = Reading::Pauses(Duration::from_secs(1), 2e6);
    let kinds = [
        (600_000, Reading::BytesPerSecond(500e3)),
        (2 << 20, Reading::BytesPerSecond(500e3)),
        (8 << 20, Reading::BytesPerSecond(4e6)),
        (32 << 20, Reading::BytesPerSecond(10e6)),
        (2 << 20, pause),
        (8 << 20, pause),
    ];
    let uploads: Vec<Upload> = kinds
        .into_iter()
        .flat_map(|(bytes, reading)| in_both_framings(bytes, SMALL_BUFFER, reading))
        .collect();
    let ended = bench.play(&uploads, TIME);
    assert_all_served(&uploads, &ended, TIME);
}

/// Guards against an upload being ended at its class's aim while its upstream still reads it: the aim runs from when the
/// proxy has read all of it. By size, framing and pace.
#[test]
fn upload_that_is_still_read_is_not_ended_at_its_class_aim() {
    for receive_buffer in [4 << 10, 128 << 10] {
        let bench = Bench::with_aim((48, 640), receive_buffer, Duration::from_millis(300));
        let uploads: Vec<Upload> =
            [(16_000, 20e3), (60_000, 50e3), (120_000, 90e3), (250_000, 200e3), (500_000, 400e3)]
                .into_iter()
                .flat_map(|(bytes, pace)| {
                    in_both_framings(bytes, None, Reading::BytesPerSecond(pace))
                })
                .collect();
        let ended = bench.play(&uploads, TIME);
        assert_all_served(&uploads, &ended, TIME);
    }
}

/// Guards against a response that comes before all of its request was read being lost, or waited for past the request's time.
#[test]
fn response_to_an_upload_that_is_not_read_to_its_end_is_passed_on() {
    let bench = Bench::with_aim((48, 640), 16 << 10, Duration::from_millis(200));
    let time = Duration::from_millis(1000);
    let of = |after_ms| {
        let reading = Reading::AnswersAt(4_000, Duration::from_millis(after_ms));
        [100_000, 700_000].map(|bytes| in_both_framings(bytes, None, reading)).concat()
    };
    let uploads = [of(500), of(1100)].concat();
    let ended = bench.play(&uploads, time);
    assert_eq!(late(&uploads, &ended, time), Vec::<String>::new());
    let served = ended[..uploads.len() / 2].iter().filter(|ended| ended.status == 200).count();
    assert_eq!(served, uploads.len() / 2, "{ended:#?}");
}

/// Guards against uploads to upstreams that stopped reading delaying other requests, and against their memory adding up,
/// with all connections that clients may have in use.
#[test]
fn stuck_uploads_on_all_connections_delay_no_other_request() {
    for limits in [(32, 1024), (32, 256), (48, 640)] {
        let bench = Bench::start(limits, 16 << 10);
        let (memory_mb, descriptors) = limits;
        let stuck = |n: usize| Upload {
            bytes: [200_000, 700_000, 3 << 20][n % 3],
            chunked: n.is_multiple_of(2),
            send_buffer: SMALL_BUFFER,
            reading: Reading::StopsAt(8_000),
        };
        let uploads: Vec<Upload> = (0..descriptors / 3 - 1).map(stuck).collect();
        let clients = bench.send(&uploads, TIME);
        let mut client = bench.node.client();
        let (mut most, mut others) = (0, Vec::new());
        while !clients.iter().all(JoinHandle::is_finished) {
            most = most.max(private_memory(&bench.node));
            let sent = Instant::now();
            let answer = client.ask(&read(&format!("r{}", others.len()), 1000));
            others.push((answer.status(), sent.elapsed()));
            if answer.header("connection") == "close" {
                client = bench.node.client();
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        let ended: Vec<Ended> = clients.into_iter().map(|c| c.join().expect("a client")).collect();
        assert_eq!(late(&uploads, &ended, TIME), Vec::<String>::new(), "{limits:?}");
        let delayed = others.iter().filter(|(status, took)| *status != 200 || *took > TIME / 2);
        assert_eq!(delayed.count(), 0, "{limits:?}: {others:?}");
        assert!(most <= memory_mb << 20, "{limits:?}: {} KiB", most >> 10);
    }
}

/// Guards against a request being sent on, and run, after its client has left with a part of it still here.
#[test]
fn upload_is_not_sent_on_after_its_client_left() {
    for chunked in [true, false] {
        let bench = Bench::start((48, 640), 16 << 10);
        let (bytes, reading) = (400_000, Reading::BytesPerSecond(150_000.0));
        let upload = Upload { bytes, chunked, send_buffer: SMALL_BUFFER, reading };
        *bench.readings.lock().expect("readings") = vec![reading];
        let mut stream = TcpStream::connect(bench.node.address).expect("it accepts");
        stream.write_all(&upload.text("u0", 2 * TIME)).expect("written");
        // By now the proxy has read all of it, and the upstream a quarter.
        std::thread::sleep(Duration::from_millis(700));
        drop(stream);
        std::thread::sleep(Duration::from_secs_f64(bytes as f64 / reading.pace()));
        assert_eq!(bench.completed.load(Ordering::Relaxed), 0, "it ran, chunked: {chunked}");
    }
}
