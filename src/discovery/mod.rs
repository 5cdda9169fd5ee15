//! Discovery: the list service and its clients (PROTOCOL, "Discovery").
//!
//! Service: a [`store::Store`] holds members by id and a bounded history of changes under one monotonic revision; it is
//! part of the replicated state ([`crate::replica`]) of the instances. [`server`] serves `GET /api/targets` and its
//! watch `?stream=1&index=N`, of all members or filtered by service ([`filter`]). [`management`] handles the calls of
//! members, operators and the other instances.
//!
//! Clients: [`watch_planner`] decides where and when to call and which lists to accept (pure), [`client`] makes the
//! calls, [`objects`] splits the data of a watch into lists, and [`list_cache`] persists the last list on disk.
//! [`stored_format`] has the storage formats of entries and lists for both sides.

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
