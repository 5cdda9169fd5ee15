//! Whole clusters under random schedules of kills, pauses, partitions and lost messages, in simulated time: the pure
//! parts (`replica::core`, `lease::holder`) with nothing between them but this file's network, disks and clocks.
//!
//! Asserted over all schedules: at no instant do two processes hold the duty; a token is granted to one holder only
//! and to none after a higher one; writes accepted under tokens never go back to an older one; instances at one
//! revision have the same list; and once all is healed, somebody holds the duty again.

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

/// A machine's clock: its rate is within what `lease::holder::CLOCK_DRIFT_DIVISOR` allows of any other's.
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
    whole: Option<Vec<u8>>,
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
    /// The call that is out: its number, and when it was made by the own clock.
    out: Option<(u64, Duration)>,
    seen: Token,
}

struct World {
    rng: StdRng,
    now: u64,
    instances: Vec<Instance>,
    processes: Vec<Process>,
    /// `(due, to, message)`, and the like for calls and answers.
    messages: Vec<(u64, usize, Vec<u8>)>,
    calls: Vec<(u64, usize, usize, u64, Call)>,
    answers: Vec<(u64, usize, u64, Option<Outcome>, Call)>,
    proposed: HashMap<ProposalId, (usize, u64, Call)>,
    cut: Option<usize>,
    loss: f64,
    next: u64,
    granted: BTreeMap<Token, usize>,
    /// The last token under which each instance saw a write accepted.
    written: Vec<Token>,
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

impl World {
    fn new(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let count = if rng.gen_bool(0.8) { 3 } else { 5 };
        let clock = |rng: &mut StdRng| Clock(rng.gen_range(0.978..1.02));
        let instances = (0..count)
            .map(|_| Instance {
                replica: None,
                disk: Vec::new(),
                whole: None,
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
                out: None,
                seen: 0,
            })
            .collect();
        let loss = [0.0, 0.02, 0.2][rng.gen_range(0..3)];
        let mut world = Self {
            rng,
            now: 0,
            instances,
            processes,
            messages: Vec::new(),
            calls: Vec::new(),
            answers: Vec::new(),
            proposed: HashMap::new(),
            cut: None,
            loss,
            next: 0,
            granted: BTreeMap::new(),
            written: vec![0; count],
            grants: 0,
        };
        (0..count).for_each(|i| world.boot(i));
        world
    }

    fn boot(&mut self, i: usize) {
        let voters = (1..=self.instances.len() as u64).collect();
        let at = &mut self.instances[i];
        let kept =
            RaftStorage::restore(voters, at.whole.as_deref(), &at.disk).expect("its own records");
        self.next += 1;
        let again = Duration::from_millis(100);
        let replica = Replica::new::<Infallible>(i as u64 + 1, kept, 64, self.next, again);
        at.replica = Some(replica.expect("starts"));
        // What it applies again was accepted before.
        self.written[i] = 0;
    }

    fn fault(&mut self) {
        let i = self.rng.gen_range(0..self.instances.len());
        let p = self.rng.gen_range(0..self.processes.len());
        match self.rng.gen_range(0..9) {
            0 => self.instances[i].replica = None,
            1 if self.instances[i].replica.is_none() => self.boot(i),
            2 => self.instances[i].paused ^= true,
            3 => self.cut = Some(i),
            4 => self.cut = None,
            5 => self.processes[p].paused ^= true,
            6 => {
                let process = &mut self.processes[p];
                process.alive ^= true;
                process.holder = Holder::new(Duration::from_millis(TTL_MS));
                process.out = None;
            }
            7 => {
                let at = &mut self.instances[i];
                if let Some(replica) = &mut at.replica {
                    at.whole = Some(replica.compact().expect("compacts"));
                    at.disk.clear();
                }
            }
            _ => {}
        }
    }

    fn heal(&mut self) {
        (self.cut, self.loss) = (None, 0.0);
        for i in 0..self.instances.len() {
            self.instances[i].paused = false;
            if self.instances[i].replica.is_none() {
                self.boot(i);
            }
        }
        // Who has died stays dead: what it held has to lapse. But for one, so that there is a taker.
        for process in &mut self.processes {
            process.paused = false;
        }
        let taker = self.rng.gen_range(0..self.processes.len());
        self.processes[taker].alive = true;
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
        assert!(holders <= 1, "{holders} hold the duty at {now} ms");
    }

    fn run_instance(&mut self, i: usize) {
        if self.instances[i].paused || self.instances[i].replica.is_none() {
            // A paused one still has what was sent to it; a dead one does not.
            let dead = self.instances[i].replica.is_none();
            if dead {
                self.messages.retain(|m| m.1 != i);
                self.calls.retain(|c| c.2 != i);
            }
            return;
        }
        let now = self.now;
        let at = &mut self.instances[i];
        let local = at.clock.at(now);
        let Some(replica) = at.replica.as_mut() else { return };
        replica.tick(local);
        let mine = |due: u64, to: usize| due <= now && to == i;
        for (_, _, message) in self.messages.extract_if(.., |m| mine(m.0, m.1)) {
            replica.step(decode(&message).expect("a message")).expect("taken");
        }
        for (_, from, _, number, call) in self.calls.extract_if(.., |c| mine(c.0, c.2)) {
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
                Ok(id) => drop(self.proposed.insert(id, (from, number, call))),
                Err(_) => self.answers.push((now + 5, from, number, None, call)),
            }
        }
        let disk = &mut at.disk;
        let turn = replica.process_ready(local, |records: &[Record]| {
            disk.extend(records.iter().map(|r| postcard::to_stdvec(r).expect("a record")));
            Ok::<_, Infallible>(())
        });
        let turn = turn.expect("goes on");
        for message in turn.messages {
            let to = message.to as usize - 1;
            let lost = self.cut == Some(i) || self.cut == Some(to) || self.rng.gen_bool(self.loss);
            if !lost {
                let due = now + self.rng.gen_range(1..25);
                self.messages.push((due, to, encode(&message).expect("a message")));
            }
        }
        for (id, outcome) in turn.outcomes {
            let Some((from, number, call)) = self.proposed.get(&id) else { continue };
            if let (Call::Write(token), Outcome::Revision(_)) = (call, &outcome) {
                assert!(*token >= self.written[i], "a write under an older token was accepted");
                self.written[i] = *token;
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
            let Some((out, asked)) = process.out else { continue };
            if out != number {
                continue;
            }
            match (call, outcome) {
                (Call::Write(_), _) => continue,
                (Call::Acquire, Some(Outcome::Grant(Some(grant)))) => {
                    let before = self.granted.insert(grant.token, p);
                    assert!(before.is_none_or(|by| by == p), "token {} granted twice", grant.token);
                    assert!(grant.token > process.seen, "a token went back");
                    process.seen = grant.token;
                    self.grants += 1;
                    process.holder.granted(grant.token, asked);
                }
                (Call::Renew(_), Some(Outcome::Grant(Some(_)))) => process.holder.renewed(asked),
                (_, Some(_)) => drop(process.holder.refused(local)),
                (_, None) => process.holder.unanswered(local),
            }
            process.out = None;
        }
        if let Some((_, asked)) = process.out {
            if local >= asked + process.holder.call_timeout() {
                process.out = None;
                process.holder.unanswered(local);
            } else if process.holder.until().is_none_or(|until| local < until) {
                return;
            }
        }
        let call = match process.holder.step(local) {
            Step::Acquire => Call::Acquire,
            Step::Renew(token) => Call::Renew(token),
            Step::Stop(_) | Step::Wait(_) => {
                // While it holds the duty, it does it now and then.
                let Some(token) = process.holder.token(local) else { return };
                if !self.rng.gen_bool(0.1) {
                    return;
                }
                self.send(p, 0, Call::Write(token));
                return;
            }
        };
        self.next += 1;
        process.out = Some((self.next, local));
        self.send(p, self.next, call);
    }

    /// Asks all instances that may lead by themselves: the one that does decides.
    fn send(&mut self, p: usize, number: u64, call: Call) {
        let leads = |i: &Instance| i.replica.as_ref().is_some_and(Replica::leads);
        let leaders: Vec<usize> =
            (0..self.instances.len()).filter(|i| leads(&self.instances[*i])).collect();
        let to = match leaders.len() {
            0 => self.rng.gen_range(0..self.instances.len()),
            n => leaders[self.rng.gen_range(0..n)],
        };
        // A write may be held up between its last check and the wire: its process was paused right there.
        let late = matches!(call, Call::Write(_)) && self.rng.gen_bool(0.2);
        let due = self.now + self.rng.gen_range(if late { 1..1200 } else { 1..25 });
        self.calls.push((due, p, to, number, call));
    }
}

fn run(seed: u64) -> u64 {
    let mut world = World::new(seed);
    let faults = world.rng.gen_range(0.0..0.15);
    for _ in 0..FAULTY_STEPS {
        if world.rng.gen_bool(faults) {
            world.fault();
        }
        world.step();
    }
    world.heal();
    let grants = world.grants;
    for _ in 0..HEALED_STEPS {
        world.step();
        let now = world.now;
        if world.processes.iter().any(|p| p.alive && p.holder.token(p.clock.at(now)).is_some())
            && world.now.is_multiple_of(500)
        {
            break;
        }
    }
    let now = world.now;
    let held = world.processes.iter().any(|p| p.alive && p.holder.token(p.clock.at(now)).is_some());
    assert!(held || world.grants > grants, "healed, and nobody holds the duty");
    let lists: Vec<_> = world.instances.iter().filter_map(|i| i.replica.as_ref()).collect();
    for pair in lists.windows(2) {
        let [a, b] = [pair[0].machine(), pair[1].machine()];
        if a.list().revision() == b.list().revision() {
            let all = Filter::all();
            assert_eq!(a.list().whole(&all), b.list().whole(&all), "one revision, two lists");
        }
    }
    world.grants
}

#[test]
fn never_two_holders_nor_a_token_that_goes_back_over_ten_thousand_schedules() {
    let threads = std::thread::available_parallelism().map_or(4, usize::from) as u64;
    let grants: u64 = std::thread::scope(|scope| {
        let run_all = |t: u64| {
            move || {
                let seeds = (0..SCHEDULES).filter(|seed| seed % threads == t);
                seeds
                    .map(|seed| {
                        let ended = std::panic::catch_unwind(|| run(seed));
                        ended.unwrap_or_else(|_| panic!("schedule {seed}"))
                    })
                    .sum::<u64>()
            }
        };
        let running: Vec<_> = (0..threads).map(|t| scope.spawn(run_all(t))).collect();
        running.into_iter().map(|t| t.join().expect("a schedule failed")).sum()
    });
    println!("{SCHEDULES} schedules, {grants} grants");
    assert!(grants > SCHEDULES, "the schedules must exercise handing over");
}
