//! The I/O of one instance: its state directory, its peers, its clock, and the callers waiting for outcomes.
//! Runs on a current-thread runtime inside a `LocalSet`.

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
use super::core::{self, ELECTION_TICKS, ProposalId, ProposalRejected, Replica, ReplicaError};
use super::machine::Machine;
use super::storage::{DecodeError, RaftStorage, Record};
use crate::calls::PersistentConnection;
use crate::store::{Log, Opened, Recovery, StoreError};

/// How long a write may wait for a majority before its caller is told that the outcome is unknown.
const DECISION_TIMEOUT: Duration = Duration::from_secs(3);
/// Delay before a failed snapshot is retried. The usual cause is a full disk, where an immediate retry would
/// fail too.
const SNAPSHOT_RETRY_DELAY: Duration = Duration::from_secs(5);
/// How long a peer may take to answer before its connection is closed.
const PEER_CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of messages queued for a peer. Further ones are dropped; Raft sends them again.
const PEER_QUEUE_MESSAGES: usize = 1024;
/// Maximum size of one call to a peer, in bytes. A snapshot may be one of several messages in it.
pub const PEER_CALL_MAX_BYTES: usize = 64 << 20;
/// Bytes of log reserved for Raft's own records, so that an instance whose log is full can still vote.
const CONSENSUS_RESERVE_BYTES: u64 = 8 << 10;

/// The answer to peers' messages: the formats that this instance can read ([`crate::discovery::stored_format`]).
/// Versions without services answer `{}`.
pub const FORMS: &str = "{\"forms\":2}";

/// The settings of one instance.
#[derive(Debug)]
pub struct Setup<'a> {
    /// The number of this instance.
    pub id: u64,
    /// Numbers and management addresses of all instances, including this one.
    pub peers: Vec<(u64, SocketAddr)>,
    /// The state directory; without one, the state is held in memory only.
    pub state_dir: Option<&'a Path>,
    /// How a corrupt state directory is opened.
    pub recovery: Recovery,
    /// Maximum size of the log between snapshots, in bytes.
    pub max_log_bytes: Option<u64>,
    /// Size of the log, in bytes, above which a snapshot is written.
    pub snapshot_bytes: u64,
    /// The shortest time without a leader before an election starts.
    pub election: Duration,
    /// Number of list changes retained for watches.
    pub history: usize,
    /// The initial list: its revision before the members are added, and the members.
    pub seed: (u64, Vec<crate::discovery::member::Member>),
}

/// Why an instance did not start.
#[derive(Debug, thiserror::Error)]
pub enum HostError {
    /// The state directory could not be opened.
    #[error("state: {0}")]
    Store(#[from] StoreError),
    /// The stored state could not be decoded.
    #[error("state: {0}")]
    Decode(#[from] DecodeError),
    /// Raft could not be started.
    #[error("{0}")]
    Replica(#[from] ReplicaError<StoreError>),
}

/// Why a write was not acknowledged.
#[derive(Debug, thiserror::Error)]
pub enum WriteError {
    /// Not applied: another instance leads; holds its management address, where it is known.
    #[error("another instance leads")]
    NotLeader(Option<SocketAddr>),
    /// Not applied: too many writes are waiting.
    #[error("too much waits to be decided")]
    Busy,
    /// Not applied: the command holds the first service of the list, and these instances have not confirmed
    /// that their version can read services.
    #[error("instances {0:?} have not said that they know services; all must, for the first one")]
    Mixed(Vec<u64>),
    /// Not acknowledged: the disk is full or failed.
    #[error("{0}")]
    Disk(String),
    /// Outcome unknown: no majority confirmed the write in time.
    #[error("not decided within {DECISION_TIMEOUT:?}; it may be yet")]
    Unknown,
}

/// Counters since the start.
#[derive(Debug, Default)]
pub struct Counts {
    /// Acknowledged writes.
    pub writes: Cell<u64>,
    /// Batches of records written to disk.
    pub batches: Cell<u64>,
    /// Observed changes of leader.
    pub elections: Cell<u64>,
}

/// A message queued for a peer.
struct Outgoing {
    data: Bytes,
    /// Whether it holds a snapshot, whose delivery or loss must be reported to Raft.
    snapshot: bool,
}

/// One running instance.
pub struct Host {
    replica: RefCell<Replica>,
    log: RefCell<Option<Log>>,
    waiters: RefCell<HashMap<ProposalId, oneshot::Sender<Outcome>>>,
    peers: HashMap<u64, (SocketAddr, mpsc::Sender<Outgoing>)>,
    /// Peers that have not confirmed yet that they read the current formats.
    unconfirmed_peers: RefCell<BTreeSet<u64>>,
    work: Notify,
    revisions: watch::Sender<u64>,
    start: Instant,
    tick: Duration,
    snapshot_bytes: u64,
    no_snapshot_before: Cell<Duration>,
    seed: Command,
    /// The term in which this instance last proposed the initial list.
    seed_proposed_term: Cell<u64>,
    /// Whether it was logged that the initial list can't be proposed yet.
    seed_delay_logged: Cell<bool>,
    /// Why writes to disk fail, while they do, or why this instance has stopped participating.
    write_failure: RefCell<Option<String>>,
    /// Counters since the start.
    pub counts: Counts,
}

impl Host {
    /// Opens the state directory and starts the tasks. Must be called inside a `LocalSet`.
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
        let (log, storage) = match opened {
            Some(Opened { mut log, snapshot, records, cut }) => {
                if log.sequence() == 0 {
                    let first = Record::Voters(voters.clone());
                    log.append(&[postcard::to_stdvec(&first).map_err(DecodeError::from)?])?;
                }
                let storage = RaftStorage::restore(voters, snapshot.as_deref(), &records)?;
                tracing::info!(
                    records = records.len(),
                    cut,
                    last = storage.last(),
                    "state directory opened"
                );
                (Some(log), storage)
            }
            None => (None, RaftStorage::new(voters)),
        };
        let nonce = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos();
        let nonce = (nonce as u64) ^ u64::from(std::process::id()) << 40 ^ setup.id << 56;
        let replica = Replica::new(setup.id, storage, setup.history, nonce, setup.election)?;
        let (mut peers, mut queues) = (HashMap::new(), Vec::new());
        for (id, address) in setup.peers.iter().filter(|(id, _)| *id != setup.id) {
            let (queue, messages) = mpsc::channel(PEER_QUEUE_MESSAGES);
            peers.insert(*id, (*address, queue));
            queues.push((*id, *address, messages));
        }
        let (revision, members) = setup.seed;
        let host = Rc::new(Self {
            replica: RefCell::new(replica),
            log: RefCell::new(log),
            waiters: RefCell::default(),
            unconfirmed_peers: RefCell::new(peers.keys().copied().collect()),
            peers,
            work: Notify::new(),
            revisions: watch::Sender::new(0),
            start: Instant::now(),
            tick: setup.election / ELECTION_TICKS as u32,
            snapshot_bytes: setup.snapshot_bytes,
            no_snapshot_before: Cell::default(),
            seed: Command::Seed { revision, members },
            seed_proposed_term: Cell::new(0),
            seed_delay_logged: Cell::new(false),
            write_failure: RefCell::default(),
            counts: Counts::default(),
        });
        for (id, address, messages) in queues {
            tokio::task::spawn_local(host.clone().send_to_peer(id, address, messages));
        }
        if alone {
            host.replica.borrow_mut().campaign();
            host.process_ready();
        }
        tokio::task::spawn_local(host.clone().run());
        Ok(host)
    }

    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    async fn run(self: Rc<Self>) {
        let mut ticks = interval(self.tick);
        // Missed ticks are not made up for: after a pause of this process, they do not mean that peers were
        // silent.
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => self.replica.borrow_mut().tick(self.now()),
                () = self.work.notified() => {}
            }
            self.process_ready();
        }
    }

    /// Processes what is ready: writes one batch to disk, queues messages for peers and reports outcomes to
    /// callers.
    fn process_ready(&self) {
        let now = self.now();
        let mut replica = self.replica.borrow_mut();
        let persist = |records: &[Record]| {
            let mut log = self.log.borrow_mut();
            let Some(log) = log.as_mut() else { return Ok(()) };
            let encode = |r| postcard::to_stdvec(r).unwrap_or_default();
            log.append(&records.iter().map(encode).collect::<Vec<_>>())?;
            self.counts.batches.set(self.counts.batches.get() + 1);
            Ok::<_, StoreError>(())
        };
        let ready_set = match replica.process_ready(now, persist) {
            Ok(ready_set) => ready_set,
            Err(ReplicaError::Persist(error)) => {
                if self.write_failure.replace(Some(error.to_string())).is_none() {
                    tracing::error!(%error, "nothing can be kept: writes fail, reads continue");
                }
                return;
            }
            // Logged when it stopped.
            Err(ReplicaError::Stopped) => return,
            Err(error) => {
                // Continuing could undo writes that others rely on.
                if self.write_failure.replace(Some(error.to_string())).is_none() {
                    tracing::error!(%error, "this instance has stopped participating");
                }
                return;
            }
        };
        if self.write_failure.take().is_some() {
            tracing::info!("writes to disk succeed again");
        }
        for message in ready_set.messages {
            let Some((_, queue)) = self.peers.get(&message.to) else { continue };
            let snapshot = message.get_msg_type() == MessageType::MsgSnapshot;
            let Ok(data) = core::encode(&message) else { continue };
            if queue.try_send(Outgoing { data: data.into(), snapshot }).is_err() {
                replica.unreachable(message.to);
            }
        }
        for (duty, token) in ready_set.expired {
            tracing::warn!(duty, lease = token, "duty expired");
        }
        let mut waiters = self.waiters.borrow_mut();
        for (id, outcome) in ready_set.outcomes {
            if let Some(waiter) = waiters.remove(&id) {
                let _ = waiter.send(outcome);
            }
        }
        if ready_set.leader_changed {
            self.counts.elections.set(self.counts.elections.get() + 1);
            let (leader, term) = (replica.leader(), replica.term());
            tracing::info!(id = replica.id(), ?leader, term, "leader changed");
            if !replica.leads() {
                // This instance will not learn the outcomes of these proposals.
                waiters.clear();
            }
        }
        if replica.leads() && !replica.machine().seeded() {
            self.propose_seed(&mut replica);
        }
        let revision = replica.machine().list().revision();
        self.revisions.send_if_modified(|r| std::mem::replace(r, revision) != revision);
        self.compact(&mut replica);
    }

    /// Proposes the initial list once per term: if it is lost with its leader, the next leader proposes it
    /// again.
    fn propose_seed(&self, replica: &mut Replica) {
        if let Some(why) = self.missing_service_support(&self.seed, replica) {
            if !self.seed_delay_logged.replace(true) {
                tracing::warn!(%why, "initial list cannot be proposed yet");
            }
            return;
        }
        if self.seed_proposed_term.replace(replica.term()) != replica.term()
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
        if let Err(error) = done.and_then(|checkpoint| Ok(log.compact(&checkpoint)?)) {
            tracing::warn!(%error, "failed to write a snapshot");
            self.no_snapshot_before.set(now + SNAPSHOT_RETRY_DELAY);
        }
    }

    /// Why a command must not be proposed yet: it holds the first service of the list, and some instances may
    /// be unable to read it. Once the log holds a service, every instance has to be able to read it, so an
    /// instance that is down then blocks nothing.
    fn missing_service_support(&self, command: &Command, replica: &Replica) -> Option<WriteError> {
        let unconfirmed = self.unconfirmed_peers.borrow();
        let first = command.in_service() && !replica.machine().list().in_services();
        (first && !unconfirmed.is_empty())
            .then(|| WriteError::Mixed(unconfirmed.iter().copied().collect()))
    }

    /// Calls `f` with the state of this instance.
    pub fn read<T>(&self, f: impl FnOnce(&Machine) -> T) -> T {
        f(self.replica.borrow().machine())
    }

    /// A receiver for the revision of the list on this instance.
    pub fn revisions(&self) -> watch::Receiver<u64> {
        self.revisions.subscribe()
    }

    /// The number of this instance, the leader as far as it knows, and its term.
    pub fn raft_status(&self) -> (u64, Option<u64>, u64) {
        let replica = self.replica.borrow();
        (replica.id(), replica.leader(), replica.term())
    }

    /// Whether the list can be read: the initial list was applied.
    pub fn ready(&self) -> bool {
        self.read(Machine::seeded)
    }

    /// Why writes to disk fail, while they do, or why this instance has stopped participating.
    pub fn write_failure(&self) -> Option<String> {
        self.write_failure.borrow().clone()
    }

    fn refuse(&self, why: ProposalRejected) -> WriteError {
        if let Some(write_failure) = self.write_failure() {
            return WriteError::Disk(write_failure);
        }
        match why {
            ProposalRejected::NotLeader(leader) => {
                WriteError::NotLeader(leader.and_then(|id| Some(self.peers.get(&id)?.0)))
            }
            ProposalRejected::Busy => WriteError::Busy,
        }
    }

    /// Proposes a command and waits until a majority has it on disk and it is applied here. Returns its
    /// outcome.
    ///
    /// # Errors
    /// [`WriteError`].
    pub async fn decide(&self, command: Command) -> Result<Outcome, WriteError> {
        let size = postcard::to_stdvec(&command).map_or(0, |c| c.len()) as u64;
        let remaining = self.log.borrow().as_ref().and_then(Log::remaining);
        if remaining.is_some_and(|remaining| remaining < size + CONSENSUS_RESERVE_BYTES) {
            let remaining = remaining.unwrap_or_default();
            return Err(WriteError::Disk(format!("the log is full: {remaining} bytes are left")));
        }
        let mixed = self.missing_service_support(&command, &self.replica.borrow());
        if let Some(mixed) = mixed.filter(|_| self.replica.borrow().leads()) {
            return Err(mixed);
        }
        let proposed = self.replica.borrow_mut().propose(&command);
        let id = proposed.map_err(|why| self.refuse(why))?;
        let (sender, outcome) = oneshot::channel();
        self.waiters.borrow_mut().insert(id, sender);
        self.work.notify_one();
        let outcome = timeout(DECISION_TIMEOUT, outcome).await;
        self.waiters.borrow_mut().remove(&id);
        let outcome = match outcome {
            Ok(Ok(outcome)) => outcome,
            _ => return Err(self.write_failure().map_or(WriteError::Unknown, WriteError::Disk)),
        };
        self.counts.writes.set(self.counts.writes.get() + 1);
        Ok(outcome)
    }

    /// Transfers leadership before this instance stops, so that the others need not wait for an election
    /// timeout. Returns once another instance leads, there is none to take over, or `within` has passed.
    pub async fn transfer_leadership(&self, within: Duration) {
        let until = Instant::now() + within;
        while Instant::now() < until && self.replica.borrow_mut().transfer_leadership() {
            self.work.notify_one();
            sleep(self.tick / 5).await;
        }
    }

    /// Renews a member, if this instance leads. Returns whether there is such a member with a TTL.
    ///
    /// # Errors
    /// [`WriteError::NotLeader`], [`WriteError::Disk`] or [`WriteError::Busy`].
    pub fn renew_member(&self, id: &str) -> Result<bool, WriteError> {
        let renewed = self.replica.borrow_mut().renew_member(id, self.now());
        self.work.notify_one();
        renewed.map_err(|why| self.refuse(why))
    }

    /// Processes the messages of one call from a peer, each prefixed with its length as four bytes,
    /// little-endian.
    ///
    /// # Errors
    /// What is wrong with the call.
    pub fn receive_messages(&self, mut data: &[u8]) -> Result<(), String> {
        while let Some((length, rest)) = data.split_first_chunk::<4>() {
            let length = u32::from_le_bytes(*length) as usize;
            let message = rest.get(..length).ok_or("a message that is cut")?;
            data = &rest[length..];
            let message = core::decode(message).map_err(|e| e.to_string())?;
            if !self.peers.contains_key(&message.from) {
                return Err(format!("instance {} is not among the peers", message.from));
            }
            if let Err(cause) = self.replica.borrow_mut().step(message) {
                // A write failure was logged already.
                if self.write_failure.borrow().is_none() {
                    tracing::warn!(cause, "ignored a message from a peer");
                }
            }
        }
        if !data.is_empty() {
            return Err("a message that is cut".into());
        }
        self.work.notify_one();
        Ok(())
    }

    /// Sends messages to one peer: all that are queued in one call, the next call once that one is answered.
    async fn send_to_peer(
        self: Rc<Self>,
        id: u64,
        address: SocketAddr,
        mut messages: mpsc::Receiver<Outgoing>,
    ) {
        let backoff = || {
            ExponentialBuilder::default()
                .with_min_delay(self.tick / 2)
                .with_max_delay(self.tick * 4)
                .with_jitter()
                .without_max_times()
                .build()
        };
        let (mut connection, mut delays) = (None, backoff());
        while let Some(first) = messages.recv().await {
            let (mut batch, mut snapshot) = (BytesMut::new(), false);
            let mut add = |message: Outgoing| {
                batch.put_u32_le(message.data.len() as u32);
                batch.extend_from_slice(&message.data);
                snapshot |= message.snapshot;
                batch.len() < PEER_CALL_MAX_BYTES / 2
            };
            let mut has_space = add(first);
            while has_space && let Ok(message) = messages.try_recv() {
                has_space = add(message);
            }
            let call = async {
                if connection.is_none() {
                    connection =
                        Some(PersistentConnection::open(address).await.map_err(|e| e.to_string())?);
                }
                let Some(connected) = connection.as_mut() else { return Ok(()) };
                let answer =
                    connected.ask(Method::POST, "/peer/messages", batch.freeze(), 4096).await;
                match answer.map_err(|e| e.to_string())? {
                    (StatusCode::OK, answer) => {
                        // Updated with each call, as the peer may have been restarted as another version.
                        match answer.as_ref() == FORMS.as_bytes() {
                            true => self.unconfirmed_peers.borrow_mut().remove(&id),
                            false => self.unconfirmed_peers.borrow_mut().insert(id),
                        };
                        Ok(())
                    }
                    (status, cause) => {
                        Err(format!("{address}: {status}: {}", String::from_utf8_lossy(&cause)))
                    }
                }
            };
            let failed = match timeout(PEER_CALL_TIMEOUT, call).await {
                Ok(Ok(())) => {
                    delays = backoff();
                    if snapshot {
                        self.replica.borrow_mut().snapshot_delivered(id);
                        self.work.notify_one();
                    }
                    continue;
                }
                Ok(Err(cause)) => cause,
                Err(_) => format!("{address}: no answer within {PEER_CALL_TIMEOUT:?}"),
            };
            tracing::debug!(cause = failed, "call to a peer failed");
            connection = None;
            self.replica.borrow_mut().unreachable(id);
            sleep(delays.next().unwrap_or(self.tick)).await;
            // The messages queued meanwhile are outdated; Raft sends again what is needed once the peer is
            // reported as unreachable.
            while messages.try_recv().is_ok() {}
            self.replica.borrow_mut().unreachable(id);
        }
    }
}
