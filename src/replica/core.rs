//! One instance's part in the consensus, and the state it has built so far. Told messages, proposals and time;
//! answers with what to keep, what to send, and what came of proposals. Pure: no I/O, no clock.

use std::time::Duration;

use protobuf::Message as _;
use raft::eraftpb::{Entry, Message, MessageType};
use raft::{RawNode, SnapshotStatus, StateRole};

use super::command::{Command, Outcome};
use super::machine::Machine;
use super::storage::{DecodeError, RaftStorage, Record};
use crate::lease::expiry::Expiry;
use crate::lease::table::{LeaseCommand, Token};

/// Elections begin after this many ticks without word of a leader, at the earliest; and a leader gives word
/// every [`HEARTBEAT_TICKS`].
pub const ELECTION_TICKS: usize = 10;
/// Ticks between a leader's heartbeats.
pub const HEARTBEAT_TICKS: usize = 2;
/// The most bytes of entries in one message.
const MESSAGE_BYTES: u64 = 1 << 20;
/// The most bytes of proposals that wait for a majority.
const UNCOMMITTED_BYTES: u64 = 16 << 20;

/// Tells proposals apart: unique to this process and start.
pub type ProposalId = [u8; 16];

/// Why an instance could not go on.
#[derive(Debug, thiserror::Error)]
pub enum ReplicaError<E: std::error::Error + 'static> {
    /// The consensus refused; a defect, or a state directory that is not this instance's.
    #[error("consensus: {0}")]
    Raft(#[from] raft::Error),
    /// What is kept can't be read.
    #[error("{0}")]
    Decode(#[from] DecodeError),
    /// Keeping failed. The same records are tried again at the next turn; nothing that depends on them is sent
    /// before.
    #[error("keep: {0}")]
    Persist(E),
    /// An error before was final.
    #[error("stopped")]
    Stopped,
}

/// Why a proposal was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposalRejected {
    /// Another leads, if anyone does; it is to be asked.
    #[error("not the leader")]
    NotLeader(Option<u64>),
    /// The leader has as much as it may hold, or is handing over.
    #[error("busy")]
    Busy,
}

/// What a turn has to send and tell.
#[derive(Debug, Default)]
pub struct ReadySet {
    /// To other instances, `to` says which.
    pub messages: Vec<Message>,
    /// Outcomes of commands in the order of the log, of this instance's proposals and others'.
    pub outcomes: Vec<(ProposalId, Outcome)>,
    /// Grants that ended for want of a renewal, as the leader saw it: the duty and the token.
    pub expired: Vec<(String, Token)>,
    /// Whether the leader, as known here, has changed.
    pub leader_changed: bool,
}

/// A lapse the leader looks out for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ExpiryKey {
    Duty(String),
    Member(String),
}

/// One instance.
pub struct Replica {
    raft: RawNode<RaftStorage>,
    machine: Machine,
    expiry: Expiry<ExpiryKey>,
    /// Whether this instance has led since `expiry` was started anew.
    leading: bool,
    leader: u64,
    /// What could not be kept yet.
    unpersisted: Option<raft::Ready>,
    /// Whether an error was final: what was decided could not be carried out, and nothing after it may be.
    stopped: bool,
    proposal_retry: Duration,
    proposals: u64,
    nonce: u64,
}

impl Replica {
    /// An instance over what it kept. `history` is the list's, where there is no state yet; `nonce` differs
    /// from start to start; `again` is how long a lapse that was proposed may take to be decided.
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

    /// The state built so far.
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

    /// Whether this instance leads, as far as it knows: a commit proves it, this does not.
    pub fn leads(&self) -> bool {
        self.raft.raft.state == StateRole::Leader
    }

    /// The term it is in.
    pub fn term(&self) -> u64 {
        self.raft.raft.term
    }

    /// Begins an election at once; for one that is alone, and for tests.
    pub fn campaign(&mut self) {
        let _ = self.raft.campaign();
    }

    /// One tick of the election clock has passed; the leader looks for what has lapsed by `now`, on its own
    /// monotonic clock.
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

    /// A member was renewed at `now`; whether it is one that this leader watches. One that had lapsed serves
    /// again once that is decided.
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

    /// Hands a command to the log. Its outcome comes with a later turn under the id returned; none comes if
    /// the leader changes before a majority has it, and then it may or may not be carried out.
    ///
    /// # Errors
    /// [`ProposalRejected`]: it will not be carried out.
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

    /// Takes a message from another instance. One that says this instance had kept what it has not (its state
    /// directory was emptied) is refused: its votes are gone too, and going on could undo what was decided.
    ///
    /// # Errors
    /// What is wrong with the message; it was left aside.
    pub fn step(&mut self, message: Message) -> Result<(), String> {
        let kind = message.get_msg_type();
        if message.to != self.id() {
            return Err(format!("a message for instance {}", message.to));
        }
        if raft::raw_node::is_local_msg(kind) {
            return Err(format!("{kind:?} is no message between instances"));
        }
        let last = self.raft.raft.raft_log.last_index();
        if kind == MessageType::MsgHeartbeat && message.commit > last {
            return Err(format!(
                "the leader says that entry {} was kept here, where the last is {last}: \
                 this instance's state directory was lost",
                message.commit
            ));
        }
        if self.unpersisted.is_some() {
            return Err("the disk takes nothing".into());
        }
        if self.stopped {
            return Err("this instance takes no further part".into());
        }
        self.raft.step(message).map_err(|e| e.to_string())
    }

    /// Does what has become due: keeps, then applies what is decided, then says what to send. `keep` returns once
    /// the records are on disk.
    ///
    /// # Errors
    /// [`ReplicaError::Persist`] may be tried again; the others are final: an entry that was decided and can't be read
    /// here (a later version's) must not be passed over, or this instance would tell another list under the same
    /// revisions. Started again as a version that reads it, it goes on from there.
    pub fn process_ready<E: std::error::Error>(
        &mut self,
        now: Duration,
        persist: impl FnMut(&[Record]) -> Result<(), E>,
    ) -> Result<ReadySet, ReplicaError<E>> {
        if self.stopped {
            return Err(ReplicaError::Stopped);
        }
        let ready_set = self.persist_and_apply(now, persist);
        self.stopped = matches!(&ready_set, Err(error) if !matches!(error, ReplicaError::Persist(_)));
        ready_set
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
                continue; // A leader's first entry of its term.
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
            // What was refused, and an expiry that a renewal forestalled, must not lengthen a lease.
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

    /// A lease or member was decided on: its TTL runs from now, or there is none any more.
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

    /// A leader that is new starts every TTL anew, once it has applied all that was decided before its term.
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

    /// Has the follower that is furthest take over, if this instance leads and there is one; whether it still leads.
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

    /// Messages to this instance were lost. A snapshot may have been among them: until it is told of its end, the
    /// consensus sends that instance nothing but heartbeats.
    pub fn unreachable(&mut self, id: u64) {
        self.raft.report_unreachable(id);
        self.raft.report_snapshot(id, SnapshotStatus::Failure);
    }

    /// This instance has taken a snapshot; what it said to that may be lost.
    pub fn snapshot_delivered(&mut self, id: u64) {
        self.raft.report_snapshot(id, SnapshotStatus::Finish);
    }

    /// Takes the state as the newest snapshot, and gives everything that is to be kept in place of the records
    /// so far.
    ///
    /// # Errors
    /// [`DecodeError`], which is not expected of what is held in memory.
    pub fn compact(&mut self) -> Result<Vec<u8>, DecodeError> {
        let applied = self.raft.raft.raft_log.applied;
        let state = postcard::to_stdvec(&self.machine)?;
        let storage = self.raft.mut_store();
        storage.compact(applied, state);
        storage.encode_checkpoint()
    }
}

/// The lease or member whose TTL a command starts anew or ends.
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

/// A message as it travels between instances.
///
/// # Errors
/// [`DecodeError`].
pub fn encode(message: &Message) -> Result<Vec<u8>, DecodeError> {
    Ok(message.write_to_bytes()?)
}

/// A message as it came.
///
/// # Errors
/// [`DecodeError`] for what is none.
pub fn decode(data: &[u8]) -> Result<Message, DecodeError> {
    Ok(Message::parse_from_bytes(data)?)
}

#[cfg(test)]
mod tests;
