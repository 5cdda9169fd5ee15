//! The command line of the one program: a subcommand for each role, `proxy` when none is named.
//!
//! `run` in the deploy file starts the program with no arguments, so that must stay the proxy exactly as
//! PROTOCOL and DEPLOY describe it: settings from the JSON file that `LB_CONFIG` names and the `LB_*`
//! variables. Every other role takes a TOML file ([`crate::configuration`]).

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Parser, Subcommand, ValueEnum};

use crate::discovery::member;

/// Exit code of a configuration that was refused, as for a command line that was (clap's own).
pub const EXIT_CONFIG: u8 = 2;
/// Exit code of a release that was rolled back.
pub const EXIT_ROLLED_BACK: u8 = 3;

/// The whole command line.
#[derive(Debug, Parser)]
#[command(
    name = "hollowpaddle",
    version,
    about = "An HTTP/1.1 load balancer run as a bank of proxies"
)]
pub struct Cli {
    /// How log lines are written to standard error: `text` for people, `json` for machines (one object a
    /// line, with the process's name and role).
    #[arg(long, value_enum, env = "LB_LOG_FORMAT", default_value_t = LogFormat::Text, global = true)]
    pub log_format: LogFormat,
    /// The least weighty lines that are written. `debug` has a line for each request that is taken, sent, answered or
    /// given up, with its reason: for a search, not for service.
    #[arg(long, value_enum, env = "LB_LOG_LEVEL", default_value_t = LogLevel::Info, global = true)]
    pub log_level: LogLevel,
    /// The role; `proxy` when none is named.
    #[command(subcommand)]
    pub command: Option<Command>,
}

/// The form of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum LogFormat {
    /// `tracing`'s plain lines.
    Text,
    /// One JSON object a line.
    Json,
}

/// The least weighty log lines that are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum LogLevel {
    /// What went wrong here.
    Error,
    /// What may become trouble.
    Warn,
    /// What changed.
    Info,
    /// What became of each request.
    Debug,
}

/// One role of the program.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// The balancer (the default). Reads the JSON file named by LB_CONFIG: name, listen, discovery,
    /// management, seed, limits {sockets, memory_mb}, known (the last list), settings. LB_NAME, LB_LISTEN,
    /// LB_DISCOVERY and LB_MANAGEMENT override the file. SIGTERM drains, SIGHUP rereads discovery.
    Proxy,
    /// An instance of the list service: serves `GET /api/targets` and its watch (PROTOCOL, "Discovery"), and at its
    /// management address takes members' registrations, operators' changes, and holders' leases.
    Discovery(DiscoveryArgs),
    /// A staged release of upstreams or of balancers.
    #[command(subcommand)]
    Release(ReleaseCommand),
    /// Removes members that have drained for long enough, from the list; of several such processes, the one that
    /// holds the duty `sweep` does.
    Sweep(SweepArgs),
    /// A stand-in upstream that answers every request with its own name; for trials and tests.
    StandIn(StandInArgs),
    /// Hollow balancers and upstreams, many to a process, for rehearsals of a size: the real list client, module and
    /// registration, without connections of clients or to upstreams. Takes a TOML file (see `examples/hollow.toml`).
    Hollow(RoleArgs),
    /// Checks a configuration file or a state directory and exits: 0 when it would be taken, 2 with the key or the
    /// offset at fault when not. Of a state directory it prints what it holds.
    Check(CheckArgs),
}

/// What a role configured by a TOML file takes.
#[derive(Debug, clap::Args)]
pub struct RoleArgs {
    /// The TOML file of this role (see `examples/`).
    #[arg(long, short)]
    pub config: PathBuf,
}

/// What the list service takes.
#[derive(Debug, clap::Args)]
pub struct DiscoveryArgs {
    /// The TOML file (see `examples/discovery.toml`): listen, management, id, peers, state_dir, max_log_bytes,
    /// snapshot_bytes, election_ms, heartbeat_ms, history, start_revision, members.
    #[arg(long, short)]
    pub config: PathBuf,
    /// Opens a corrupt state directory with what was good before the corrupt record, from the last good snapshot
    /// on; what is corrupt is kept under `.corrupt`. Without it such a directory is refused.
    #[arg(long)]
    pub restore_last_good: bool,
}

/// What is to be done about a release.
#[derive(Debug, Subcommand)]
pub enum ReleaseCommand {
    /// Carries the plan out, from where its state directory says that it stands. Exits 0 when all is released, 3
    /// when it was rolled back.
    Start(RoleArgs),
    /// Prints a line for each stage.
    Status(RoleArgs),
    /// Stops it where it is.
    Halt(RoleArgs),
    /// Lets a halted one go on.
    Resume(RoleArgs),
    /// Goes back to the old version.
    Rollback(RoleArgs),
}

impl ReleaseCommand {
    /// The plan's file.
    pub fn config(&self) -> &std::path::Path {
        match self {
            Self::Start(args)
            | Self::Status(args)
            | Self::Halt(args)
            | Self::Resume(args)
            | Self::Rollback(args) => &args.config,
        }
    }
}

/// The sweep's settings.
#[derive(Debug, clap::Args)]
pub struct SweepArgs {
    /// Management addresses of the list service's instances.
    #[arg(long, value_delimiter = ',', required = true)]
    pub services: Vec<SocketAddr>,
    /// The name that it holds the duty under; each process its own.
    #[arg(long)]
    pub holder: String,
    /// TTL of the duty, in milliseconds.
    #[arg(long, default_value_t = 3000, value_parser = clap::value_parser!(u64).range(50..=3_600_000))]
    pub ttl_ms: u64,
    /// How long a member must have drained, as this process saw it, in milliseconds.
    #[arg(long, default_value_t = 60_000)]
    pub after_ms: u64,
    /// Where its figures are to be had (`GET /metrics`, `GET /admin/health`).
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
}

/// The stand-in upstream's settings.
#[derive(Debug, clap::Args)]
pub struct StandInArgs {
    /// Where it listens; port 0 takes a free one, told on standard error as `listening on ADDRESS`.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
    /// What it answers with, and names itself by in logs and in the list.
    #[arg(long, default_value = "stand-in")]
    pub name: String,
    /// Milliseconds that each answer takes.
    #[arg(long, default_value_t = 0)]
    pub delay_ms: u64,
    /// Answers one request in so many with 500; 0 none.
    #[arg(long, default_value_t = 0)]
    pub error_every: u64,
    /// Management addresses of list-service instances to register with.
    #[arg(long, value_delimiter = ',')]
    pub services: Vec<SocketAddr>,
    /// The service that it registers in; without, in none.
    #[arg(long, default_value = "", value_parser = service)]
    pub service: String,
    /// TTL of the registration, in milliseconds.
    #[arg(long, default_value_t = 10_000, value_parser = clap::value_parser!(u64).range(50..=3_600_000))]
    pub ttl_ms: u64,
}

fn service(name: &str) -> Result<String, &'static str> {
    member::service_fault(name).map_or(Ok(name.to_owned()), Err)
}

/// What `check` is told.
#[derive(Debug, clap::Args)]
#[command(group = clap::ArgGroup::new("what").required(true).args(["config", "state_dir"]))]
pub struct CheckArgs {
    /// The role whose file or state directory this is.
    #[arg(long, value_enum)]
    pub role: Role,
    /// The file: JSON for `proxy`, TOML for the others.
    #[arg(long, short)]
    pub config: Option<PathBuf>,
    /// The state directory.
    #[arg(long)]
    pub state_dir: Option<PathBuf>,
}

/// A role that has a configuration file and a state directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Role {
    /// The balancer: its JSON file; its last list.
    Proxy,
    /// The list service: its TOML file; its log.
    Discovery,
    /// The release: its plan; its state.
    Release,
    /// Hollow balancers and upstreams: their TOML file; each balancer's last list, as of a proxy.
    Hollow,
}

impl Command {
    /// The name of the role in logs.
    pub fn role(command: Option<&Self>) -> &'static str {
        match command {
            None | Some(Self::Proxy) => "proxy",
            Some(Self::Discovery(_)) => "discovery",
            Some(Self::Release(_)) => "release",
            Some(Self::Sweep(_)) => "sweep",
            Some(Self::StandIn(_)) => "stand-in",
            Some(Self::Hollow(_)) => "hollow",
            Some(Self::Check(_)) => "check",
        }
    }
}
