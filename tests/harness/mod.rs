//! Several processes of the program on loopback: started, faulted (SIGKILL, SIGSTOP, SIGCONT) and stopped,
//! each step bounded in time. Every process still running when the [`Fleet`] is dropped is killed and
//! reaped, so a failing test leaves nothing behind.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

pub const PROGRAM: &str = env!("CARGO_BIN_EXE_hollowpaddle");
/// How long a process may take to say where it listens, or to become ready.
pub const START: Duration = Duration::from_secs(5);

pub struct Process {
    pub name: String,
    pub address: SocketAddr,
    child: Child,
}

#[derive(Default)]
pub struct Fleet {
    pub processes: Vec<Process>,
    files: Vec<PathBuf>,
}

impl Fleet {
    /// A file of this fleet's, removed with it.
    pub fn file(&mut self, name: &str, text: &str) -> PathBuf {
        let path = std::env::temp_dir().join(format!("hollowpaddle-{}-{name}", std::process::id()));
        std::fs::write(&path, text).expect("a temporary file");
        self.files.push(path.clone());
        path
    }

    /// Starts the program with these arguments and environment, and waits until it logs
    /// `listening on ADDRESS`. Returns its index.
    pub fn start(&mut self, name: &str, args: &[&str], env: &[(&str, &str)]) -> usize {
        let mut command = Command::new(PROGRAM);
        command.args(args).env("LB_NAME", name).stdout(Stdio::null()).stderr(Stdio::piped());
        command.env_remove("LB_LOG_FORMAT");
        for (key, value) in env {
            command.env(key, value);
        }
        let mut child = command.spawn().expect("the program starts");
        let log = BufReader::new(child.stderr.take().expect("piped"));
        let (told, heard) = mpsc::channel();
        let prefix = name.to_owned();
        // The pipe must not fill up, so it is read to its end.
        thread::spawn(move || {
            for line in log.lines().map_while(Result::ok) {
                if let Some((_, rest)) = line.split_once("listening on ") {
                    let address = rest.split(|c: char| c.is_whitespace() || c == '"').next();
                    let _ = told.send(address.and_then(|a| a.parse::<SocketAddr>().ok()));
                }
                eprintln!("{prefix}: {line}");
            }
        });
        let address = heard.recv_timeout(START).ok().flatten();
        let Some(address) = address else {
            let _ = child.kill();
            panic!("{name} did not say where it listens within {START:?}");
        };
        self.processes.push(Process { name: name.to_owned(), address, child });
        self.processes.len() - 1
    }

    pub fn address(&self, i: usize) -> SocketAddr {
        self.processes[i].address
    }

    fn signal(&self, i: usize, name: &str) {
        let pid = self.processes[i].child.id().to_string();
        let sent = Command::new("kill").args([&format!("-{name}"), &pid]).status();
        assert!(sent.expect("kill runs").success(), "signal {name} to {}", self.processes[i].name);
    }

    pub fn kill(&mut self, i: usize) {
        self.signal(i, "KILL");
        let _ = self.processes[i].child.wait();
    }

    pub fn pause(&self, i: usize) {
        self.signal(i, "STOP");
    }

    pub fn resume(&self, i: usize) {
        self.signal(i, "CONT");
    }

    /// Waits until `GET /-/ready` at its address answers 200.
    pub fn ready(&self, i: usize) {
        let from = Instant::now();
        while get(self.address(i), "/-/ready", &[]).map(|(status, _)| status) != Some(200) {
            assert!(
                from.elapsed() < START,
                "{} not ready within {START:?}",
                self.processes[i].name
            );
            thread::sleep(Duration::from_millis(10));
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for process in &mut self.processes {
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
        for file in &self.files {
            let _ = std::fs::remove_file(file);
        }
    }
}

/// One GET on a connection of its own, read to its end: the status and the body (chunked or not, as it
/// came). `None` where nothing answered within a second.
pub fn get(address: SocketAddr, path: &str, headers: &[&str]) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    let extra: String = headers.iter().map(|h| format!("{h}\r\n")).collect();
    let head = format!("GET {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n{extra}\r\n");
    stream.write_all(head.as_bytes()).ok()?;
    let mut text = String::new();
    let _ = stream.read_to_string(&mut text);
    let status = text.split_whitespace().nth(1)?.parse().ok()?;
    let body = text.split_once("\r\n\r\n").map(|(_, b)| b.to_owned()).unwrap_or_default();
    Some((status, body))
}
