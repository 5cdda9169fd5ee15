//! The list service: the other side of PROTOCOL's "Discovery". A [`store::Store`] keeps members by id and a
//! bounded history of changes under one monotonic revision; [`server`] serves it over HTTP/1.1 as
//! `GET /api/targets` and its watch `?stream=1&index=N`.

pub mod config;
pub mod member;
pub mod server;
pub mod store;
