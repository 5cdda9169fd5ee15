//! hollowpaddle decides for an HTTP load balancer that runs as a bank of proxies.
//!
//! Each proxy owns one [`policy::Balancer`], tells it what happens, and carries out
//! the [`interface::Action`]s it answers with. The module does no I/O and reads no clock.
//!
//! Beside the proxy the same program runs other roles, each a module here that the binary only wires up:
//! the list service ([`discovery`]) on its replicated state ([`replica`]) and durable store ([`store`]), duties
//! that one process holds at a time ([`lease`]), staged releases ([`release`]), a stand-in upstream
//! ([`stand_in`]) and hollow balancers and upstreams for rehearsals ([`hollow`]). [`cli`], [`configuration`], [`logging`], [`figures`] and [`calls`] are shared by all of them.
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

/// The README's example, compiled as a doc test.
#[cfg(doctest)]
#[doc = include_str!("../README.md")]
pub struct Readme;
