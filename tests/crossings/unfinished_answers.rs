//! Answers that the upstream has not finished: stalled, trickled, or given in pieces with gaps. One that may be small is
//! ended half a second after its deadline (STANDING); a large one that is still given is not cut (DAYS).

use super::*;

#[test]
fn unfinished_answer_ends_by_the_deadline() {
    let head = "HTTP/1.1 200 OK\r\n";
    let starts = [
        format!("{head}Content-Length: 100\r\n\r\nhalf"),
        format!("{head}Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"),
        format!("{head}\r\nhalf"),
        head.to_owned(),
    ];
    for start in starts {
        let text = start.clone();
        let address = scripted(move |_, stream| stream.write_all(text.as_bytes()).is_ok());
        let node = Node::start(&config(vec![member("s-0", address, "SERVING")]));
        let mut client = TcpStream::connect(node.address).expect("it accepts");
        client.set_read_timeout(Some(SOON)).expect("a time");
        let from = Instant::now();
        client.write_all(alarm("r1", 1000, "x").as_bytes()).expect("written");
        let mut reader = BufReader::new(client);
        let mut answer = String::new();
        // Either an error answer of the proxy, or a forwarded answer that is visibly incomplete.
        while !answer.ends_with("\r\n\r\n") && reader.read_line(&mut answer).is_ok_and(|n| n > 0) {}
        if answer.starts_with("HTTP/1.1 200") {
            let mut rest = Vec::new();
            let _ = reader.read_to_end(&mut rest);
            let rest = String::from_utf8_lossy(&rest);
            assert!(!rest.ends_with("0\r\n\r\n"), "a cut answer looks complete: {start}");
            assert!(answer.to_lowercase().contains("transfer-encoding: chunked"), "{answer}");
        } else {
            assert!(answer.starts_with("HTTP/1.1 504"), "{answer} to {start}");
        }
        assert!(from.elapsed() < Duration::from_millis(1500), "{:?}: {start}", from.elapsed());
    }
}

/// Writes `n` chunks of `size` bytes, `apart_ms` apart, and then the last chunk if `ends` is set.
fn write_trickle(stream: &mut TcpStream, n: usize, size: usize, apart_ms: u64, ends: bool) -> bool {
    let mut written = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    for _ in 0..n {
        written = written.and_then(|()| stream.write_all(&piece(size)));
        pause(apart_ms);
    }
    written.and_then(|()| if ends { stream.write_all(b"0\r\n\r\n") } else { Ok(()) }).is_ok()
}

#[test]
fn trickled_answer_ends_by_the_deadline_and_a_large_slow_one_is_not_cut() {
    let node_of = |handler: fn(&mut TcpStream) -> bool| {
        let address = scripted(move |_, stream| handler(stream));
        let known = vec![member("s-0", address, "SERVING")];
        Node::start(&config(known))
    };
    let ask = |node: &Node, deadline_ms| {
        let mut client = TcpStream::connect(node.address).expect("it accepts");
        client.set_read_timeout(Some(SOON)).expect("a time");
        let last = alarm("r1", deadline_ms, "x").replace("Host", "Connection: close\r\nHost");
        client.write_all(last.as_bytes()).expect("written");
        let mut answer = Vec::new();
        let _ = client.read_to_end(&mut answer);
        answer
    };
    let trickling = node_of(|stream| write_trickle(stream, 200, 1, 50, false));
    let from = Instant::now();
    let answer = ask(&trickling, 1000);
    assert!(!answer.ends_with(b"0\r\n\r\n"), "a cut answer looks complete");
    assert!(from.elapsed() < Duration::from_millis(1500), "{:?}", from.elapsed());
    // 50 kB/s for four times the deadline, which applies to a small answer.
    let large = node_of(|stream| write_trickle(stream, 50, 2000, 40, true));
    let answer = ask(&large, 500);
    assert!(answer.ends_with(b"0\r\n\r\n"), "answer cut after {} bytes", answer.len());
}

/// How an upstream writes the body of an answer, after its head.
#[derive(Clone, Copy, Debug)]
struct Pieces {
    chunked: bool,
    /// Time before the first piece, and its size in bytes.
    first_after_ms: u64,
    first: usize,
    /// Number, size and distance of the pieces that follow.
    count: usize,
    size: usize,
    apart_ms: u64,
}

impl Pieces {
    fn total(&self) -> usize {
        self.first + self.count * self.size
    }

    fn frame(&self, bytes: usize) -> Vec<u8> {
        if self.chunked { piece(bytes) } else { vec![b'x'; bytes] }
    }

    /// Writes the answer, and its end if `ends` is set.
    fn write(&self, stream: &mut TcpStream, ends: bool) -> std::io::Result<()> {
        let framing = if self.chunked { "Transfer-Encoding: chunked" } else { "Connection: close" };
        stream.write_all(format!("HTTP/1.1 200 OK\r\n{framing}\r\n\r\n").as_bytes())?;
        let start = Instant::now();
        for n in 0..=self.count {
            let bytes = if n == 0 { self.first } else { self.size };
            let due = Duration::from_millis(self.first_after_ms + n as u64 * self.apart_ms);
            std::thread::sleep(due.saturating_sub(start.elapsed()));
            stream.write_all(&self.frame(bytes))?;
        }
        if ends && self.chunked { stream.write_all(b"0\r\n\r\n") } else { Ok(()) }
    }
}

/// Sends a request with this deadline for each of `answers` at the same time, and returns how long each took until its
/// end, with what the client got.
fn ask_all(answers: &[Pieces], deadline_ms: u64, ends: bool) -> Vec<(Duration, Vec<u8>)> {
    let to_write = answers.to_vec();
    let address = scripted(move |n, stream| {
        let pieces = &to_write[n];
        // An answer that does not end stays open, silent.
        pieces.write(stream, ends).is_ok() && (pieces.chunked || !ends)
    });
    let known = (0..answers.len()).map(|i| member(&format!("s-{i}"), address, "SERVING"));
    let node = Node::start(&config(known.collect()));
    let clients: Vec<_> = (0..answers.len())
        .map(|i| {
            let address = node.address;
            std::thread::spawn(move || {
                let mut client = TcpStream::connect(address).expect("it accepts");
                client.set_read_timeout(Some(SOON)).expect("a time");
                let request = alarm(&format!("r{i}"), deadline_ms, "x");
                let request = request.replace("Host", "Connection: close\r\nHost");
                let from = Instant::now();
                client.write_all(request.as_bytes()).expect("written");
                let mut answer = Vec::new();
                let _ = client.read_to_end(&mut answer);
                (from.elapsed(), answer)
            })
        })
        .collect();
    clients.into_iter().map(|client| client.join().expect("a client")).collect()
}

/// Number of body bytes of an answer in pieces, which consist of `x` alone.
fn body_bytes(answer: &[u8]) -> usize {
    let head = answer.windows(4).position(|w| w == b"\r\n\r\n").unwrap_or(answer.len());
    answer[head..].iter().filter(|byte| **byte == b'x').count()
}

/// Guards against a large answer of unknown length being taken for a small one, and cut off, in a gap between its pieces.
#[test]
fn large_answer_of_unknown_length_is_not_cut_in_a_gap() {
    let steady = |chunked, first, count, size, apart_ms| Pieces {
        chunked,
        first_after_ms: 250,
        first,
        count,
        size,
        apart_ms,
    };
    let mut answers = Vec::new();
    for chunked in [true, false] {
        // 64 kB/s, the least pace that DAYS names, in pieces of several sizes.
        answers.push(steady(chunked, 1_000, 4, 72_000, 1_125));
        answers.push(steady(chunked, 10, 5, 40_000, 625));
        answers.push(steady(chunked, 40_000, 4, 40_000, 625));
        answers.push(steady(chunked, 1_000, 12, 16_000, 250));
        // Half of that.
        answers.push(steady(chunked, 1_000, 3, 36_000, 1_125));
        answers.push(steady(chunked, 20_000, 5, 20_000, 625));
    }
    let got = ask_all(&answers, 1000, true);
    let mut totals: Vec<usize> = got.iter().map(|(_, answer)| body_bytes(answer)).collect();
    let mut wanted: Vec<usize> = answers.iter().map(Pieces::total).collect();
    totals.sort_unstable();
    wanted.sort_unstable();
    assert_eq!(totals, wanted, "an answer was cut off");
    assert!(got.iter().all(|(_, answer)| answer.ends_with(b"0\r\n\r\n")), "an end is missing");
}

/// Guards against an answer of unknown length that stalls being waited for longer than STANDING allows, by how much of it
/// had come.
#[test]
fn stalled_answer_of_unknown_length_ends_by_the_deadline_whatever_its_size() {
    let mut answers = Vec::new();
    for chunked in [true, false] {
        for first in [1, 1_000, 20_000, 40_000, 60_000] {
            let first_after_ms = 250;
            answers.push(Pieces { chunked, first_after_ms, first, count: 0, size: 0, apart_ms: 0 });
        }
        // In pieces, at once and over some time.
        for apart_ms in [0, 20] {
            let (first, count, size) = (2_000, 20, 2_000);
            answers.push(Pieces { chunked, first_after_ms: 0, first, count, size, apart_ms });
        }
    }
    let got = ask_all(&answers, 1000, false);
    for (after, answer) in got {
        let bytes = body_bytes(&answer);
        assert!(after < Duration::from_millis(1500), "ended after {after:?}, {bytes} bytes");
        assert!(!answer.ends_with(b"0\r\n\r\n"), "a cut answer looks complete");
    }
}

/// Guards against a large answer being cut off after a process stall, though more of it arrived during the stall.
#[test]
fn large_answer_that_arrives_during_a_stall_is_not_cut() {
    for chunked in [true, false] {
        let pieces = Pieces {
            chunked,
            first_after_ms: 0,
            first: 1_000,
            count: 2,
            size: 72_000,
            apart_ms: 1_100,
        };
        let address = scripted(move |_, stream| pieces.write(stream, true).is_ok() && chunked);
        let node = Node::start(&config(vec![member("s-0", address, "SERVING")]));
        let mut client = TcpStream::connect(node.address).expect("it accepts");
        client.set_read_timeout(Some(SOON)).expect("a time");
        let request = alarm("r1", 1000, "x").replace("Host", "Connection: close\r\nHost");
        client.write_all(request.as_bytes()).expect("written");
        pause(900);
        node.signal("STOP");
        pause(800);
        node.signal("CONT");
        let mut answer = Vec::new();
        let _ = client.read_to_end(&mut answer);
        assert_eq!(body_bytes(&answer), pieces.total(), "chunked: {chunked}");
    }
}
