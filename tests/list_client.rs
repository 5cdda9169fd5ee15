//! The list client against an in-memory agent, on paused time: the cases in which the agent has an update, or the
//! update counts as notified, and the proxy does not have it yet. Nothing here waits in real time.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hollowpaddle::discovery::client::{self, ClientCommand, ListEvent};
use hollowpaddle::discovery::filter::Filter;
use hollowpaddle::discovery::member::{Message, Phase};
use hollowpaddle::discovery::watch_planner::{Mode, WatchPlanner};
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex};
use tokio::sync::{mpsc, watch};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until, timeout};

const GRACE: Duration = Duration::from_secs(1);
const PUSHED: Mode = Mode::Pushed { grace: GRACE };

/// How updates are laid out on the wire.
#[derive(Clone, Copy, PartialEq)]
enum Layout {
    Line,
    Indented,
    /// Indented, sent one byte at a time.
    ByteByByte,
}

/// An event at the agent.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Action {
    /// The list gets its next revision, in which `s-1` drains.
    Change,
    /// Watches that are open now send nothing more.
    Silence,
    /// Watches that are open now end.
    Reset,
    /// The agent answers no call and sends nothing.
    Down,
    /// The agent is back; calls that hung are answered now, or never.
    Up { answer_hung: bool },
    /// Connections are refused.
    Refuse,
    /// Connections are never established.
    Stall,
    /// Connections are established after 0.6 s.
    Late,
    /// Connections are established again, at all addresses.
    Accept,
    /// Each call is answered this many milliseconds after it was made.
    Slow(u64),
    /// Calls get a response head and nothing after it.
    NoUpdates,
    /// Connections are established only at the address with this port; at the others they never are.
    Only(u16),
    /// The agent sends this text on open watches.
    SendText(&'static str),
    /// The revisions restart at this one, as with another discovery.
    Restart(u64),
    /// The client is given a new address of discovery.
    Move,
    /// The client's filter is set to these services.
    Follow(&'static [&'static str]),
}

#[derive(Clone, Copy, PartialEq)]
enum ConnectMode {
    Open,
    Refused,
    Stalled,
    Late,
    NoUpdates,
    Only(u16),
}

struct Agent {
    revision: watch::Sender<u64>,
    up: watch::Sender<bool>,
    /// Incremented to make open watches fall silent; `reset` is incremented to end them.
    silence: watch::Sender<u32>,
    reset: watch::Sender<u32>,
    raw_text: watch::Sender<(u32, &'static str)>,
    answer_hung_calls: Cell<bool>,
    answer_delay: Cell<Duration>,
    connect_mode: Cell<ConnectMode>,
    layout: Layout,
    /// The time and the index of each call.
    calls: RefCell<Vec<(Instant, u64)>>,
    /// The request target of each call.
    targets: RefCell<Vec<String>>,
}

impl Agent {
    fn new(layout: Layout) -> Rc<Self> {
        Rc::new(Self {
            revision: watch::Sender::new(41),
            up: watch::Sender::new(true),
            silence: watch::Sender::new(0),
            reset: watch::Sender::new(0),
            raw_text: watch::Sender::new((0, "")),
            answer_hung_calls: Cell::new(false),
            answer_delay: Cell::default(),
            connect_mode: Cell::new(ConnectMode::Open),
            layout,
            calls: RefCell::default(),
            targets: RefCell::default(),
        })
    }

    fn list_text(&self, revision: u64, complete: bool, service: &str) -> String {
        let phase = if revision > 41 { "DRAINING" } else { "SERVING" };
        let mut entry =
            serde_json::json!({"id": "s-1", "host_port": "10.0.0.1:80", "phase": phase});
        if !service.is_empty() {
            entry["service"] = service.into();
        }
        let list =
            serde_json::json!({"revision": revision, "complete": complete, "members": [entry]});
        if self.layout == Layout::Line {
            return format!("{list}\n");
        }
        format!("{}\n\n", serde_json::to_string_pretty(&list).expect("JSON"))
    }

    async fn write(&self, stream: &mut DuplexStream, text: &str) -> std::io::Result<()> {
        let chunk = if self.layout == Layout::ByteByByte { 1 } else { text.len() };
        for chunk in text.as_bytes().chunks(chunk) {
            let mut framed = format!("{:x}\r\n", chunk.len()).into_bytes();
            framed.extend_from_slice(chunk);
            framed.extend_from_slice(b"\r\n");
            stream.write_all(&framed).await?;
        }
        Ok(())
    }

    /// Serves one connection until it ends.
    async fn serve_connection(self: Rc<Self>, mut stream: DuplexStream) -> std::io::Result<()> {
        let no_updates = self.connect_mode.get() == ConnectMode::NoUpdates;
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(stream.read_u8().await?);
        }
        let head = String::from_utf8(head).expect("UTF-8");
        let index = head.split(['=', ' ', '&']).nth(4).and_then(|n| n.parse().ok());
        let index = index.unwrap_or_else(|| panic!("no index in {head:?}"));
        self.calls.borrow_mut().push((Instant::now(), index));
        let target = head.split(' ').nth(1).expect("a target").to_owned();
        // The member belongs to the last service in the request.
        let service = target.rsplit_once("service=").map_or(String::new(), |s| s.1.to_owned());
        self.targets.borrow_mut().push(target);
        let (mut silence, mut reset) = (self.silence.subscribe(), self.reset.subscribe());
        let (mut up, mut raw_text) = (self.up.subscribe(), self.raw_text.subscribe());
        let mut revisions = self.revision.subscribe();
        if !*up.borrow_and_update() {
            up.changed().await.expect("the agent is alive");
            if !self.answer_hung_calls.get() {
                return std::future::pending().await;
            }
        }
        sleep(self.answer_delay.get()).await;
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
        if no_updates {
            return std::future::pending().await;
        }
        let mut sent = index;
        loop {
            let now = *revisions.borrow_and_update();
            if *up.borrow_and_update() && now > sent {
                self.write(&mut stream, &self.list_text(now, sent == 0, &service)).await?;
                sent = now;
            }
            tokio::select! {
                changed = revisions.changed() => changed.expect("the agent is alive"),
                changed = up.changed() => changed.expect("the agent is alive"),
                changed = raw_text.changed() => {
                    changed.expect("the agent is alive");
                    let (_, text) = *raw_text.borrow_and_update();
                    self.write(&mut stream, text).await?;
                }
                _ = silence.changed() => return std::future::pending().await,
                _ = reset.changed() => return Ok(()),
                () = sleep(Duration::from_secs(2)), if *self.up.borrow() => {
                    self.write(&mut stream, "\n").await?;
                }
            }
        }
    }

    fn connect(
        self: &Rc<Self>,
        to: SocketAddr,
    ) -> impl Future<Output = std::io::Result<DuplexStream>> + use<> {
        let agent = self.clone();
        async move {
            if agent.connect_mode.get() == ConnectMode::Late {
                sleep(Duration::from_millis(600)).await;
            }
            match agent.connect_mode.get() {
                ConnectMode::Refused => Err(std::io::ErrorKind::ConnectionRefused.into()),
                ConnectMode::Stalled => std::future::pending().await,
                ConnectMode::Only(port) if port != to.port() => std::future::pending().await,
                ConnectMode::Open
                | ConnectMode::Late
                | ConnectMode::NoUpdates
                | ConnectMode::Only(_) => {
                    let (client_end, agent_end) = duplex(1 << 16);
                    spawn_local(async move { drop(agent.serve_connection(agent_end).await) });
                    Ok(client_end)
                }
            }
        }
    }

    fn apply(&self, action: Action, commands: &mpsc::UnboundedSender<ClientCommand>) {
        match action {
            Action::Change => self.revision.send_modify(|r| *r += 1),
            Action::Silence => self.silence.send_modify(|n| *n += 1),
            Action::Reset => self.reset.send_modify(|n| *n += 1),
            Action::Down => drop(self.up.send_replace(false)),
            Action::Up { answer_hung } => {
                self.answer_hung_calls.set(answer_hung);
                self.up.send_replace(true);
            }
            Action::Refuse => self.connect_mode.set(ConnectMode::Refused),
            Action::Stall => self.connect_mode.set(ConnectMode::Stalled),
            Action::Late => self.connect_mode.set(ConnectMode::Late),
            Action::Accept => self.connect_mode.set(ConnectMode::Open),
            Action::Slow(ms) => self.answer_delay.set(Duration::from_millis(ms)),
            Action::NoUpdates => self.connect_mode.set(ConnectMode::NoUpdates),
            Action::Only(port) => self.connect_mode.set(ConnectMode::Only(port)),
            Action::SendText(text) => {
                self.raw_text.send_modify(|raw_text| *raw_text = (raw_text.0 + 1, text))
            }
            Action::Restart(revision) => drop(self.revision.send_replace(revision)),
            Action::Move => drop(commands.send(ClientCommand::SetAddresses(vec![address(2)]))),
            Action::Follow(names) => {
                drop(
                    commands
                        .send(ClientCommand::SetFilter(Filter::services(names.iter().copied()))),
                );
            }
        }
    }
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// What the client reported: each message with its time, and the times at which it was disconnected.
#[derive(Default)]
struct Received {
    updates: Vec<(Instant, Message)>,
    disconnects: Vec<Instant>,
}

/// Runs a script of actions, each with its time in milliseconds, against a client that holds revision 41, for
/// `length`. A client on demand polls half a second after each disconnect.
async fn run_script(
    agent: &Rc<Agent>,
    mode: Mode,
    addresses: u16,
    script: &[(u64, Action)],
    length: Duration,
) -> Received {
    run_script_with_poll_delay(Duration::from_millis(500), agent, mode, addresses, script, length)
        .await
}

/// Like [`run_script`], with the poll `wait` after each disconnect.
async fn run_script_with_poll_delay(
    wait: Duration,
    agent: &Rc<Agent>,
    mode: Mode,
    addresses: u16,
    script: &[(u64, Action)],
    length: Duration,
) -> Received {
    let start = Instant::now();
    let received = Rc::new(RefCell::new(Received::default()));
    let (commands, command_queue) = mpsc::unbounded_channel();
    let all = (1..=addresses).map(address).collect();
    let planner = WatchPlanner::new(all, mode, 41, start);
    let (sink, poll_commands) = (received.clone(), commands.clone());
    let on_event = move |event| match event {
        ListEvent::Updated(list) => sink.borrow_mut().updates.push((Instant::now(), list)),
        ListEvent::Disconnected => {
            sink.borrow_mut().disconnects.push(Instant::now());
            let poll_commands = poll_commands.clone();
            spawn_local(async move {
                sleep(wait).await;
                let _ = poll_commands.send(ClientCommand::Poll);
            });
        }
    };
    let connecting_agent = agent.clone();
    let connect = move |to| connecting_agent.connect(to);
    let client = spawn_local(client::run(planner, Filter::all(), connect, command_queue, on_event));
    if mode == Mode::OnDemand {
        let _ = commands.send(ClientCommand::Poll);
    }
    for (at, action) in script {
        sleep_until(start + Duration::from_millis(*at)).await;
        agent.apply(*action, &commands);
    }
    sleep_until(start + length).await;
    client.abort();
    received.take()
}

/// Runs a test on paused time and one thread.
fn run_paused<T>(test: impl Future<Output = T>) -> T {
    let mut runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = runtime.enable_time().start_paused(true).build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        timeout(Duration::from_secs(120), test).await.expect("the test ends within 120 s")
    })
}

/// Runs the script and returns how long after `due_at` the drain in revision 42 was received.
fn update_delay(mode: Mode, layout: Layout, script: &[(u64, Action)], due_at: u64) -> Duration {
    run_paused(async {
        let (start, agent) = (Instant::now(), Agent::new(layout));
        let received = run_script(&agent, mode, 1, script, Duration::from_secs(40)).await;
        let drains = |m: &Message| m.members.iter().any(|m| m.phase == Phase::Draining);
        let (at, _) =
            received.updates.iter().find(|(_, m)| drains(m)).expect("the drain is received");
        let revisions: Vec<u64> = received.updates.iter().map(|(_, m)| m.revision).collect();
        assert!(revisions.is_sorted(), "a revision went back: {revisions:?}");
        at.saturating_duration_since(start + Duration::from_millis(due_at))
    })
}

/// A description, the script, and the time in milliseconds from which the update counts as notified.
type Case<'a> = (&'a str, &'a [(u64, Action)], u64);

#[test]
fn a_pushed_list_receives_updates_within_a_quarter_of_the_grace() {
    use Action::*;
    let up = |answer_hung| Up { answer_hung };
    let cases: [Case; 12] = [
        ("a working watch", &[(5000, Change)], 5000),
        // Due 6 s after the silence began, although the agent had the update long before.
        ("a silent watch", &[(5000, Silence), (5500, Change)], 11_000),
        (
            "silent, and the next call's connection stalls",
            &[(5000, Silence), (5000, Stall), (5500, Change), (9000, Accept)],
            11_000,
        ),
        (
            "silent, and the next call hangs with it",
            &[(5000, Silence), (5500, Change), (8000, Down), (10_400, up(false))],
            11_000,
        ),
        (
            "silent, and connections come up late",
            &[(5000, Silence), (5000, Late), (5500, Change)],
            11_000,
        ),
        ("reset, and the update right after it", &[(5000, Reset), (5001, Change)], 5001),
        (
            "reset, and refused for a while",
            &[(5000, Reset), (5000, Refuse), (7000, Change), (7010, Accept)],
            7010,
        ),
        (
            "down, and open watches get the update when it is back",
            &[(5000, Down), (5100, Change), (13_000, up(true))],
            13_000,
        ),
        (
            "down, and calls that hung are never answered",
            &[(5000, Down), (5000, Silence), (5100, Change), (13_000, up(false))],
            13_000,
        ),
        (
            "down only while the next call is made",
            &[(5000, Silence), (8400, Down), (8600, Change), (8700, up(false))],
            11_000,
        ),
        ("down from the first moment on", &[(0, Down), (100, Change), (6000, up(false))], 6000),
        (
            "moved, to an agent that is down and back",
            &[(5000, Down), (5000, Move), (6000, Change), (9000, up(false))],
            9000,
        ),
    ];
    for layout in [Layout::Line, Layout::Indented, Layout::ByteByByte] {
        for (label, script, due_at) in cases {
            let after = update_delay(PUSHED, layout, script, due_at);
            assert!(after <= GRACE / 4, "{label}: received {after:?} later");
        }
    }
}

#[test]
fn an_on_demand_list_reports_the_disconnect_and_polls_again() {
    use Action::*;
    // The caller polls half a second after each disconnect.
    let cases: [Case; 5] = [
        ("a working watch", &[(5000, Change)], 5000),
        ("a silent watch", &[(5000, Silence), (5500, Change)], 11_000),
        ("reset, and the update right after it", &[(5000, Reset), (5001, Change)], 5001),
        (
            "reset, and refused for a while",
            &[(5000, Reset), (5000, Refuse), (7000, Change), (7010, Accept)],
            7010,
        ),
        ("moved", &[(5000, Silence), (5500, Change), (5500, Move)], 9500),
    ];
    for layout in [Layout::Line, Layout::Indented, Layout::ByteByByte] {
        for (label, script, due_at) in cases {
            let after = update_delay(Mode::OnDemand, layout, script, due_at);
            assert!(after <= GRACE / 2, "{label}: received {after:?} later");
        }
    }
    run_paused(async {
        let agent = Agent::new(Layout::Line);
        let script =
            [(0, Action::Down), (4500, Action::Up { answer_hung: false }), (5000, Action::Change)];
        let received =
            run_script(&agent, Mode::OnDemand, 1, &script, Duration::from_secs(30)).await;
        let at: Vec<u64> =
            agent.calls.borrow().iter().map(|c| c.0.elapsed().as_millis() as u64).collect();
        let gaps: Vec<u64> = at.windows(2).map(|c| c[0] - c[1]).collect();
        assert_eq!(
            gaps, [1500; 3],
            "one more call for each that hangs for half of its time, and none once one is answered"
        );
        assert!(received.disconnects.is_empty(), "nothing was disconnected");
        assert_eq!(received.updates.len(), 1);
    });
    run_paused(async {
        let agent = Agent::new(Layout::Line);
        let script = [(0, Action::Refuse), (4600, Action::Accept), (5000, Action::Change)];
        let received =
            run_script(&agent, Mode::OnDemand, 3, &script, Duration::from_secs(30)).await;
        // Each of the three addresses is tried before the disconnect is reported; the caller then decides when to poll.
        assert_eq!(received.disconnects.len(), 10, "one disconnect every half second, and no more");
        assert_eq!(received.updates.len(), 1);
    });
}

/// STANDING and the letter after it: whatever happened to calls, a change counts as notified 6 s after discovery had
/// it and could be reached. Runs random faults that all end at some moment, with the longest poll delay that the
/// module uses.
#[test]
fn a_change_is_received_within_six_seconds_of_the_last_fault() {
    use Action::*;
    for (mode, addresses) in
        [(PUSHED, 1), (PUSHED, 3), (PUSHED, 7), (Mode::OnDemand, 1), (Mode::OnDemand, 3)]
    {
        for seed in 0..300_u64 {
            let mut random = oorandom::Rand64::new(u128::from(seed));
            let mut random_below = |n: u64| random.rand_range(0..n);
            let mut script = Vec::new();
            let mut at = 0;
            for _ in 0..1 + random_below(6) {
                at += random_below(4000);
                let port = 1 + random_below(u64::from(addresses)) as u16;
                let faults =
                    [Silence, Reset, Refuse, Stall, Late, NoUpdates, Down, Accept, Only(port)];
                script.push((at, faults[random_below(9) as usize]));
            }
            // The faults end here; calls made until now may hang forever.
            at += random_below(4000);
            script.extend([(at, Up { answer_hung: false }), (at, Accept)]);
            script.push(match random_below(4) {
                0 => (at, Silence),
                1 => (at, Reset),
                2 => (at, Only(1 + random_below(u64::from(addresses)) as u16)),
                _ => (at, Accept),
            });
            let due_at = (at + random_below(4000)).saturating_sub(2000);
            script.push((due_at, Change));
            script.sort_by_key(|s| s.0);
            let after = run_paused(async {
                let (start, agent) = (Instant::now(), Agent::new(Layout::Line));
                let length = Duration::from_millis(at + 30_000);
                let wait = Duration::from_millis(2000);
                let received =
                    run_script_with_poll_delay(wait, &agent, mode, addresses, &script, length)
                        .await;
                let update = received.updates.iter().find(|(_, m)| m.revision >= 42);
                let received_at = update.map(|(time, _)| *time).unwrap_or(start + length);
                received_at.saturating_duration_since(start + Duration::from_millis(due_at.max(at)))
            });
            let label = format!("{mode:?}, {addresses} addresses, seed {seed}");
            assert!(
                after <= Duration::from_secs(6),
                "{label}: received {after:?} later; {script:?}"
            );
        }
    }
}

#[test]
fn a_slow_list_service_is_received_despite_repeated_calls() {
    // A fleet that restarts while discovery is slow, and one whose watches have fallen silent.
    let scripts: [&[(u64, Action)]; 2] = [&[], &[(5000, Action::Silence)]];
    let pushed = |ms| Mode::Pushed { grace: Duration::from_millis(ms) };
    for mode in [pushed(100), pushed(500), PUSHED, pushed(4000), Mode::OnDemand] {
        for addresses in [1, 3] {
            for answer_delay in [500, 1100, 2200, 2900] {
                for script in scripts {
                    let fault_at = script.last().map_or(0, |(at, _)| *at);
                    let mut script = script.to_vec();
                    script.extend([
                        (fault_at, Action::Slow(answer_delay)),
                        (fault_at, Action::Change),
                    ]);
                    let agent = Agent::new(Layout::Line);
                    let (received, after) = run_paused(async {
                        let start = Instant::now();
                        let length = Duration::from_secs(20);
                        let received = run_script(&agent, mode, addresses, &script, length).await;
                        let at = received.updates.first().map(|(at, _)| *at - start);
                        (received, at.map(|at| at - Duration::from_millis(fault_at)))
                    });
                    let label =
                        format!("{mode:?}, {addresses} addresses, {answer_delay} ms, {script:?}");
                    let after = after.unwrap_or_else(|| panic!("{label}: never received"));
                    let most = if fault_at > 0 { 3500 + answer_delay } else { answer_delay };
                    assert!(after <= Duration::from_millis(most + 10), "{label}: {after:?}");
                    assert_eq!(received.updates.len(), 1, "{label}");
                }
            }
        }
    }
}

#[test]
fn an_invalid_list_ends_the_watch_and_changes_nothing() {
    let endless: &'static str = Box::leak(format!("{{\"a\":\"{}", "x".repeat(5 << 20)).into());
    let bad = [
        "[1]\n",
        "{\"revision\":\"x\"}\n",
        "{\"revision\":50,\"members\":[{\"id\":\"s-1\",\"phase\":\"SERVING\"},{\"id\":\"s-1\",\"phase\":\"DRAINING\"}]}\n",
        "{\"revision\":50,\"members\":7}\n",
        "nonsense",
        endless,
    ];
    for text in bad {
        run_paused(async {
            let agent = Agent::new(Layout::Indented);
            let script = [(5000, Action::SendText(text)), (6000, Action::Change)];
            let received = run_script(&agent, PUSHED, 1, &script, Duration::from_secs(10)).await;
            let short = &text[..text.len().min(60)];
            let revisions: Vec<u64> = received.updates.iter().map(|(_, m)| m.revision).collect();
            assert_eq!(revisions, [42], "{short}: only the update after it is reported");
            let calls: Vec<u64> = agent.calls.borrow().iter().map(|c| c.1).collect();
            assert_eq!(calls, [41, 41], "{short}: one more call, from the revision held");
        });
    }
}

#[test]
fn an_unreadable_entry_gets_the_unknown_phase() {
    run_paused(async {
        let agent = Agent::new(Layout::Line);
        let text = "{\"revision\":42,\"members\":[{\"id\":\"s-1\",\"phase\":[7]},{\"id\":3}]}\n";
        let received =
            run_script(&agent, PUSHED, 1, &[(5000, Action::SendText(text))], GRACE * 6).await;
        let updates: Vec<_> =
            received.updates[0].1.members.iter().map(|m| (&*m.id, m.phase)).collect();
        assert_eq!(updates, [("s-1", Phase::Unknown)]);
    });
}

#[test]
fn another_discovery_is_asked_for_its_full_list_once() {
    run_paused(async {
        let agent = Agent::new(Layout::Line);
        // Its revisions start at 7: asked for changes after 41, it would send nothing.
        let script = [
            (5000, Action::Restart(7)),
            (5000, Action::Move),
            (8000, Action::Restart(6)),
            (8000, Action::Reset),
        ];
        let received = run_script(&agent, PUSHED, 1, &script, Duration::from_secs(10)).await;
        let updates: Vec<_> =
            received.updates.iter().map(|(_, m)| (m.revision, m.complete)).collect();
        assert_eq!(updates, [(7, true)]);
        let calls: Vec<u64> = agent.calls.borrow().iter().map(|c| c.1).collect();
        assert_eq!(calls, [41, 0, 7]);
    });
}

#[test]
fn the_call_rate_stays_bounded_while_discovery_is_down() {
    run_paused(async {
        let agent = Agent::new(Layout::Line);
        let script = [(0, Action::Down), (60_000, Action::Up { answer_hung: false })];
        let received = run_script(&agent, PUSHED, 1, &script, Duration::from_secs(70)).await;
        assert!(received.updates.is_empty() && received.disconnects.is_empty());
        let calls = agent.calls.borrow();
        let gaps = calls.windows(2).map(|c| c[1].0 - c[0].0);
        assert_eq!(gaps.min(), Some(GRACE / 4), "a quarter of the grace between two calls");
        assert!(calls.len() <= 242, "{} calls in 60 s", calls.len());
    });
    // A working watch without changes causes no further call.
    run_paused(async {
        let agent = Agent::new(Layout::Line);
        run_script(&agent, PUSHED, 1, &[], Duration::from_secs(60)).await;
        assert_eq!(agent.calls.borrow().len(), 1);
    });
    // Instances of a list service are shared by many proxies: the longer they are silent, the fewer calls are made.
    run_paused(async {
        let agent = Agent::new(Layout::Line);
        run_script(&agent, PUSHED, 3, &[(0, Action::Refuse)], Duration::from_secs(60)).await;
        agent.connect_mode.set(ConnectMode::Open);
        let received =
            run_script(&agent, PUSHED, 3, &[(0, Action::Down)], Duration::from_secs(60)).await;
        assert!(received.updates.is_empty());
        let calls = agent.calls.borrow().len();
        assert!((30..=160).contains(&calls), "{calls} calls in 60 s");
    });
}

#[test]
fn changing_the_service_filter_gets_the_full_list_and_nothing_older() {
    let follow = |names| Action::Follow(names);
    for (mode, layout) in
        [(PUSHED, Layout::Line), (Mode::OnDemand, Layout::Line), (PUSHED, Layout::ByteByByte)]
    {
        run_paused(async {
            let agent = Agent::new(layout);
            let script = [
                (5000, follow(&["shop"])),
                (6000, follow(&["shop"])),
                (7000, Action::Change),
                (8000, follow(&["a b", "shop"])),
                // An instance that is behind by now is ignored until it has caught up.
                (9000, Action::Restart(40)),
                (9000, follow(&["mail"])),
                (12_000, Action::Restart(43)),
            ];
            let received = run_script(&agent, mode, 1, &script, Duration::from_secs(20)).await;
            let updates: Vec<_> =
                received.updates.iter().map(|(_, m)| (m.revision, m.complete)).collect();
            // The same revision is reported again when the services differ.
            assert_eq!(updates, [(41, true), (42, false), (42, true), (43, true)], "{mode:?}");
            let service = |m: &Message| m.members.iter().map(|m| m.service.clone()).collect();
            let services: Vec<Vec<String>> =
                received.updates.iter().map(|(_, m)| service(m)).collect();
            assert_eq!(services, [["shop"], ["shop"], ["shop"], ["mail"]]);
            let targets = agent.targets.borrow();
            assert_eq!(
                targets[0], "/api/targets?stream=1&index=41",
                "without a filter the target names no service"
            );
            assert_eq!(targets[1], "/api/targets?stream=1&index=0&service=shop");
            assert_eq!(targets[2], "/api/targets?stream=1&index=0&service=a%20b&service=shop");
            let mail = "/api/targets?stream=1&index=0&service=mail";
            assert!(targets.len() > 4 && targets[3..].iter().all(|t| t == mail), "{targets:?}");
        });
    }
}

#[test]
fn unfiltered_answers_are_filtered_and_changes_since_zero_are_a_full_list() {
    run_paused(async {
        let agent = Agent::new(Layout::Line);
        // Its answers are not filtered, whatever was requested.
        let changes = "{\"revision\":42,\"members\":[{\"id\":\"s-1\",\"phase\":\"SERVING\"},\
                       {\"id\":\"s-2\",\"phase\":\"SERVING\",\"service\":\"shop\"}]}\n";
        let script = [(4000, Action::Follow(&["shop"])), (5000, Action::SendText(changes))];
        let received = run_script(&agent, PUSHED, 1, &script, Duration::from_secs(6)).await;
        let updates: Vec<_> =
            received.updates[1].1.members.iter().map(|m| (&*m.id, m.phase)).collect();
        assert_eq!(updates, [("s-1", Phase::Deleted), ("s-2", Phase::Serving)]);
    });
    run_paused(async {
        let agent = Agent::new(Layout::Line);
        let (commands, command_queue) = mpsc::unbounded_channel();
        let (on_event, mut updates) = mpsc::unbounded_channel();
        // All changes since revision 0, sent to a client that holds a list of other services.
        let changes = "{\"revision\":41,\"members\":[{\"id\":\"s-1\",\"phase\":\"DELETED\"},\
                       {\"id\":\"s-2\",\"phase\":\"SERVING\"}]}\n";
        agent.revision.send_replace(0);
        let planner =
            WatchPlanner::new(vec![address(1)], PUSHED, 41, Instant::now()).requesting_full_list();
        let connecting_agent = agent.clone();
        let connect = move |to| connecting_agent.connect(to);
        let on_event = move |event| drop(on_event.send(event));
        let client =
            spawn_local(client::run(planner, Filter::all(), connect, command_queue, on_event));
        sleep(Duration::from_millis(100)).await;
        agent.apply(Action::SendText(changes), &commands);
        let Some(ListEvent::Updated(list)) = updates.recv().await else { panic!("no update") };
        let ids: Vec<&str> = list.members.iter().map(|m| &*m.id).collect();
        assert_eq!((list.revision, list.complete, ids), (41, true, vec!["s-2"]));
        assert_eq!(agent.calls.borrow()[0].1, 0);
        client.abort();
    });
}
