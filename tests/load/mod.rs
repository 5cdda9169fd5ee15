//! Helpers of the tests that put a proxy under hundreds of large messages.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use serde_json::Value;
use socket2::{Domain, SockRef, Socket, Type};

use crate::stubs::{Node, SOON, config, member};

/// Reads up to the end of a head; returns it in lower case, and what follows it.
pub fn read_head(mut stream: impl Read) -> Option<(String, Vec<u8>)> {
    let (mut read, mut piece) = (Vec::new(), vec![0; 16 << 10]);
    loop {
        if let Some(at) = read.windows(4).position(|w| w == b"\r\n\r\n") {
            let rest = read.split_off(at + 4);
            return Some((String::from_utf8_lossy(&read).to_lowercase(), rest));
        }
        let n = stream.read(&mut piece).ok().filter(|n| *n > 0)?;
        read.extend_from_slice(&piece[..n]);
    }
}

/// Calls `serve` for each connection, with a thread of its own; returns the address of the listener.
pub fn serve_connections<T: Send + 'static>(
    listener: TcpListener,
    serve: impl Fn(TcpStream) -> T + Send + Sync + 'static,
) -> SocketAddr {
    let address = listener.local_addr().expect("an address");
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            // Some tests have hundreds of connections.
            let thread = thread::Builder::new().stack_size(256 << 10);
            thread.spawn(move || serve(stream)).expect("a thread");
        }
    });
    address
}

/// What no file backs of a proxy's memory, in bytes.
pub fn private_memory(node: &Node) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{}/status", node.child.id()));
    let status = status.expect("the proxy is running");
    let line = status.lines().find_map(|l| l.strip_prefix("RssAnon:")).expect("a line RssAnon");
    line.trim().trim_end_matches(" kB").parse::<usize>().expect("kilobytes") << 10
}

/// The limits of a proxy.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub memory_mb: usize,
    pub descriptors: usize,
}

pub const fn limits(memory_mb: usize, descriptors: usize) -> Limits {
    Limits { memory_mb, descriptors }
}

impl Limits {
    pub fn clients(&self) -> usize {
        self.descriptors / 3
    }

    /// A proxy with these limits before one upstream that is listed often enough for every client to be served.
    pub fn start(&self, upstream: SocketAddr) -> Node {
        let listed = (0..400).map(|i| member(&format!("s-{i}"), upstream, "SERVING")).collect();
        let mut file = config(listed);
        file["limits"]["memory_mb"] = Value::from(self.memory_mb);
        file["limits"]["sockets"] = Value::from(self.descriptors);
        Node::start(&file)
    }
}

/// Clients that run until they are told to stop, each with a thread of its own.
pub struct Clients<T> {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<T>>,
}

impl<T: Send + 'static> Clients<T> {
    pub fn start(
        count: usize,
        client: impl Fn(usize, &AtomicBool) -> T + Send + Sync + 'static,
    ) -> Self {
        let (stop, client) = (Arc::new(AtomicBool::new(false)), Arc::new(client));
        let start = |n| {
            let (stop, client) = (stop.clone(), client.clone());
            let thread = std::thread::Builder::new().stack_size(256 << 10);
            thread.spawn(move || client(n, &stop)).expect("a thread")
        };
        Self { threads: (0..count).map(start).collect(), stop }
    }

    /// The most private memory that the proxy holds in this time, or until all clients have ended.
    pub fn most_memory(&self, node: &Node, time: Duration) -> usize {
        let start = Instant::now();
        let mut most = 0;
        while start.elapsed() < time && !self.threads.iter().all(JoinHandle::is_finished) {
            most = most.max(private_memory(node));
            std::thread::sleep(Duration::from_millis(10));
        }
        most
    }

    /// Tells the clients to stop, and returns what each returns.
    pub fn join(mut self) -> Vec<T> {
        self.stop.store(true, Ordering::Relaxed);
        self.threads.drain(..).map(|thread| thread.join().expect("a client")).collect()
    }
}

impl<T> Drop for Clients<T> {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        self.threads.drain(..).for_each(|thread| drop(thread.join()));
    }
}

/// An upstream that calls `serve` for each connection, with a thread of its own.
pub fn start_upstream<T: Send + 'static>(
    serve: impl Fn(TcpStream) -> T + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    SockRef::from(&listener).listen(1024).expect("a longer backlog");
    serve_connections(listener, serve)
}

/// Reads a message with a `Content-Length`, and returns its head.
pub fn read_whole_message(stream: &mut TcpStream) -> Option<String> {
    let (head, rest) = read_head(&mut *stream)?;
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "))?;
    let length: usize = length.parse().ok()?;
    stream.read_exact(&mut vec![0; length.checked_sub(rest.len())?]).ok()?;
    Some(head)
}

/// Reads requests with a `Content-Length` or a chunked body that ends its last chunk in one write, and answers each.
pub fn answer_each(mut stream: TcpStream) -> Option<()> {
    let mut piece = vec![0; 32 << 10];
    loop {
        let (head, rest) = read_head(&mut stream)?;
        let mut read = rest.len();
        let length = head.lines().find_map(|l| l.strip_prefix("content-length: "));
        let mut last = Vec::new();
        match length.and_then(|l| l.parse::<usize>().ok()) {
            Some(length) => {
                while read < length {
                    read += stream.read(&mut piece).ok().filter(|n| *n > 0)?;
                }
            }
            None if head.contains("chunked") => {
                while !last.ends_with(b"0\r\n\r\n") {
                    let n = stream.read(&mut piece).ok().filter(|n| *n > 0)?;
                    last.extend_from_slice(&piece[..n]);
                    last.drain(..last.len().saturating_sub(5));
                }
            }
            None => {}
        }
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").ok()?;
    }
}

pub fn connect(address: SocketAddr, receive_buffer: usize) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(receive_buffer).expect("a size");
    socket.connect(&address.into()).expect("it accepts");
    let stream = TcpStream::from(socket);
    stream.set_read_timeout(Some(SOON)).expect("a time");
    stream
}

#[track_caller]
pub fn assert_within(most: usize, limits: Limits, what: &str) {
    let allowed = limits.memory_mb << 20;
    assert!(most <= allowed, "{} KiB of {} allowed: {what}, {limits:?}", most >> 10, allowed >> 10);
}
