//! The command line: one subcommand for each role, with `proxy` as the default.
//!
//! The deployment starts the program without arguments, so the default must remain the proxy as PROTOCOL and DEPLOY
//! describe it, configured by the JSON file named in `LB_CONFIG` and by the `LB_*` variables. The other roles with a
//! configuration file read TOML ([`crate::configuration`]).

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Parser, Subcommand, ValueEnum};

use crate::discovery::member;

/// Exit code for an invalid configuration; the same as clap's for an invalid command line.
pub const EXIT_CONFIG: u8 = 2;
/// Exit code for a release that was rolled back.
pub const EXIT_ROLLED_BACK: u8 = 3;

/// The parsed command line.
#[derive(Debug, Parser)]
#[command(
    name = "hollowpaddle",
    version,
    about = "An HTTP/1.1 load balancer run as a bank of proxies"
)]
pub struct Cli {
    /// Format of log lines on standard error: `text`, or `json` (one object per line, with the process's name and
    /// role).
    #[arg(long, value_enum, env = "LB_LOG_FORMAT", default_value_t = LogFormat::Text, global = true)]
    pub log_format: LogFormat,
    /// Minimum level of log lines. `debug` logs every request as it is accepted, sent, answered or abandoned, with the
    /// reason; use it for troubleshooting, not in production.
    #[arg(long, value_enum, env = "LB_LOG_LEVEL", default_value_t = LogLevel::Info, global = true)]
    pub log_level: LogLevel,
    /// The role to run (default: `proxy`).
    #[command(subcommand)]
    pub command: Option<Command>,
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum LogFormat {
    /// Plain text.
    Text,
    /// One JSON object per line.
    Json,
}

/// Minimum level of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum LogLevel {
    /// Errors of this process.
    Error,
    /// Conditions that may lead to errors.
    Warn,
    /// Changes of state.
    Info,
    /// The course of every request.
    Debug,
}

/// A role of the program.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Run the load balancer (the default). Reads the JSON file named by LB_CONFIG: name, listen, discovery,
    /// management, seed, limits {sockets, memory_mb}, known (the last list), settings. LB_NAME, LB_LISTEN,
    /// LB_DISCOVERY and LB_MANAGEMENT override the file. SIGTERM drains, SIGHUP rereads discovery.
    Proxy,
    /// Run an instance of the list service. Serves `GET /api/targets` and its watch (PROTOCOL, "Discovery"). The
    /// management address accepts registrations of members, changes by operators, and leases of duties.
    Discovery(DiscoveryArgs),
    /// Run or control a staged release of upstreams or balancers.
    #[command(subcommand)]
    Release(ReleaseCommand),
    /// Remove members from the list once they have drained long enough. Of several such processes, only the one that
    /// holds the duty `sweep` is active.
    Sweep(SweepArgs),
    /// Run a stand-in upstream that answers every request with its own name, for experiments and tests.
    StandIn(StandInArgs),
    /// Run many simulated balancers and upstreams in one process, to rehearse large fleets. They use the real list
    /// client, policy and registration, but accept no client connections and open none to upstreams. Reads a TOML file
    /// (see `examples/hollow.toml`).
    Hollow(RoleArgs),
    /// Check a configuration file or a state directory. Exits with 0 if it is valid, and with 2 and the invalid key or
    /// offset if not. For a state directory, prints a summary of its contents.
    Check(CheckArgs),
}

/// Arguments of a role that is configured by a TOML file.
#[derive(Debug, clap::Args)]
pub struct RoleArgs {
    /// TOML configuration file of this role (see `examples/`).
    #[arg(long, short)]
    pub config: PathBuf,
}

/// Arguments of the list service.
#[derive(Debug, clap::Args)]
pub struct DiscoveryArgs {
    /// TOML configuration file (see `examples/discovery.toml`): listen, management, id, peers, state_dir, max_log_bytes,
    /// snapshot_bytes, election_ms, heartbeat_ms, history, start_revision, members.
    #[arg(long, short)]
    pub config: PathBuf,
    /// Open a corrupt state directory with the last good snapshot and the records up to the corrupt one. The corrupt
    /// data is saved under `.corrupt`. Without this flag, a corrupt directory is an error.
    #[arg(long)]
    pub restore_last_good: bool,
}

/// Commands of a release.
#[derive(Debug, Subcommand)]
pub enum ReleaseCommand {
    /// Execute the plan, continuing from the step stored in its state directory. Exits with 0 when the release is
    /// complete and 3 when it was rolled back.
    Start(RoleArgs),
    /// Print a line for each stage.
    Status(RoleArgs),
    /// Halt the release at its current step.
    Halt(RoleArgs),
    /// Resume a halted release.
    Resume(RoleArgs),
    /// Roll back to the old version.
    Rollback(RoleArgs),
}

impl ReleaseCommand {
    /// Path of the release plan.
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

/// Arguments of the sweep.
#[derive(Debug, clap::Args)]
pub struct SweepArgs {
    /// Management addresses of the list service instances.
    #[arg(long, value_delimiter = ',', required = true)]
    pub services: Vec<SocketAddr>,
    /// Name under which this process holds the duty; must be unique among the processes.
    #[arg(long)]
    pub holder: String,
    /// TTL of the duty, in milliseconds.
    #[arg(long, default_value_t = 3000, value_parser = clap::value_parser!(u64).range(50..=3_600_000))]
    pub ttl_ms: u64,
    /// How long this process must have seen a member draining before it removes it, in milliseconds.
    #[arg(long, default_value_t = 60_000)]
    pub after_ms: u64,
    /// Address that serves `GET /metrics` and `GET /admin/health`.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
}

/// Arguments of the stand-in upstream.
#[derive(Debug, clap::Args)]
pub struct StandInArgs {
    /// Address to listen on. With port 0 the system chooses a free port, logged to standard error as `listening on
    /// ADDRESS`.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
    /// Name sent in every answer and used in logs and in the list.
    #[arg(long, default_value = "stand-in")]
    pub name: String,
    /// Delay of each answer, in milliseconds.
    #[arg(long, default_value_t = 0)]
    pub delay_ms: u64,
    /// Answer every Nth request with 500; 0 disables errors.
    #[arg(long, default_value_t = 0)]
    pub error_every: u64,
    /// Management addresses of the list service instances to register with; without any, it does not register.
    #[arg(long, value_delimiter = ',')]
    pub services: Vec<SocketAddr>,
    /// Service to register in; empty for none.
    #[arg(long, default_value = "", value_parser = service)]
    pub service: String,
    /// TTL of the registration, in milliseconds.
    #[arg(long, default_value_t = 10_000, value_parser = clap::value_parser!(u64).range(50..=3_600_000))]
    pub ttl_ms: u64,
}

fn service(name: &str) -> Result<String, &'static str> {
    member::service_fault(name).map_or(Ok(name.to_owned()), Err)
}

/// Arguments of `check`.
#[derive(Debug, clap::Args)]
#[command(group = clap::ArgGroup::new("what").required(true).args(["config", "state_dir"]))]
pub struct CheckArgs {
    /// Role that the file or state directory belongs to.
    #[arg(long, value_enum)]
    pub role: Role,
    /// Configuration file to check: JSON for `proxy`, TOML for the other roles.
    #[arg(long, short)]
    pub config: Option<PathBuf>,
    /// State directory to check.
    #[arg(long)]
    pub state_dir: Option<PathBuf>,
}

/// A role with a configuration file and a state directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Role {
    /// The load balancer: its JSON file, or its stored list.
    Proxy,
    /// The list service: its TOML file, or its log.
    Discovery,
    /// The release: its plan, or its stored state.
    Release,
    /// Simulated balancers and upstreams: their TOML file, or the stored list of one balancer.
    Hollow,
}

impl Command {
    /// The role's name in log lines; `proxy` without a subcommand.
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
