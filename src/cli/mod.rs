//! The command line of the one program: a subcommand for each role, `proxy` when none is named.
//!
//! `run` in the deploy file starts the program with no arguments, so that must stay the proxy exactly as
//! PROTOCOL and DEPLOY describe it: settings from the JSON file that `LB_CONFIG` names and the `LB_*`
//! variables. Every other role takes a TOML file ([`crate::configuration`]).

use std::path::PathBuf;

use clap::{Parser, Subcommand, ValueEnum};

/// Exit code of a configuration that was refused, as for a command line that was (clap's own).
pub const EXIT_CONFIG: u8 = 2;

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

/// One role of the program.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// The balancer (the default). Reads the JSON file named by LB_CONFIG: name, listen, discovery,
    /// management, seed, limits {sockets, memory_mb}, known (the last list), settings. LB_NAME, LB_LISTEN,
    /// LB_DISCOVERY and LB_MANAGEMENT override the file. SIGTERM drains, SIGHUP rereads discovery.
    Proxy,
    /// The list service: serves `GET /api/targets` and its watch (PROTOCOL, "Discovery").
    Discovery(RoleArgs),
    /// The release controller: reads a staged plan and prints its stages.
    Release(RoleArgs),
    /// A stand-in upstream that answers every request with 200 and its own name; for trials and tests.
    StandIn(StandInArgs),
    /// Checks a configuration file and exits: 0 when it would be taken, 2 with the key at fault when not.
    Check(CheckArgs),
}

/// What every TOML-configured role takes.
#[derive(Debug, clap::Args)]
pub struct RoleArgs {
    /// The TOML file of this role (see `examples/`).
    #[arg(long, short)]
    pub config: PathBuf,
}

/// The stand-in upstream's settings.
#[derive(Debug, clap::Args)]
pub struct StandInArgs {
    /// Where it listens; port 0 takes a free one, told on standard error as `listening on ADDRESS`.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: std::net::SocketAddr,
    /// What it answers with, and names itself by in logs.
    #[arg(long, default_value = "stand-in")]
    pub name: String,
}

/// What `check` is told.
#[derive(Debug, clap::Args)]
pub struct CheckArgs {
    /// The role whose file this is.
    #[arg(long, value_enum)]
    pub role: Role,
    /// The file: JSON for `proxy`, TOML for the others.
    #[arg(long, short)]
    pub config: PathBuf,
}

/// A role that has a configuration file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Role {
    /// The balancer's JSON file.
    Proxy,
    /// The list service's TOML file.
    Discovery,
    /// The release plan's TOML file.
    Release,
}

impl Command {
    /// The name of the role in logs.
    pub fn role(command: Option<&Self>) -> &'static str {
        match command {
            None | Some(Self::Proxy) => "proxy",
            Some(Self::Discovery(_)) => "discovery",
            Some(Self::Release(_)) => "release",
            Some(Self::StandIn(_)) => "stand-in",
            Some(Self::Check(_)) => "check",
        }
    }
}
