//! The I/O of one instance: its state directory, its peers, its clock, and those who wait for outcomes. Runs on
//! a current-thread runtime inside a `LocalSet`.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use backon::{BackoffBuilder, ExponentialBuilder};
use bytes::{BufMut, Bytes, BytesMut};
use hyper::{Method, StatusCode};
use raft::eraftpb::MessageType;
use tokio::sync::{Notify, mpsc, oneshot, watch};
use tokio::time::{Instant, MissedTickBehavior, interval, sleep, timeout};

use super::command::{Command, Outcome};
use super::core::{self, ELECTION_TICKS, NotTaken, ProposalId, Replica, ReplicaError};
use super::machine::Machine;
use super::storage::{DecodeError, Kept, Record};
use crate::calls::Line;
use crate::store::{Log, Opened, Recovery, StoreError};

/// How long a write may wait for a majority before its caller is told that nobody knows.
const DECIDED_WITHIN: Duration = Duration::from_secs(3);
/// Wait before a snapshot that failed is tried again: the disk is full, and it would only be written in vain.
const SNAPSHOT_AGAIN: Duration = Duration::from_secs(5);
/// How long a peer may take to answer before its connection is given up.
const PEER_WITHIN: Duration = Duration::from_secs(1);
/// Messages that wait for a peer; what is beyond is dropped, and sent anew by the consensus.
const PEER_QUEUE: usize = 1024;
/// The most bytes of messages in one call to a peer; a snapshot may be one message of many.
pub const PEER_BYTES: usize = 64 << 20;
/// Bytes of log that only the consensus itself may use, so that an instance whose log is full still votes.
const RESERVE: u64 = 8 << 10;

/// What an instance answers to its peers' messages: the forms that it reads ([`crate::discovery::stored_format`]). Versions
/// without services answer `{}`.
pub const FORMS: &str = "{\"forms\":2}";

/// How one instance is set up.
#[derive(Debug)]
pub struct Setup<'a> {
    /// Its number.
    pub id: u64,
    /// All instances' numbers and management addresses, this one's too.
    pub peers: Vec<(u64, SocketAddr)>,
    /// Its state directory; in memory without one.
    pub state_dir: Option<&'a Path>,
    /// How a corrupt one is opened.
    pub recovery: Recovery,
    /// The most bytes of log between snapshots.
    pub max_log_bytes: Option<u64>,
    /// Bytes of log after which a snapshot is written.
    pub snapshot_bytes: u64,
    /// The shortest time without a leader before an election.
    pub election: Duration,
    /// Changes that the list keeps for watches.
    pub history: usize,
    /// The first list: its revision before the members, and those.
    pub seed: (u64, Vec<crate::discovery::member::Member>),
}

/// Why an instance did not start.
#[derive(Debug, thiserror::Error)]
pub enum HostError {
    /// Its state directory.
    #[error("state: {0}")]
    Store(#[from] StoreError),
    /// What is in it.
    #[error("state: {0}")]
    Decode(#[from] DecodeError),
    /// The consensus.
    #[error("{0}")]
    Replica(#[from] ReplicaError<StoreError>),
}

/// Why a write was not acknowledged.
#[derive(Debug, thiserror::Error)]
pub enum WriteError {
    /// Not done: another instance decides, at this management address, if it is known.
    #[error("another instance leads")]
    NotLeader(Option<SocketAddr>),
    /// Not done: too much waits.
    #[error("too much waits to be decided")]
    Busy,
    /// Not done: these instances may be of a version that can't read what has a service in it, for none is in the
    /// list yet, and they have not said that they can.
    #[error("instances {0:?} have not said that they know services; all must, for the first one")]
    Mixed(Vec<u64>),
    /// Not acknowledged: the disk has no room, or failed.
    #[error("{0}")]
    Disk(String),
    /// Nobody knows: no majority said so in time.
    #[error("not decided within {DECIDED_WITHIN:?}; it may be yet")]
    Unknown,
}

/// Counts since the start.
#[derive(Debug, Default)]
pub struct Counts {
    /// Writes acknowledged.
    pub writes: Cell<u64>,
    /// Batches kept on disk.
    pub batches: Cell<u64>,
    /// Changes of leader seen.
    pub elections: Cell<u64>,
}

/// A message that waits for a peer.
struct Outgoing {
    data: Bytes,
    /// The consensus waits to be told of a snapshot's end.
    snapshot: bool,
}

/// One running instance.
pub struct Host {
    replica: RefCell<Replica>,
    log: RefCell<Option<Log>>,
    waiting: RefCell<HashMap<ProposalId, oneshot::Sender<Outcome>>>,
    peers: HashMap<u64, (SocketAddr, mpsc::Sender<Outgoing>)>,
    /// Peers that have not said yet which forms they read.
    unknown: RefCell<BTreeSet<u64>>,
    work: Notify,
    revisions: watch::Sender<u64>,
    start: Instant,
    tick: Duration,
    snapshot_bytes: u64,
    no_snapshot_before: Cell<Duration>,
    seed: Command,
    /// The term in which this instance has last proposed it.
    seeded_in: Cell<u64>,
    /// Whether the log says that it can't be proposed yet.
    seed_waits: Cell<bool>,
    /// Why the disk takes nothing, while it does not.
    trouble: RefCell<Option<String>>,
    /// Counts since the start.
    pub counts: Counts,
}

impl Host {
    /// Opens the state directory and starts the tasks; inside a `LocalSet`.
    ///
    /// # Errors
    /// [`HostError`].
    pub fn start(setup: Setup<'_>) -> Result<Rc<Self>, HostError> {
        let mut voters: Vec<u64> = match setup.peers.is_empty() {
            true => vec![setup.id],
            false => setup.peers.iter().map(|p| p.0).collect(),
        };
        voters.sort_unstable();
        let alone = voters.len() == 1;
        let opened = setup
            .state_dir
            .map(|dir| Log::open(dir, setup.recovery, setup.max_log_bytes))
            .transpose()?;
        let (log, kept) = match opened {
            Some(Opened { mut log, snapshot, records, cut }) => {
                if log.sequence() == 0 {
                    let first = Record::Voters(voters.clone());
                    log.append(&[postcard::to_stdvec(&first).map_err(DecodeError::from)?])?;
                }
                let kept = Kept::restore(voters, snapshot.as_deref(), &records)?;
                tracing::info!(records = records.len(), cut, last = kept.last(), "state opened");
                (Some(log), kept)
            }
            None => (None, Kept::new(voters)),
        };
        let nonce = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos();
        let nonce = (nonce as u64) ^ u64::from(std::process::id()) << 40 ^ setup.id << 56;
        let replica = Replica::new(setup.id, kept, setup.history, nonce, setup.election)?;
        let (mut peers, mut queues) = (HashMap::new(), Vec::new());
        for (id, address) in setup.peers.iter().filter(|(id, _)| *id != setup.id) {
            let (queue, messages) = mpsc::channel(PEER_QUEUE);
            peers.insert(*id, (*address, queue));
            queues.push((*id, *address, messages));
        }
        let (revision, members) = setup.seed;
        let host = Rc::new(Self {
            replica: RefCell::new(replica),
            log: RefCell::new(log),
            waiting: RefCell::default(),
            unknown: RefCell::new(peers.keys().copied().collect()),
            peers,
            work: Notify::new(),
            revisions: watch::Sender::new(0),
            start: Instant::now(),
            tick: setup.election / ELECTION_TICKS as u32,
            snapshot_bytes: setup.snapshot_bytes,
            no_snapshot_before: Cell::default(),
            seed: Command::Seed { revision, members },
            seeded_in: Cell::new(0),
            seed_waits: Cell::new(false),
            trouble: RefCell::default(),
            counts: Counts::default(),
        });
        for (id, address, messages) in queues {
            tokio::task::spawn_local(host.clone().talk_to(id, address, messages));
        }
        if alone {
            host.replica.borrow_mut().campaign();
            host.turn();
        }
        tokio::task::spawn_local(host.clone().drive());
        Ok(host)
    }

    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    async fn drive(self: Rc<Self>) {
        let mut ticks = interval(self.tick);
        // After a pause, the ticks that were missed tell nothing: peers were not silent, we were.
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => self.replica.borrow_mut().tick(self.now()),
                () = self.work.notified() => {}
            }
            self.turn();
        }
    }

    /// Does what has become due: one batch to disk, messages out, outcomes told.
    fn turn(&self) {
        let now = self.now();
        let mut replica = self.replica.borrow_mut();
        let keep = |records: &[Record]| {
            let mut log = self.log.borrow_mut();
            let Some(log) = log.as_mut() else { return Ok(()) };
            let encode = |r| postcard::to_stdvec(r).unwrap_or_default();
            log.append(&records.iter().map(encode).collect::<Vec<_>>())?;
            self.counts.batches.set(self.counts.batches.get() + 1);
            Ok::<_, StoreError>(())
        };
        let turn = match replica.turn(now, keep) {
            Ok(turn) => turn,
            Err(ReplicaError::Keep(error)) => {
                if self.trouble.replace(Some(error.to_string())).is_none() {
                    tracing::error!(%error, "nothing can be kept: writes fail, reads go on");
                }
                return;
            }
            // Said already.
            Err(ReplicaError::Stopped) => return,
            Err(error) => {
                // Going on from here could undo what others count on.
                if self.trouble.replace(Some(error.to_string())).is_none() {
                    tracing::error!(%error, "this instance takes no further part");
                }
                return;
            }
        };
        if self.trouble.take().is_some() {
            tracing::info!("the disk takes writes again");
        }
        for message in turn.messages {
            let Some((_, queue)) = self.peers.get(&message.to) else { continue };
            let snapshot = message.get_msg_type() == MessageType::MsgSnapshot;
            let Ok(data) = core::encode(&message) else { continue };
            if queue.try_send(Outgoing { data: data.into(), snapshot }).is_err() {
                replica.unreachable(message.to);
            }
        }
        for (duty, token) in turn.expired {
            tracing::warn!(duty, lease = token, "duty expired");
        }
        let mut waiting = self.waiting.borrow_mut();
        for (id, outcome) in turn.outcomes {
            if let Some(waiter) = waiting.remove(&id) {
                let _ = waiter.send(outcome);
            }
        }
        if turn.leader_changed {
            self.counts.elections.set(self.counts.elections.get() + 1);
            let (leader, term) = (replica.leader(), replica.term());
            tracing::info!(id = replica.id(), ?leader, term, "leader");
            if !replica.leads() {
                // Nobody will tell them.
                waiting.clear();
            }
        }
        if replica.leads() && !replica.machine().seeded() {
            self.propose_seed(&mut replica);
        }
        let revision = replica.machine().list().revision();
        self.revisions.send_if_modified(|r| std::mem::replace(r, revision) != revision);
        self.compact(&mut replica);
    }

    /// Once a term: where it is lost with its leader, the next one has it again.
    fn propose_seed(&self, replica: &mut Replica) {
        if let Some(why) = self.mixed(&self.seed, replica) {
            if !self.seed_waits.replace(true) {
                tracing::warn!(%why, "the first list waits");
            }
            return;
        }
        if self.seeded_in.replace(replica.term()) != replica.term()
            && replica.propose(&self.seed).is_ok()
        {
            self.work.notify_one();
        }
    }

    fn compact(&self, replica: &mut Replica) {
        let (mut log, now) = (self.log.borrow_mut(), self.now());
        let due =
            |l: &&mut Log| l.length() > self.snapshot_bytes && now >= self.no_snapshot_before.get();
        let Some(log) = log.as_mut().filter(due) else { return };
        let done = replica.compact().map_err(HostError::from);
        if let Err(error) = done.and_then(|whole| Ok(log.compact(&whole)?)) {
            tracing::warn!(%error, "no snapshot");
            self.no_snapshot_before.set(now + SNAPSHOT_AGAIN);
        }
    }

    /// Why a command must not be proposed yet: it has the first service in it, and some instance may not read it. What
    /// the log holds already every instance has to read, so that one which is down then stands in nobody's way.
    fn mixed(&self, command: &Command, replica: &Replica) -> Option<WriteError> {
        let unknown = self.unknown.borrow();
        let first = command.in_service() && !replica.machine().list().in_services();
        (first && !unknown.is_empty()).then(|| WriteError::Mixed(unknown.iter().copied().collect()))
    }

    /// Looks at the state as this instance has it.
    pub fn read<T>(&self, look: impl FnOnce(&Machine) -> T) -> T {
        look(self.replica.borrow().machine())
    }

    /// The list's revision here, as it changes.
    pub fn revisions(&self) -> watch::Receiver<u64> {
        self.revisions.subscribe()
    }

    /// This instance, the leader as far as it knows, and the term.
    pub fn standing(&self) -> (u64, Option<u64>, u64) {
        let replica = self.replica.borrow();
        (replica.id(), replica.leader(), replica.term())
    }

    /// Whether it can be read: its first list is there.
    pub fn ready(&self) -> bool {
        self.read(Machine::seeded)
    }

    /// Why the disk takes nothing, while it does not.
    pub fn trouble(&self) -> Option<String> {
        self.trouble.borrow().clone()
    }

    fn refuse(&self, why: NotTaken) -> WriteError {
        if let Some(trouble) = self.trouble() {
            return WriteError::Disk(trouble);
        }
        match why {
            NotTaken::NotLeader(leader) => {
                WriteError::NotLeader(leader.and_then(|id| Some(self.peers.get(&id)?.0)))
            }
            NotTaken::Busy => WriteError::Busy,
        }
    }

    /// Has a command decided and carried out; the outcome once it is on the disks of a majority.
    ///
    /// # Errors
    /// [`WriteError`].
    pub async fn decide(&self, command: Command) -> Result<Outcome, WriteError> {
        let size = postcard::to_stdvec(&command).map_or(0, |c| c.len()) as u64;
        let room = self.log.borrow().as_ref().and_then(Log::room);
        if room.is_some_and(|room| room < size + RESERVE) {
            let room = room.unwrap_or_default();
            return Err(WriteError::Disk(format!("the log is full: {room} bytes are left")));
        }
        let mixed = self.mixed(&command, &self.replica.borrow());
        if let Some(mixed) = mixed.filter(|_| self.replica.borrow().leads()) {
            return Err(mixed);
        }
        let proposed = self.replica.borrow_mut().propose(&command);
        let id = proposed.map_err(|why| self.refuse(why))?;
        let (told, outcome) = oneshot::channel();
        self.waiting.borrow_mut().insert(id, told);
        self.work.notify_one();
        let outcome = timeout(DECIDED_WITHIN, outcome).await;
        self.waiting.borrow_mut().remove(&id);
        let outcome = match outcome {
            Ok(Ok(outcome)) => outcome,
            _ => return Err(self.trouble().map_or(WriteError::Unknown, WriteError::Disk)),
        };
        self.counts.writes.set(self.counts.writes.get() + 1);
        Ok(outcome)
    }

    /// Hands leadership over before this instance stops, so that nobody need miss it first; returns once another
    /// leads, or `within` has passed.
    pub async fn hand_over(&self, within: Duration) {
        let until = Instant::now() + within;
        while Instant::now() < until && self.replica.borrow_mut().hand_over() {
            self.work.notify_one();
            sleep(self.tick / 5).await;
        }
    }

    /// Renews a member here, if this is the leader; whether there is such a one with a TTL.
    ///
    /// # Errors
    /// [`WriteError::NotLeader`].
    pub fn renew_member(&self, id: &str) -> Result<bool, WriteError> {
        let renewed = self.replica.borrow_mut().renew_member(id, self.now());
        self.work.notify_one();
        renewed.map_err(|why| self.refuse(why))
    }

    /// Takes the messages of one call from a peer: each a length of four bytes, little-endian, and that much.
    ///
    /// # Errors
    /// What is wrong with the call.
    pub fn take(&self, mut data: &[u8]) -> Result<(), String> {
        while let Some((length, rest)) = data.split_first_chunk::<4>() {
            let length = u32::from_le_bytes(*length) as usize;
            let message = rest.get(..length).ok_or("a message that is cut")?;
            data = &rest[length..];
            let message = core::decode(message).map_err(|e| e.to_string())?;
            if !self.peers.contains_key(&message.from) {
                return Err(format!("instance {} is not among the peers", message.from));
            }
            if let Err(cause) = self.replica.borrow_mut().step(message) {
                // Said once already, where it is the disk.
                if self.trouble.borrow().is_none() {
                    tracing::warn!(cause, "a message from a peer is left aside");
                }
            }
        }
        if !data.is_empty() {
            return Err("a message that is cut".into());
        }
        self.work.notify_one();
        Ok(())
    }

    /// Carries messages to one peer: all that wait in one call, the next once it is answered.
    async fn talk_to(
        self: Rc<Self>,
        id: u64,
        address: SocketAddr,
        mut messages: mpsc::Receiver<Outgoing>,
    ) {
        let waits = || {
            ExponentialBuilder::default()
                .with_min_delay(self.tick / 2)
                .with_max_delay(self.tick * 4)
                .with_jitter()
                .without_max_times()
                .build()
        };
        let (mut line, mut pause) = (None, waits());
        while let Some(first) = messages.recv().await {
            let (mut batch, mut snapshot) = (BytesMut::new(), false);
            let mut add = |message: Outgoing| {
                batch.put_u32_le(message.data.len() as u32);
                batch.extend_from_slice(&message.data);
                snapshot |= message.snapshot;
                batch.len() < PEER_BYTES / 2
            };
            let mut room = add(first);
            while room && let Ok(message) = messages.try_recv() {
                room = add(message);
            }
            let call = async {
                if line.is_none() {
                    line = Some(Line::open(address).await.map_err(|e| e.to_string())?);
                }
                let Some(open) = line.as_mut() else { return Ok(()) };
                let said = open.ask(Method::POST, "/peer/messages", batch.freeze(), 4096).await;
                match said.map_err(|e| e.to_string())? {
                    (StatusCode::OK, said) => {
                        // Anew at each call: it may have been started as another version.
                        match said.as_ref() == FORMS.as_bytes() {
                            true => self.unknown.borrow_mut().remove(&id),
                            false => self.unknown.borrow_mut().insert(id),
                        };
                        Ok(())
                    }
                    (status, cause) => {
                        Err(format!("{address}: {status}: {}", String::from_utf8_lossy(&cause)))
                    }
                }
            };
            let failed = match timeout(PEER_WITHIN, call).await {
                Ok(Ok(())) => {
                    pause = waits();
                    if snapshot {
                        self.replica.borrow_mut().has_snapshot(id);
                        self.work.notify_one();
                    }
                    continue;
                }
                Ok(Err(cause)) => cause,
                Err(_) => format!("{address}: no answer within {PEER_WITHIN:?}"),
            };
            tracing::debug!(cause = failed, "peer");
            line = None;
            self.replica.borrow_mut().unreachable(id);
            sleep(pause.next().unwrap_or(self.tick)).await;
            // What has waited meanwhile is out of date; the consensus sends anew, once it is told.
            while messages.try_recv().is_ok() {}
            self.replica.borrow_mut().unreachable(id);
        }
    }
}
