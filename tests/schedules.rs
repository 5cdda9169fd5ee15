//! Runs complete clusters under random schedules of kills, pauses, partitions and lost messages, in simulated time.
//! Covers `replica::core` and `lease::holder`, which do no I/O; this file simulates their network, disks and clocks.
//!
//! Checked in all schedules: two processes never hold the duty at the same time; a token is granted to one holder only
//! and never after a higher token; once a write under a token is accepted, none under an older token is; instances at
//! the same revision have the same list; and after all faults are healed, a process acquires the duty again.

use std::collections::{BTreeMap, HashMap};
use std::convert::Infallible;
use std::time::Duration;

use hollowpaddle::discovery::filter::Filter;
use hollowpaddle::discovery::member::{Member, Phase};
use hollowpaddle::lease::holder::{Holder, Step};
use hollowpaddle::lease::table::{LeaseCommand, Token};
use hollowpaddle::replica::command::{Command, Fence, Outcome};
use hollowpaddle::replica::core::{ProposalId, Replica, decode, encode};
use hollowpaddle::replica::storage::{RaftStorage, Record};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const SCHEDULES: u64 = 10_000;
const STEP_MS: u64 = 10;
const FAULTY_STEPS: u64 = 200;
const HEALED_STEPS: u64 = 400;
const TTL_MS: u64 = 300;

/// A machine's clock. Its rate differs from any other's by no more than `lease::holder::CLOCK_DRIFT_DIVISOR` allows.
#[derive(Clone, Copy)]
struct Clock(f64);

impl Clock {
    fn at(self, ms: u64) -> Duration {
        Duration::from_secs_f64(ms as f64 / 1e3 * self.0)
    }
}

struct Instance {
    replica: Option<Replica>,
    disk: Vec<Vec<u8>>,
    snapshot: Option<Vec<u8>>,
    paused: bool,
    clock: Clock,
}

#[derive(Clone)]
enum Call {
    Acquire,
    Renew(Token),
    Write(Token),
}

struct Process {
    holder: Holder,
    alive: bool,
    paused: bool,
    clock: Clock,
    /// The pending call: its number, and when it was made by the process's own clock.
    pending: Option<(u64, Duration)>,
    last_token: Token,
}

struct Cluster {
    rng: StdRng,
    now: u64,
    instances: Vec<Instance>,
    processes: Vec<Process>,
    /// `(due, to, message)`; calls are `(due, from, to, number, call)`, answers `(due, to, number, outcome, call)`.
    messages: Vec<(u64, usize, Vec<u8>)>,
    calls: Vec<(u64, usize, usize, u64, Call)>,
    answers: Vec<(u64, usize, u64, Option<Outcome>, Call)>,
    proposals: HashMap<ProposalId, (usize, u64, Call)>,
    isolated: Option<usize>,
    loss: f64,
    next_id: u64,
    granted: BTreeMap<Token, usize>,
    /// The last token under which each instance saw a write accepted.
    accepted_writes: Vec<Token>,
    grants: u64,
}

fn member(token: Token) -> Member {
    Member {
        id: "m".into(),
        host_port: "127.0.0.1:9".into(),
        locality: String::new(),
        flavor: String::new(),
        cell: 0,
        phase: Phase::Serving,
        size: 1.0,
        up_since_ms: token as f64,
        service: String::new(),
    }
}

impl Cluster {
    fn new(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let count = if rng.gen_bool(0.8) { 3 } else { 5 };
        let clock = |rng: &mut StdRng| Clock(rng.gen_range(0.978..1.02));
        let instances = (0..count)
            .map(|_| Instance {
                replica: None,
                disk: Vec::new(),
                snapshot: None,
                paused: false,
                clock: clock(&mut rng),
            })
            .collect();
        let processes = (0..3)
            .map(|_| Process {
                holder: Holder::new(Duration::from_millis(TTL_MS)),
                alive: true,
                paused: false,
                clock: clock(&mut rng),
                pending: None,
                last_token: 0,
            })
            .collect();
        let loss = [0.0, 0.02, 0.2][rng.gen_range(0..3)];
        let mut cluster = Self {
            rng,
            now: 0,
            instances,
            processes,
            messages: Vec::new(),
            calls: Vec::new(),
            answers: Vec::new(),
            proposals: HashMap::new(),
            isolated: None,
            loss,
            next_id: 0,
            granted: BTreeMap::new(),
            accepted_writes: vec![0; count],
            grants: 0,
        };
        (0..count).for_each(|i| cluster.start_instance(i));
        cluster
    }

    fn start_instance(&mut self, i: usize) {
        let voters = (1..=self.instances.len() as u64).collect();
        let instance = &mut self.instances[i];
        let storage = RaftStorage::restore(voters, instance.snapshot.as_deref(), &instance.disk)
            .expect("restores its own records");
        self.next_id += 1;
        let proposal_retry = Duration::from_millis(100);
        let replica =
            Replica::new::<Infallible>(i as u64 + 1, storage, 64, self.next_id, proposal_retry);
        instance.replica = Some(replica.expect("the replica starts"));
        // Replayed writes were accepted before the restart, so the check of token order starts over.
        self.accepted_writes[i] = 0;
    }

    fn inject_fault(&mut self) {
        let i = self.rng.gen_range(0..self.instances.len());
        let p = self.rng.gen_range(0..self.processes.len());
        match self.rng.gen_range(0..9) {
            0 => self.instances[i].replica = None,
            1 if self.instances[i].replica.is_none() => self.start_instance(i),
            2 => self.instances[i].paused ^= true,
            3 => self.isolated = Some(i),
            4 => self.isolated = None,
            5 => self.processes[p].paused ^= true,
            6 => {
                let process = &mut self.processes[p];
                process.alive ^= true;
                process.holder = Holder::new(Duration::from_millis(TTL_MS));
                process.pending = None;
            }
            7 => {
                let instance = &mut self.instances[i];
                if let Some(replica) = &mut instance.replica {
                    instance.snapshot = Some(replica.compact().expect("the log is compacted"));
                    instance.disk.clear();
                }
            }
            _ => {}
        }
    }

    fn heal_all(&mut self) {
        (self.isolated, self.loss) = (None, 0.0);
        for i in 0..self.instances.len() {
            self.instances[i].paused = false;
            if self.instances[i].replica.is_none() {
                self.start_instance(i);
            }
        }
        // Dead processes stay dead, so that their leases have to expire; one is revived, so that some process can
        // acquire the duty.
        for process in &mut self.processes {
            process.paused = false;
        }
        let survivor = self.rng.gen_range(0..self.processes.len());
        self.processes[survivor].alive = true;
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        for i in 0..self.instances.len() {
            self.run_instance(i);
        }
        for p in 0..self.processes.len() {
            self.run_process(p);
        }
        let now = self.now;
        let holding = |p: &Process| p.alive && p.holder.token(p.clock.at(now)).is_some();
        let holders = self.processes.iter().filter(|p| holding(p)).count();
        assert!(holders <= 1, "{holders} processes hold the duty at {now} ms");
    }

    fn run_instance(&mut self, i: usize) {
        if self.instances[i].paused || self.instances[i].replica.is_none() {
            // A paused instance keeps the messages sent to it; a dead one loses them.
            let dead = self.instances[i].replica.is_none();
            if dead {
                self.messages.retain(|m| m.1 != i);
                self.calls.retain(|c| c.2 != i);
            }
            return;
        }
        let now = self.now;
        let instance = &mut self.instances[i];
        let local = instance.clock.at(now);
        let Some(replica) = instance.replica.as_mut() else { return };
        replica.tick(local);
        let is_due = |due: u64, to: usize| due <= now && to == i;
        for (_, _, message) in self.messages.extract_if(.., |m| is_due(m.0, m.1)) {
            replica.step(decode(&message).expect("message decodes")).expect("message is accepted");
        }
        for (_, from, _, number, call) in self.calls.extract_if(.., |c| is_due(c.0, c.2)) {
            let duty = "d".to_owned();
            let command = match call {
                Call::Acquire => {
                    let (holder, ttl_ms) = (from.to_string(), TTL_MS);
                    Command::Lease(LeaseCommand::Acquire { duty, holder, ttl_ms })
                }
                Call::Renew(token) => Command::Lease(LeaseCommand::Renew { duty, token }),
                Call::Write(token) => {
                    let fence = Some(Fence { duty, token });
                    Command::Register { member: member(token), ttl_ms: None, fence }
                }
            };
            match replica.propose(&command) {
                Ok(id) => drop(self.proposals.insert(id, (from, number, call))),
                Err(_) => self.answers.push((now + 5, from, number, None, call)),
            }
        }
        let disk = &mut instance.disk;
        let ready = replica.process_ready(local, |records: &[Record]| {
            disk.extend(records.iter().map(|r| postcard::to_stdvec(r).expect("record encodes")));
            Ok::<_, Infallible>(())
        });
        let ready = ready.expect("the ready set is processed");
        for message in ready.messages {
            let to = message.to as usize - 1;
            let lost = self.isolated == Some(i)
                || self.isolated == Some(to)
                || self.rng.gen_bool(self.loss);
            if !lost {
                let due = now + self.rng.gen_range(1..25);
                self.messages.push((due, to, encode(&message).expect("message encodes")));
            }
        }
        for (id, outcome) in ready.outcomes {
            let Some((from, number, call)) = self.proposals.get(&id) else { continue };
            if let (Call::Write(token), Outcome::Revision(_)) = (call, &outcome) {
                assert!(
                    *token >= self.accepted_writes[i],
                    "a write under an older token was accepted"
                );
                self.accepted_writes[i] = *token;
            }
            let due = now + self.rng.gen_range(1..25);
            self.answers.push((due, *from, *number, Some(outcome), call.clone()));
        }
    }

    fn run_process(&mut self, p: usize) {
        let process = &mut self.processes[p];
        if !process.alive || process.paused {
            return;
        }
        let now = self.now;
        let local = process.clock.at(now);
        for (_, _, number, outcome, call) in self.answers.extract_if(.., |a| a.0 <= now && a.1 == p)
        {
            let Some((pending, called_at)) = process.pending else { continue };
            if pending != number {
                continue;
            }
            match (call, outcome) {
                (Call::Write(_), _) => continue,
                (Call::Acquire, Some(Outcome::Grant(Some(grant)))) => {
                    let before = self.granted.insert(grant.token, p);
                    assert!(before.is_none_or(|by| by == p), "token {} granted twice", grant.token);
                    assert!(
                        grant.token > process.last_token,
                        "a token was granted after a higher one"
                    );
                    process.last_token = grant.token;
                    self.grants += 1;
                    process.holder.granted(grant.token, called_at);
                }
                (Call::Renew(_), Some(Outcome::Grant(Some(_)))) => {
                    process.holder.renewed(called_at)
                }
                (_, Some(_)) => drop(process.holder.refused(local)),
                (_, None) => process.holder.unanswered(local),
            }
            process.pending = None;
        }
        if let Some((_, called_at)) = process.pending {
            if local >= called_at + process.holder.call_timeout() {
                process.pending = None;
                process.holder.unanswered(local);
            } else if process.holder.until().is_none_or(|until| local < until) {
                return;
            }
        }
        let call = match process.holder.step(local) {
            Step::Acquire => Call::Acquire,
            Step::Renew(token) => Call::Renew(token),
            Step::Stop(_) | Step::Wait(_) => {
                // A process that holds the duty sends a write now and then.
                let Some(token) = process.holder.token(local) else { return };
                if !self.rng.gen_bool(0.1) {
                    return;
                }
                self.send_call(p, 0, Call::Write(token));
                return;
            }
        };
        self.next_id += 1;
        process.pending = Some((self.next_id, local));
        self.send_call(p, self.next_id, call);
    }

    /// Sends a call to a random instance of those that believe they lead, or to any instance if none does.
    fn send_call(&mut self, p: usize, number: u64, call: Call) {
        let leads = |i: &Instance| i.replica.as_ref().is_some_and(Replica::leads);
        let leaders: Vec<usize> =
            (0..self.instances.len()).filter(|i| leads(&self.instances[*i])).collect();
        let to = match leaders.len() {
            0 => self.rng.gen_range(0..self.instances.len()),
            n => leaders[self.rng.gen_range(0..n)],
        };
        // A write may be delayed after its last lease check, as if its process had been paused before the send.
        let delayed = matches!(call, Call::Write(_)) && self.rng.gen_bool(0.2);
        let due = self.now + self.rng.gen_range(if delayed { 1..1200 } else { 1..25 });
        self.calls.push((due, p, to, number, call));
    }
}

fn run_schedule(seed: u64) -> u64 {
    let mut cluster = Cluster::new(seed);
    let fault_rate = cluster.rng.gen_range(0.0..0.15);
    for _ in 0..FAULTY_STEPS {
        if cluster.rng.gen_bool(fault_rate) {
            cluster.inject_fault();
        }
        cluster.step();
    }
    cluster.heal_all();
    let grants = cluster.grants;
    for _ in 0..HEALED_STEPS {
        cluster.step();
        let now = cluster.now;
        if cluster.processes.iter().any(|p| p.alive && p.holder.token(p.clock.at(now)).is_some())
            && cluster.now.is_multiple_of(500)
        {
            break;
        }
    }
    let now = cluster.now;
    let has_holder =
        cluster.processes.iter().any(|p| p.alive && p.holder.token(p.clock.at(now)).is_some());
    assert!(
        has_holder || cluster.grants > grants,
        "no process holds the duty after the faults were healed"
    );
    let lists: Vec<_> = cluster.instances.iter().filter_map(|i| i.replica.as_ref()).collect();
    for pair in lists.windows(2) {
        let [a, b] = [pair[0].machine(), pair[1].machine()];
        if a.list().revision() == b.list().revision() {
            let all = Filter::all();
            assert_eq!(
                a.list().full_list(&all),
                b.list().full_list(&all),
                "different lists at the same revision"
            );
        }
    }
    cluster.grants
}

#[test]
fn one_holder_and_rising_tokens_over_ten_thousand_schedules() {
    let threads = std::thread::available_parallelism().map_or(4, usize::from) as u64;
    let grants: u64 = std::thread::scope(|scope| {
        let run_all = |t: u64| {
            move || {
                let seeds = (0..SCHEDULES).filter(|seed| seed % threads == t);
                seeds
                    .map(|seed| {
                        let ended = std::panic::catch_unwind(|| run_schedule(seed));
                        ended.unwrap_or_else(|_| panic!("schedule {seed}"))
                    })
                    .sum::<u64>()
            }
        };
        let running: Vec<_> = (0..threads).map(|t| scope.spawn(run_all(t))).collect();
        running.into_iter().map(|t| t.join().expect("all schedules pass")).sum()
    });
    println!("{SCHEDULES} schedules, {grants} grants");
    assert!(grants > SCHEDULES, "the schedules must include hand-overs");
}
