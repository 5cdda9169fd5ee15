//! Helpers of the tests that put a proxy under hundreds of large messages.

use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;

use crate::stubs::Node;

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
