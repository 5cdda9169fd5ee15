//! The decision logic and the roles of an HTTP/1.1 load balancer that runs as a fleet of proxies.
//!
//! Each proxy owns one [`policy::Balancer`], passes events to it, and carries out the [`interface::Action`]s that it
//! returns. The policy does no I/O and reads no clock.
//!
//! The same program also runs other roles. Each is implemented by a module here; the binary only starts it: the list
//! service ([`discovery`]) with its replicated state ([`replica`]) and durable store ([`store`]), duties that one
//! process holds at a time ([`lease`]), staged releases ([`release`]), a stand-in upstream ([`stand_in`]), and
//! simulated balancers and upstreams for rehearsals at scale ([`hollow`]). [`cli`], [`configuration`], [`logging`],
//! [`figures`] and [`calls`] are shared by all of them.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod calls;
pub mod cli;
pub mod configuration;
pub mod discovery;
pub mod figures;
pub mod hollow;
pub mod interface;
pub mod invariants;
pub mod lease;
pub mod logging;
pub mod policy;
pub mod release;
pub mod replica;
pub mod roles;
pub mod routing;
pub mod services;
pub mod settings;
pub mod signals;
pub mod socket;
pub mod stand_in;
mod state;
pub mod store;
pub mod tasks;

/// Compiles the README's example as a doc test.
#[cfg(doctest)]
#[doc = include_str!("../README.md")]
pub struct Readme;
