//! The client of the list against an agent in memory, on paused time: every way in which news may be with the agent,
//! or count as told, and not with the proxy. Nothing here waits in real time.

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

/// How news are laid out on the wire.
#[derive(Clone, Copy, PartialEq)]
enum Layout {
    Line,
    Indented,
    /// Indented, and a byte at a time.
    Cut,
}

/// What happens at the agent.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Do {
    /// The list gets its next revision, in which `s-1` drains.
    Change,
    /// Watches that are open now never say another word.
    Silence,
    /// Watches that are open now end.
    Reset,
    /// It says nothing to anybody, and learns nothing.
    Down,
    /// It is back; calls that hang are answered now, or never.
    Up { hung_too: bool },
    /// Connections are refused.
    Refuse,
    /// Connections never come up.
    Stall,
    /// Connections come up, but only after 0.6 s.
    Late,
    /// Connections come up again, at all addresses.
    Accept,
    /// Each call is answered so many milliseconds after it was made.
    Slow(u64),
    /// Calls are answered, and then not a word more is said to them.
    Mute,
    /// Connections come up at this address alone; at the others they never do.
    Only(u16),
    /// It says this on open watches.
    Say(&'static str),
    /// Its revisions begin again at this one, as at another discovery.
    Restart(u64),
    /// The client is told that discovery has moved.
    Move,
    /// The client is told to follow these services.
    Follow(&'static [&'static str]),
}

#[derive(Clone, Copy, PartialEq)]
enum Door {
    Open,
    Refused,
    Stalled,
    Late,
    Mute,
    Only(u16),
}

struct Agent {
    revision: watch::Sender<u64>,
    up: watch::Sender<bool>,
    /// Raised when open watches fall silent, and when they end.
    silenced: watch::Sender<u32>,
    reset: watch::Sender<u32>,
    said: watch::Sender<(u32, &'static str)>,
    answers_hung: Cell<bool>,
    takes: Cell<Duration>,
    door: Cell<Door>,
    layout: Layout,
    /// When each call came, and from which index.
    calls: RefCell<Vec<(Instant, u64)>>,
    /// What each call asked for.
    targets: RefCell<Vec<String>>,
}

impl Agent {
    fn new(layout: Layout) -> Rc<Self> {
        Rc::new(Self {
            revision: watch::Sender::new(41),
            up: watch::Sender::new(true),
            silenced: watch::Sender::new(0),
            reset: watch::Sender::new(0),
            said: watch::Sender::new((0, "")),
            answers_hung: Cell::new(false),
            takes: Cell::default(),
            door: Cell::new(Door::Open),
            layout,
            calls: RefCell::default(),
            targets: RefCell::default(),
        })
    }

    fn news(&self, revision: u64, whole: bool, service: &str) -> String {
        let phase = if revision > 41 { "DRAINING" } else { "SERVING" };
        let mut entry =
            serde_json::json!({"id": "s-1", "host_port": "10.0.0.1:80", "phase": phase});
        if !service.is_empty() {
            entry["service"] = service.into();
        }
        let list = serde_json::json!({"revision": revision, "complete": whole, "members": [entry]});
        if self.layout == Layout::Line {
            return format!("{list}\n");
        }
        format!("{}\n\n", serde_json::to_string_pretty(&list).expect("JSON"))
    }

    async fn write(&self, stream: &mut DuplexStream, text: &str) -> std::io::Result<()> {
        let piece = if self.layout == Layout::Cut { 1 } else { text.len() };
        for piece in text.as_bytes().chunks(piece) {
            let mut framed = format!("{:x}\r\n", piece.len()).into_bytes();
            framed.extend_from_slice(piece);
            framed.extend_from_slice(b"\r\n");
            stream.write_all(&framed).await?;
        }
        Ok(())
    }

    /// One connection, for as long as it lasts.
    async fn converse(self: Rc<Self>, mut stream: DuplexStream) -> std::io::Result<()> {
        let mute = self.door.get() == Door::Mute;
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(stream.read_u8().await?);
        }
        let head = String::from_utf8(head).expect("UTF-8");
        let index = head.split(['=', ' ', '&']).nth(4).and_then(|n| n.parse().ok());
        let index = index.unwrap_or_else(|| panic!("no index in {head:?}"));
        self.calls.borrow_mut().push((Instant::now(), index));
        let target = head.split(' ').nth(1).expect("a target").to_owned();
        // The member is of the last service that is asked for.
        let service = target.rsplit_once("service=").map_or(String::new(), |s| s.1.to_owned());
        self.targets.borrow_mut().push(target);
        let (mut silenced, mut reset) = (self.silenced.subscribe(), self.reset.subscribe());
        let (mut up, mut said) = (self.up.subscribe(), self.said.subscribe());
        let mut revisions = self.revision.subscribe();
        if !*up.borrow_and_update() {
            up.changed().await.expect("the agent lives");
            if !self.answers_hung.get() {
                return std::future::pending().await;
            }
        }
        sleep(self.takes.get()).await;
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
        if mute {
            return std::future::pending().await;
        }
        let mut told = index;
        loop {
            let now = *revisions.borrow_and_update();
            if *up.borrow_and_update() && now > told {
                self.write(&mut stream, &self.news(now, told == 0, &service)).await?;
                told = now;
            }
            tokio::select! {
                changed = revisions.changed() => changed.expect("the agent lives"),
                changed = up.changed() => changed.expect("the agent lives"),
                changed = said.changed() => {
                    changed.expect("the agent lives");
                    let (_, text) = *said.borrow_and_update();
                    self.write(&mut stream, text).await?;
                }
                _ = silenced.changed() => return std::future::pending().await,
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
        let this = self.clone();
        async move {
            if this.door.get() == Door::Late {
                sleep(Duration::from_millis(600)).await;
            }
            match this.door.get() {
                Door::Refused => Err(std::io::ErrorKind::ConnectionRefused.into()),
                Door::Stalled => std::future::pending().await,
                Door::Only(port) if port != to.port() => std::future::pending().await,
                Door::Open | Door::Late | Door::Mute | Door::Only(_) => {
                    let (ours, theirs) = duplex(1 << 16);
                    spawn_local(async move { drop(this.converse(theirs).await) });
                    Ok(ours)
                }
            }
        }
    }

    fn act(&self, what: Do, orders: &mpsc::UnboundedSender<ClientCommand>) {
        match what {
            Do::Change => self.revision.send_modify(|r| *r += 1),
            Do::Silence => self.silenced.send_modify(|n| *n += 1),
            Do::Reset => self.reset.send_modify(|n| *n += 1),
            Do::Down => drop(self.up.send_replace(false)),
            Do::Up { hung_too } => {
                self.answers_hung.set(hung_too);
                self.up.send_replace(true);
            }
            Do::Refuse => self.door.set(Door::Refused),
            Do::Stall => self.door.set(Door::Stalled),
            Do::Late => self.door.set(Door::Late),
            Do::Accept => self.door.set(Door::Open),
            Do::Slow(ms) => self.takes.set(Duration::from_millis(ms)),
            Do::Mute => self.door.set(Door::Mute),
            Do::Only(port) => self.door.set(Door::Only(port)),
            Do::Say(text) => self.said.send_modify(|said| *said = (said.0 + 1, text)),
            Do::Restart(revision) => drop(self.revision.send_replace(revision)),
            Do::Move => drop(orders.send(ClientCommand::SetAddresses(vec![address(2)]))),
            Do::Follow(names) => {
                drop(
                    orders.send(ClientCommand::SetFilter(Filter::services(names.iter().copied()))),
                );
            }
        }
    }
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// What came of a play: each message with its time, and the times at which the list was lost.
#[derive(Default)]
struct Heard {
    told: Vec<(Instant, Message)>,
    lost: Vec<Instant>,
}

/// Plays a script of what happens at which millisecond, to a client that holds revision 41, for `length`. One that
/// has to ask does so half a second after its list was lost.
async fn play(
    agent: &Rc<Agent>,
    mode: Mode,
    addresses: u16,
    script: &[(u64, Do)],
    length: Duration,
) -> Heard {
    play_asked_after(Duration::from_millis(500), agent, mode, addresses, script, length).await
}

/// The same, asked so long after its list was lost.
async fn play_asked_after(
    wait: Duration,
    agent: &Rc<Agent>,
    mode: Mode,
    addresses: u16,
    script: &[(u64, Do)],
    length: Duration,
) -> Heard {
    let start = Instant::now();
    let heard = Rc::new(RefCell::new(Heard::default()));
    let (orders, ordered) = mpsc::unbounded_channel();
    let all = (1..=addresses).map(address).collect();
    let follow = WatchPlanner::new(all, mode, 41, start);
    let (sink, asks) = (heard.clone(), orders.clone());
    let tell = move |news| match news {
        ListEvent::Updated(list) => sink.borrow_mut().told.push((Instant::now(), list)),
        ListEvent::Disconnected => {
            sink.borrow_mut().lost.push(Instant::now());
            let asks = asks.clone();
            spawn_local(async move {
                sleep(wait).await;
                let _ = asks.send(ClientCommand::Poll);
            });
        }
    };
    let connecting = agent.clone();
    let connect = move |to| connecting.connect(to);
    let client = spawn_local(client::run(follow, Filter::all(), connect, ordered, tell));
    if mode == Mode::OnDemand {
        let _ = orders.send(ClientCommand::Poll);
    }
    for (at, what) in script {
        sleep_until(start + Duration::from_millis(*at)).await;
        agent.act(*what, &orders);
    }
    sleep_until(start + length).await;
    client.abort();
    heard.take()
}

/// Runs a test on paused time and one thread.
fn paused<T>(test: impl Future<Output = T>) -> T {
    let mut runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = runtime.enable_time().start_paused(true).build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        timeout(Duration::from_secs(120), test).await.expect("it ends")
    })
}

/// Plays the script, and says how long after `known` the drain of revision 42 was told.
fn heard_after(mode: Mode, layout: Layout, script: &[(u64, Do)], known: u64) -> Duration {
    paused(async {
        let (start, agent) = (Instant::now(), Agent::new(layout));
        let heard = play(&agent, mode, 1, script, Duration::from_secs(40)).await;
        let drains = |m: &Message| m.members.iter().any(|m| m.phase == Phase::Draining);
        let (at, _) = heard.told.iter().find(|(_, m)| drains(m)).expect("the drain is told");
        let revisions: Vec<u64> = heard.told.iter().map(|(_, m)| m.revision).collect();
        assert!(revisions.is_sorted(), "a revision went back: {revisions:?}");
        at.saturating_duration_since(start + Duration::from_millis(known))
    })
}

/// What happens, and when the news begin to count as told.
type Case<'a> = (&'a str, &'a [(u64, Do)], u64);

#[test]
fn news_are_heard_before_sends_on_them_break_the_rule() {
    use Do::*;
    let up = |hung_too| Up { hung_too };
    let cases: [Case; 12] = [
        ("a watch that works", &[(5000, Change)], 5000),
        // Counts 6 s after the silence began, and the agent had it long before.
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
        ("reset, and the news right after it", &[(5000, Reset), (5001, Change)], 5001),
        (
            "reset, and refused for a while",
            &[(5000, Reset), (5000, Refuse), (7000, Change), (7010, Accept)],
            7010,
        ),
        (
            "down, and open watches are told at the return",
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
    for layout in [Layout::Line, Layout::Indented, Layout::Cut] {
        for (what, script, known) in cases {
            let after = heard_after(PUSHED, layout, script, known);
            assert!(after <= GRACE / 4, "{what}: heard {after:?} later");
        }
    }
}

#[test]
fn a_list_that_is_asked_for_is_lost_when_it_is_silent_and_asked_for_again() {
    use Do::*;
    // Its caller asks half a second after each loss.
    let cases: [Case; 5] = [
        ("a watch that works", &[(5000, Change)], 5000),
        ("a silent watch", &[(5000, Silence), (5500, Change)], 11_000),
        ("reset, and the news right after it", &[(5000, Reset), (5001, Change)], 5001),
        (
            "reset, and refused for a while",
            &[(5000, Reset), (5000, Refuse), (7000, Change), (7010, Accept)],
            7010,
        ),
        ("moved", &[(5000, Silence), (5500, Change), (5500, Move)], 9500),
    ];
    for layout in [Layout::Line, Layout::Indented, Layout::Cut] {
        for (what, script, known) in cases {
            let after = heard_after(Mode::OnDemand, layout, script, known);
            assert!(after <= GRACE / 2, "{what}: heard {after:?} later");
        }
    }
    paused(async {
        let agent = Agent::new(Layout::Line);
        let script = [(0, Do::Down), (4500, Do::Up { hung_too: false }), (5000, Do::Change)];
        let heard = play(&agent, Mode::OnDemand, 1, &script, Duration::from_secs(30)).await;
        let at: Vec<u64> =
            agent.calls.borrow().iter().map(|c| c.0.elapsed().as_millis() as u64).collect();
        let gaps: Vec<u64> = at.windows(2).map(|c| c[0] - c[1]).collect();
        assert_eq!(
            gaps, [1500; 3],
            "one beside each that hangs for half of its time, and none once one speaks"
        );
        assert!(heard.lost.is_empty(), "nothing ended");
        assert_eq!(heard.told.len(), 1);
    });
    paused(async {
        let agent = Agent::new(Layout::Line);
        let script = [(0, Do::Refuse), (4600, Do::Accept), (5000, Do::Change)];
        let heard = play(&agent, Mode::OnDemand, 3, &script, Duration::from_secs(30)).await;
        // Each of the three addresses is tried before the caller hears of it; then it says when.
        assert_eq!(heard.lost.len(), 10, "every half second, and not oftener");
        assert_eq!(heard.told.len(), 1);
    });
}

/// STANDING and the letter after it: whatever became of calls, a change counts as told 6 s after discovery had it
/// and could be reached. Random troubles, the last of which is over at some moment; asked for as late as the
/// module ever does.
#[test]
fn a_change_is_told_within_six_seconds_of_the_last_trouble() {
    use Do::*;
    for (mode, addresses) in
        [(PUSHED, 1), (PUSHED, 3), (PUSHED, 7), (Mode::OnDemand, 1), (Mode::OnDemand, 3)]
    {
        for seed in 0..300_u64 {
            let mut random = oorandom::Rand64::new(u128::from(seed));
            let mut draw = |n: u64| random.rand_range(0..n);
            let mut script = Vec::new();
            let mut at = 0;
            for _ in 0..1 + draw(6) {
                at += draw(4000);
                let port = 1 + draw(u64::from(addresses)) as u16;
                let trouble = [Silence, Reset, Refuse, Stall, Late, Mute, Down, Accept, Only(port)];
                script.push((at, trouble[draw(9) as usize]));
            }
            // The last moment of trouble: what was called until now may hang for ever.
            at += draw(4000);
            script.extend([(at, Up { hung_too: false }), (at, Accept)]);
            script.push(match draw(4) {
                0 => (at, Silence),
                1 => (at, Reset),
                2 => (at, Only(1 + draw(u64::from(addresses)) as u16)),
                _ => (at, Accept),
            });
            let known = (at + draw(4000)).saturating_sub(2000);
            script.push((known, Change));
            script.sort_by_key(|s| s.0);
            let after = paused(async {
                let (start, agent) = (Instant::now(), Agent::new(Layout::Line));
                let length = Duration::from_millis(at + 30_000);
                let wait = Duration::from_millis(2000);
                let heard = play_asked_after(wait, &agent, mode, addresses, &script, length).await;
                let told = heard.told.iter().find(|(_, m)| m.revision >= 42);
                let told = told.map(|(told, _)| *told).unwrap_or(start + length);
                told.saturating_duration_since(start + Duration::from_millis(known.max(at)))
            });
            let what = format!("{mode:?}, {addresses} addresses, seed {seed}");
            assert!(after <= Duration::from_secs(6), "{what}: heard {after:?} later; {script:?}");
        }
    }
}

#[test]
fn a_service_that_takes_long_to_answer_is_heard_however_often_it_is_called() {
    // A bank that starts again finds its discovery slow; and one whose watches have fallen silent.
    let scripts: [&[(u64, Do)]; 2] = [&[], &[(5000, Do::Silence)]];
    let pushed = |ms| Mode::Pushed { grace: Duration::from_millis(ms) };
    for mode in [pushed(100), pushed(500), PUSHED, pushed(4000), Mode::OnDemand] {
        for addresses in [1, 3] {
            for takes in [500, 1100, 2200, 2900] {
                for script in scripts {
                    let begins = script.last().map_or(0, |(at, _)| *at);
                    let mut script = script.to_vec();
                    script.extend([(begins, Do::Slow(takes)), (begins, Do::Change)]);
                    let agent = Agent::new(Layout::Line);
                    let (heard, after) = paused(async {
                        let start = Instant::now();
                        let length = Duration::from_secs(20);
                        let heard = play(&agent, mode, addresses, &script, length).await;
                        let at = heard.told.first().map(|(at, _)| *at - start);
                        (heard, at.map(|at| at - Duration::from_millis(begins)))
                    });
                    let what = format!("{mode:?}, {addresses} addresses, {takes} ms, {script:?}");
                    let after = after.unwrap_or_else(|| panic!("{what}: never heard"));
                    let most = if begins > 0 { 3500 + takes } else { takes };
                    assert!(after <= Duration::from_millis(most + 10), "{what}: {after:?}");
                    assert_eq!(heard.told.len(), 1, "{what}");
                }
            }
        }
    }
}

#[test]
fn what_is_no_list_ends_the_watch_and_leaves_the_list_as_it_was() {
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
        paused(async {
            let agent = Agent::new(Layout::Indented);
            let script = [(5000, Do::Say(text)), (6000, Do::Change)];
            let heard = play(&agent, PUSHED, 1, &script, Duration::from_secs(10)).await;
            let short = &text[..text.len().min(60)];
            let revisions: Vec<u64> = heard.told.iter().map(|(_, m)| m.revision).collect();
            assert_eq!(revisions, [42], "{short}: nothing of it is told, and what follows is");
            let calls: Vec<u64> = agent.calls.borrow().iter().map(|c| c.1).collect();
            assert_eq!(calls, [41, 41], "{short}: one call more, from what is held");
        });
    }
}

#[test]
fn an_entry_that_cannot_be_read_no_longer_counts_as_serving() {
    paused(async {
        let agent = Agent::new(Layout::Line);
        let text = "{\"revision\":42,\"members\":[{\"id\":\"s-1\",\"phase\":[7]},{\"id\":3}]}\n";
        let heard = play(&agent, PUSHED, 1, &[(5000, Do::Say(text))], GRACE * 6).await;
        let told: Vec<_> = heard.told[0].1.members.iter().map(|m| (&*m.id, m.phase)).collect();
        assert_eq!(told, [("s-1", Phase::Unknown)]);
    });
}

#[test]
fn another_discovery_is_asked_for_its_whole_list_and_believed_once() {
    paused(async {
        let agent = Agent::new(Layout::Line);
        // It counts from 7: asked for what came after 41 it would say nothing.
        let script =
            [(5000, Do::Restart(7)), (5000, Do::Move), (8000, Do::Restart(6)), (8000, Do::Reset)];
        let heard = play(&agent, PUSHED, 1, &script, Duration::from_secs(10)).await;
        let told: Vec<_> = heard.told.iter().map(|(_, m)| (m.revision, m.complete)).collect();
        assert_eq!(told, [(7, true)]);
        let calls: Vec<u64> = agent.calls.borrow().iter().map(|c| c.1).collect();
        assert_eq!(calls, [41, 0, 7]);
    });
}

#[test]
fn calls_stay_few_and_steady_however_long_discovery_is_down() {
    paused(async {
        let agent = Agent::new(Layout::Line);
        let script = [(0, Do::Down), (60_000, Do::Up { hung_too: false })];
        let heard = play(&agent, PUSHED, 1, &script, Duration::from_secs(70)).await;
        assert!(heard.told.is_empty() && heard.lost.is_empty());
        let calls = agent.calls.borrow();
        let gaps = calls.windows(2).map(|c| c[1].0 - c[0].0);
        assert_eq!(gaps.min(), Some(GRACE / 4), "a quarter of the grace between two calls");
        assert!(calls.len() <= 242, "{} calls in 60 s", calls.len());
    });
    // A quiet watch in order is left alone.
    paused(async {
        let agent = Agent::new(Layout::Line);
        play(&agent, PUSHED, 1, &[], Duration::from_secs(60)).await;
        assert_eq!(agent.calls.borrow().len(), 1);
    });
    // Instances of a list service are many proxies' own: the longer they say nothing, the fewer calls.
    paused(async {
        let agent = Agent::new(Layout::Line);
        play(&agent, PUSHED, 3, &[(0, Do::Refuse)], Duration::from_secs(60)).await;
        agent.door.set(Door::Open);
        let heard = play(&agent, PUSHED, 3, &[(0, Do::Down)], Duration::from_secs(60)).await;
        assert!(heard.told.is_empty());
        let calls = agent.calls.borrow().len();
        assert!((30..=160).contains(&calls), "{calls} calls in 60 s");
    });
}

#[test]
fn a_client_that_follows_other_services_is_told_their_whole_list_and_nothing_older() {
    let follow = |names| Do::Follow(names);
    for (mode, layout) in
        [(PUSHED, Layout::Line), (Mode::OnDemand, Layout::Line), (PUSHED, Layout::Cut)]
    {
        paused(async {
            let agent = Agent::new(layout);
            let script = [
                (5000, follow(&["shop"])),
                (6000, follow(&["shop"])),
                (7000, Do::Change),
                (8000, follow(&["a b", "shop"])),
                // One that is behind by now: left aside until it has caught up.
                (9000, Do::Restart(40)),
                (9000, follow(&["mail"])),
                (12_000, Do::Restart(43)),
            ];
            let heard = play(&agent, mode, 1, &script, Duration::from_secs(20)).await;
            let told: Vec<_> = heard.told.iter().map(|(_, m)| (m.revision, m.complete)).collect();
            // The same revision is told again where the services are others.
            assert_eq!(told, [(41, true), (42, false), (42, true), (43, true)], "{mode:?}");
            let service = |m: &Message| m.members.iter().map(|m| m.service.clone()).collect();
            let services: Vec<Vec<String>> = heard.told.iter().map(|(_, m)| service(m)).collect();
            assert_eq!(services, [["shop"], ["shop"], ["shop"], ["mail"]]);
            let targets = agent.targets.borrow();
            assert_eq!(targets[0], "/api/targets?stream=1&index=41", "as it always was");
            assert_eq!(targets[1], "/api/targets?stream=1&index=0&service=shop");
            assert_eq!(targets[2], "/api/targets?stream=1&index=0&service=a%20b&service=shop");
            let mail = "/api/targets?stream=1&index=0&service=mail";
            assert!(targets.len() > 4 && targets[3..].iter().all(|t| t == mail), "{targets:?}");
        });
    }
}

#[test]
fn a_list_that_knows_no_services_is_narrowed_and_one_of_all_stands_for_the_whole() {
    paused(async {
        let agent = Agent::new(Layout::Line);
        // Its answers have no service, whatever was asked for.
        let changes = "{\"revision\":42,\"members\":[{\"id\":\"s-1\",\"phase\":\"SERVING\"},\
                       {\"id\":\"s-2\",\"phase\":\"SERVING\",\"service\":\"shop\"}]}\n";
        let script = [(4000, Do::Follow(&["shop"])), (5000, Do::Say(changes))];
        let heard = play(&agent, PUSHED, 1, &script, Duration::from_secs(6)).await;
        let told: Vec<_> = heard.told[1].1.members.iter().map(|m| (&*m.id, m.phase)).collect();
        assert_eq!(told, [("s-1", Phase::Deleted), ("s-2", Phase::Serving)]);
    });
    paused(async {
        let agent = Agent::new(Layout::Line);
        let (orders, ordered) = mpsc::unbounded_channel();
        let (tell, mut told) = mpsc::unbounded_channel();
        // All changes there were, told to one that holds a list of other services.
        let changes = "{\"revision\":41,\"members\":[{\"id\":\"s-1\",\"phase\":\"DELETED\"},\
                       {\"id\":\"s-2\",\"phase\":\"SERVING\"}]}\n";
        agent.revision.send_replace(0);
        let follow =
            WatchPlanner::new(vec![address(1)], PUSHED, 41, Instant::now()).requesting_full_list();
        let connecting = agent.clone();
        let connect = move |to| connecting.connect(to);
        let tell = move |news| drop(tell.send(news));
        let client = spawn_local(client::run(follow, Filter::all(), connect, ordered, tell));
        sleep(Duration::from_millis(100)).await;
        agent.act(Do::Say(changes), &orders);
        let Some(ListEvent::Updated(list)) = told.recv().await else { panic!("told") };
        let ids: Vec<&str> = list.members.iter().map(|m| &*m.id).collect();
        assert_eq!((list.revision, list.complete, ids), (41, true, vec!["s-2"]));
        assert_eq!(agent.calls.borrow()[0].1, 0);
        client.abort();
    });
}
