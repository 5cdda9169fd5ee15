//! One instance's Raft node and the state machine it has built so far. Takes messages, proposals and the time
//! as input; returns the records to persist, the messages to send and the outcomes of proposals. Pure: no I/O,
//! no clock.

use std::time::Duration;

use protobuf::Message as _;
use raft::eraftpb::{Entry, Message, MessageType};
use raft::{RawNode, SnapshotStatus, StateRole};

use super::command::{Command, Outcome};
use super::machine::Machine;
use super::storage::{DecodeError, RaftStorage, Record};
use crate::lease::expiry::Expiry;
use crate::lease::table::{LeaseCommand, Token};

/// Ticks without a message from a leader after which a follower may start an election, at the earliest.
pub const ELECTION_TICKS: usize = 10;
/// Ticks between the heartbeats of a leader.
pub const HEARTBEAT_TICKS: usize = 2;
/// Maximum size of the entries in one message, in bytes.
const MESSAGE_BYTES: u64 = 1 << 20;
/// Maximum size of the proposals that wait for a majority, in bytes.
const UNCOMMITTED_BYTES: u64 = 16 << 20;

/// Identifies a proposal; unique to this process and start.
pub type ProposalId = [u8; 16];

/// Why an instance cannot continue.
#[derive(Debug, thiserror::Error)]
pub enum ReplicaError<E: std::error::Error + 'static> {
    /// Raft returned an error: a bug, or a state directory that belongs to another instance.
    #[error("consensus: {0}")]
    Raft(#[from] raft::Error),
    /// Stored data cannot be decoded.
    #[error("{0}")]
    Decode(#[from] DecodeError),
    /// Persisting failed. The next call of [`Replica::process_ready`] retries the same records; nothing that
    /// depends on them is sent before.
    #[error("keep: {0}")]
    Persist(E),
    /// An earlier error was final.
    #[error("stopped")]
    Stopped,
}

/// Why a proposal was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposalRejected {
    /// Another instance leads, or none does; holds the leader to ask, where it is known.
    #[error("not the leader")]
    NotLeader(Option<u64>),
    /// The leader has reached its limit of uncommitted proposals, is transferring leadership, or cannot write
    /// to disk.
    #[error("busy")]
    Busy,
}

/// The messages to send and the results to report after one round of processing.
#[derive(Debug, Default)]
pub struct ReadySet {
    /// Messages to other instances; `to` holds the receiver.
    pub messages: Vec<Message>,
    /// Outcomes of applied commands in log order, for proposals of this instance and of others.
    pub outcomes: Vec<(ProposalId, Outcome)>,
    /// Duty and token of each grant that expired without a renewal. Filled in by the leader only.
    pub expired: Vec<(String, Token)>,
    /// Whether the leader known to this instance has changed.
    pub leader_changed: bool,
}

/// What the leader tracks a TTL for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ExpiryKey {
    Duty(String),
    Member(String),
}

/// One instance of the replicated state machine.
pub struct Replica {
    raft: RawNode<RaftStorage>,
    machine: Machine,
    expiry: Expiry<ExpiryKey>,
    /// Whether this instance leads and has rebuilt `expiry` since its election.
    leading: bool,
    leader: u64,
    /// A ready set whose records could not be persisted yet.
    unpersisted: Option<raft::Ready>,
    /// Set after a final error: a committed entry could not be applied, so no later one may be applied either.
    stopped: bool,
    proposal_retry: Duration,
    proposals: u64,
    nonce: u64,
}

impl Replica {
    /// Creates an instance from its stored state. `history` is the number of list changes to retain, used where
    /// there is no state yet; `nonce` must differ from start to start; `proposal_retry` is how long to wait for
    /// a proposed expiry to be committed before it is proposed again.
    ///
    /// # Errors
    /// [`ReplicaError::Decode`] and [`ReplicaError::Raft`].
    pub fn new<E: std::error::Error>(
        id: u64,
        storage: RaftStorage,
        history: usize,
        nonce: u64,
        proposal_retry: Duration,
    ) -> Result<Self, ReplicaError<E>> {
        let (applied, state) = storage.state();
        let machine = match applied {
            0 => Machine::new(history),
            _ => postcard::from_bytes(state).map_err(DecodeError::from)?,
        };
        let config = raft::Config {
            id,
            election_tick: ELECTION_TICKS,
            heartbeat_tick: HEARTBEAT_TICKS,
            applied,
            check_quorum: true,
            pre_vote: true,
            max_size_per_msg: MESSAGE_BYTES,
            max_inflight_msgs: 64,
            max_uncommitted_size: UNCOMMITTED_BYTES,
            ..raft::Config::default()
        };
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let raft = RawNode::new(&config, storage, &logger)?;
        Ok(Self {
            raft,
            machine,
            expiry: Expiry::new(),
            leading: false,
            leader: 0,
            unpersisted: None,
            stopped: false,
            proposal_retry,
            proposals: 0,
            nonce,
        })
    }

    /// The state built from the entries applied so far.
    pub fn machine(&self) -> &Machine {
        &self.machine
    }

    /// The number of this instance.
    pub fn id(&self) -> u64 {
        self.raft.raft.id
    }

    /// The leader, as far as this instance knows.
    pub fn leader(&self) -> Option<u64> {
        Some(self.raft.raft.leader_id).filter(|id| *id != 0)
    }

    /// Whether this instance believes that it leads. Only a commit proves that it does.
    pub fn leads(&self) -> bool {
        self.raft.raft.state == StateRole::Leader
    }

    /// The current Raft term of this instance.
    pub fn term(&self) -> u64 {
        self.raft.raft.term
    }

    /// Starts an election at once. For single-instance clusters and tests.
    pub fn campaign(&mut self) {
        let _ = self.raft.campaign();
    }

    /// Advances the election clock by one tick. The leader also proposes the expiry of leases and members whose
    /// TTL has passed by `now`, on its own monotonic clock.
    pub fn tick(&mut self, now: Duration) {
        if self.unpersisted.is_some() || self.stopped {
            return;
        }
        self.raft.tick();
        if !self.leading {
            return;
        }
        for key in self.expiry.expired(now, self.proposal_retry) {
            let command = match key {
                ExpiryKey::Member(id) => Command::Lapse { id },
                ExpiryKey::Duty(duty) => {
                    let grant = self.machine.leases().duties().get(&duty);
                    let Some(grant) = grant.and_then(|d| d.grant.as_ref()) else { continue };
                    let (token, renewals) = (grant.token, grant.renewals);
                    Command::Lease(LeaseCommand::Expire { duty, token, renewals })
                }
            };
            let _ = self.propose(&command);
        }
    }

    /// Records that a member was renewed at `now`. Returns whether this leader tracks a TTL for it. An expired
    /// member serves again once the command for that is committed.
    ///
    /// # Errors
    /// [`ProposalRejected`] where this instance does not lead.
    pub fn renew_member(&mut self, id: &str, now: Duration) -> Result<bool, ProposalRejected> {
        if !self.leads() || !self.leading {
            return Err(ProposalRejected::NotLeader(self.leader()));
        }
        let Some(session) = self.machine.sessions().get(id).copied() else { return Ok(false) };
        let ttl = Duration::from_millis(session.ttl_ms);
        self.expiry.renewed(ExpiryKey::Member(id.to_owned()), now, ttl);
        if session.lapsed {
            self.propose(&Command::Revive { id: id.to_owned() })?;
        }
        Ok(true)
    }

    /// Appends a command to the log. A later call of [`Replica::process_ready`] returns its outcome under the
    /// returned id. If the leader changes before a majority has stored the command, there is no outcome, and
    /// the command may or may not be applied.
    ///
    /// # Errors
    /// [`ProposalRejected`]: the command will not be applied.
    pub fn propose(&mut self, command: &Command) -> Result<ProposalId, ProposalRejected> {
        if self.unpersisted.is_some() || self.stopped {
            return Err(ProposalRejected::Busy);
        }
        if !self.leads() {
            return Err(ProposalRejected::NotLeader(self.leader()));
        }
        self.proposals += 1;
        let mut id = ProposalId::default();
        id[..8].copy_from_slice(&self.nonce.to_le_bytes());
        id[8..].copy_from_slice(&self.proposals.to_le_bytes());
        let data = postcard::to_stdvec(command).map_err(|_| ProposalRejected::Busy)?;
        self.raft.propose(id.to_vec(), data).map_err(|_| ProposalRejected::Busy)?;
        Ok(id)
    }

    /// Processes a message from another instance. A heartbeat that commits entries which are missing here is
    /// rejected: this instance had acknowledged them, so its state directory was emptied. Its votes are lost
    /// too, and taking part again could undo committed entries.
    ///
    /// # Errors
    /// What is wrong with the message, which was ignored.
    pub fn step(&mut self, message: Message) -> Result<(), String> {
        let kind = message.get_msg_type();
        if message.to != self.id() {
            return Err(format!("message addressed to instance {}", message.to));
        }
        if raft::raw_node::is_local_msg(kind) {
            return Err(format!("{kind:?} is a local message, not valid between instances"));
        }
        let last = self.raft.raft.raft_log.last_index();
        if kind == MessageType::MsgHeartbeat && message.commit > last {
            return Err(format!(
                "the leader reports entry {} as stored here, but the last entry is {last}: \
                 this instance's state directory was lost",
                message.commit
            ));
        }
        if self.unpersisted.is_some() {
            return Err("the last write to disk failed; message ignored".into());
        }
        if self.stopped {
            return Err("this instance has stopped participating".into());
        }
        self.raft.step(message).map_err(|e| e.to_string())
    }

    /// Persists new records, applies committed entries and collects the messages to send. `persist` must return
    /// only once the records are on disk.
    ///
    /// # Errors
    /// [`ReplicaError::Persist`] can be retried; the others are final. A committed entry that cannot be decoded
    /// here (written by a later version) must not be skipped, or this instance would serve a different list
    /// under the same revisions. Restarted as a version that can decode the entry, it continues from there.
    pub fn process_ready<E: std::error::Error>(
        &mut self,
        now: Duration,
        persist: impl FnMut(&[Record]) -> Result<(), E>,
    ) -> Result<ReadySet, ReplicaError<E>> {
        if self.stopped {
            return Err(ReplicaError::Stopped);
        }
        let result = self.persist_and_apply(now, persist);
        self.stopped = matches!(&result, Err(error) if !matches!(error, ReplicaError::Persist(_)));
        result
    }

    fn persist_and_apply<E: std::error::Error>(
        &mut self,
        now: Duration,
        mut persist: impl FnMut(&[Record]) -> Result<(), E>,
    ) -> Result<ReadySet, ReplicaError<E>> {
        let mut ready_set = ReadySet::default();
        loop {
            let mut ready = match self.unpersisted.take() {
                Some(ready) => ready,
                None if self.raft.has_ready() => self.raft.ready(),
                None => break,
            };
            let records = RaftStorage::records(ready.snapshot(), ready.entries(), ready.hs())?;
            if !records.is_empty() {
                if let Err(error) = persist(&records) {
                    self.unpersisted = Some(ready);
                    return Err(ReplicaError::Persist(error));
                }
                for record in &records {
                    self.raft.mut_store().apply_record(record)?;
                }
            }
            ready_set.messages.extend(ready.take_messages());
            if !ready.snapshot().is_empty() {
                self.machine =
                    postcard::from_bytes(ready.snapshot().get_data()).map_err(DecodeError::from)?;
            }
            self.apply(ready.take_committed_entries(), now, &mut ready_set)?;
            ready_set.messages.extend(ready.take_persisted_messages());
            let mut light_ready = self.raft.advance(ready);
            if let Some(commit) = light_ready.commit_index() {
                self.raft.mut_store().commit_to(commit);
            }
            ready_set.messages.extend(light_ready.take_messages());
            self.apply(light_ready.take_committed_entries(), now, &mut ready_set)?;
            self.raft.advance_apply();
        }
        self.update_leadership(now);
        let leader = self.raft.raft.leader_id;
        ready_set.leader_changed = std::mem::replace(&mut self.leader, leader) != leader;
        Ok(ready_set)
    }

    fn apply(
        &mut self,
        entries: Vec<Entry>,
        now: Duration,
        ready_set: &mut ReadySet,
    ) -> Result<(), DecodeError> {
        for entry in entries {
            if entry.data.is_empty() {
                continue; // A new leader starts its term with an empty entry.
            }
            let command: Command = postcard::from_bytes(&entry.data)?;
            let renewed_key = self.leading.then(|| expiry_key(&command)).flatten();
            let expires = match &command {
                Command::Lease(LeaseCommand::Expire { duty, token, .. }) => {
                    Some((duty.clone(), *token))
                }
                _ => None,
            };
            let outcome = self.machine.apply(command);
            // A refused command, or an expiry that a renewal preceded, must not extend a lease.
            let no_effect = match &outcome {
                Outcome::Refused(_) => true,
                Outcome::Grant(grant) => expires.is_some() && grant.is_some(),
                _ => false,
            };
            ready_set.expired.extend(expires.filter(|_| !no_effect && self.leading));
            if let Some(key) = renewed_key.filter(|_| !no_effect) {
                self.track_expiry(key, now);
            }
            if let Ok(id) = ProposalId::try_from(&entry.context[..]) {
                ready_set.outcomes.push((id, outcome));
            }
        }
        Ok(())
    }

    /// Updates the deadline of a lease or member after a committed command: its TTL starts at `now`, or it is
    /// no longer tracked.
    fn track_expiry(&mut self, key: ExpiryKey, now: Duration) {
        let ttl_ms = match &key {
            ExpiryKey::Duty(duty) => {
                let duty = self.machine.leases().duties().get(duty);
                duty.and_then(|d| d.grant.as_ref()).map(|g| g.ttl_ms)
            }
            ExpiryKey::Member(id) => self.machine.sessions().get(id).map(|s| s.ttl_ms),
        };
        match ttl_ms {
            Some(ttl_ms) => self.expiry.renewed(key, now, Duration::from_millis(ttl_ms)),
            None => self.expiry.remove(&key),
        }
    }

    /// Restarts all TTLs when this instance becomes leader and has applied every entry committed before its
    /// term.
    fn update_leadership(&mut self, now: Duration) {
        let raft = &self.raft.raft;
        let leads = raft.state == StateRole::Leader
            && raft.raft_log.term(raft.raft_log.applied).is_ok_and(|term| term == raft.term);
        if leads == self.leading {
            return;
        }
        self.leading = leads;
        self.expiry = Expiry::new();
        if leads {
            let duties = self.machine.leases().duties().keys().cloned().map(ExpiryKey::Duty);
            let members = self.machine.sessions().keys().cloned().map(ExpiryKey::Member);
            for key in duties.chain(members).collect::<Vec<_>>() {
                self.track_expiry(key, now);
            }
        }
    }

    /// Transfers leadership to the most up-to-date follower, if this instance leads and there is one. Returns
    /// whether it still leads and has a follower.
    pub fn transfer_leadership(&mut self) -> bool {
        let own = self.id();
        let followers = self.raft.raft.prs().iter().filter(|(id, _)| **id != own);
        let to = followers.max_by_key(|(_, progress)| progress.matched).map(|(id, _)| *id);
        let leads = self.leads();
        if let Some(to) = to.filter(|_| leads && self.raft.raft.lead_transferee.is_none()) {
            self.raft.transfer_leader(to);
        }
        leads && to.is_some()
    }

    /// Reports that messages to an instance were lost. A snapshot may have been among them: until Raft is told
    /// how the snapshot ended, it sends that instance nothing but heartbeats.
    pub fn unreachable(&mut self, id: u64) {
        self.raft.report_unreachable(id);
        self.raft.report_snapshot(id, SnapshotStatus::Failure);
    }

    /// Reports that an instance has received a snapshot; its own response to the snapshot may be lost.
    pub fn snapshot_delivered(&mut self, id: u64) {
        self.raft.report_snapshot(id, SnapshotStatus::Finish);
    }

    /// Takes the current state as the newest snapshot and returns an encoded checkpoint that replaces all
    /// records stored so far.
    ///
    /// # Errors
    /// [`DecodeError`]; not expected for data that is held in memory.
    pub fn compact(&mut self) -> Result<Vec<u8>, DecodeError> {
        let applied = self.raft.raft.raft_log.applied;
        let state = postcard::to_stdvec(&self.machine)?;
        let storage = self.raft.mut_store();
        storage.compact(applied, state);
        storage.encode_checkpoint()
    }
}

/// The lease or member whose TTL a command restarts or ends.
fn expiry_key(command: &Command) -> Option<ExpiryKey> {
    match command {
        Command::Register { member, .. } => Some(ExpiryKey::Member(member.id.clone())),
        Command::SetPhase { id, .. } | Command::Lapse { id } | Command::Revive { id } => {
            Some(ExpiryKey::Member(id.clone()))
        }
        Command::Lease(
            LeaseCommand::Acquire { duty, .. }
            | LeaseCommand::Renew { duty, .. }
            | LeaseCommand::Release { duty, .. }
            | LeaseCommand::Expire { duty, .. },
        ) => Some(ExpiryKey::Duty(duty.clone())),
        Command::Seed { .. } => None,
    }
}

/// Encodes a message for another instance.
///
/// # Errors
/// [`DecodeError`] where it cannot be encoded.
pub fn encode(message: &Message) -> Result<Vec<u8>, DecodeError> {
    Ok(message.write_to_bytes()?)
}

/// Decodes a message from another instance.
///
/// # Errors
/// [`DecodeError`] where the data is not a valid message.
pub fn decode(data: &[u8]) -> Result<Message, DecodeError> {
    Ok(Message::parse_from_bytes(data)?)
}

#[cfg(test)]
mod tests;
