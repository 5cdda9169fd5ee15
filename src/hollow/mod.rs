//! Simulated balancers and upstreams, many per process, to measure the control-plane cost of fleets that are too large
//! to run as real processes on one machine.
//!
//! A simulated balancer ([`balancer`]) consists of the same list client ([`crate::discovery::client`]), persisted list
//! ([`crate::discovery::list_cache`]) and services with their policies and timers ([`crate::services`]) as a proxy, but
//! has no clients and no connections to upstreams. A simulated upstream ([`upstream`]) registers and renews through
//! [`crate::discovery::registration`], but does not listen: its address is derived from its number.
//!
//! [`driver`] does the I/O and serves the management API; [`tally`] counts the log events of registration; [`figures`]
//! holds the metrics. Faults are injected from outside, by calls of the management API and by signals.

pub mod balancer;
pub mod config;
pub mod driver;
pub mod figures;
pub mod tally;
pub mod upstream;
