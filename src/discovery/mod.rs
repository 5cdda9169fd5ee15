//! Discovery, both sides of PROTOCOL's page of that name.
//!
//! The list service: a [`store::Store`] keeps members by id and a bounded history of changes under one monotonic
//! revision; it is part of the replicated state ([`crate::replica`]) of its instances. [`server`] serves it as
//! `GET /api/targets` and its watch `?stream=1&index=N`, of all members or of some services' ([`filter`]), [`management`] takes the calls of members, operators and
//! the other instances.
//!
//! Its clients: [`watch_planner`] decides where and when to call and what to believe (pure), [`client`] makes the calls,
//! [`objects`] finds the lists on a watch, [`list_cache`] keeps the last list on disk. [`stored_format`]
//! has the forms in which either side keeps entries.

pub mod client;
pub mod config;
pub mod filter;
pub mod list_cache;
pub mod management;
pub mod member;
pub mod objects;
pub mod registration;
pub mod server;
pub mod store;
pub mod stored_format;
pub mod sweep;
pub mod watch_planner;
