//! Staged releases of upstreams and of the balancer itself, with halt and rollback.
//!
//! [`plan`] reads the plan file. [`gates`] evaluates what was observed of a stage and [`controller`] decides to
//! advance, hold, halt or roll back; both perform no I/O. [`figures`] reads the proxies' metrics, [`state`] stores the
//! release's state on disk, [`balancers`] replaces a balancer process, [`driver`] carries out the decisions, and
//! [`control`] is the interface for operators.

pub mod balancers;
pub mod control;
pub mod controller;
pub mod driver;
pub mod figures;
pub mod gates;
pub mod plan;
pub mod state;
