//! Hollow balancers and hollow upstreams: what a fleet costs in control work, many to a process, for rehearsals of a
//! size that one machine can't hold in real processes.
//!
//! A hollow balancer ([`balancer`]) is the real client of the list ([`crate::discovery::client`]), the real kept list
//! ([`crate::discovery::list_cache`]) and the real services ([`crate::services`], a module each) with their timers, without
//! clients and without connections to upstreams. A hollow upstream ([`upstream`]) registers and renews through
//! [`crate::discovery::registration`], and listens nowhere: its address is made up from its number.
//!
//! [`driver`] does the I/O and answers operators; [`tally`] counts what registration logs; [`figures`] sums up.
//! Faults come from outside: calls at the management address, and signals.

pub mod balancer;
pub mod config;
pub mod driver;
pub mod figures;
pub mod tally;
pub mod upstream;
