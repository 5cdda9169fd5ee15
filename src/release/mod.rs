//! Staged releases, of upstreams and of the balancer itself, with a halt and a way back.
//!
//! [`plan`] is the file; [`gates`] judges what was seen of a stage and [`controller`] decides: advance, hold, halt,
//! roll back (both pure). [`figures`] reads the proxies' figures, [`state`] keeps the release's state on disk,
//! [`balancers`] replaces one balancer by another process, [`driver`] carries the decisions out, and [`control`] is
//! how operators talk to it.

pub mod balancers;
pub mod control;
pub mod controller;
pub mod driver;
pub mod figures;
pub mod gates;
pub mod plan;
pub mod state;
