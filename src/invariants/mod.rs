//! Invariants of the proxy's actions: [`permit`] checks an action against the facts at that moment, and
//! [`violations`] counts the violations that occur nevertheless. No I/O and no clock.

pub mod permit;
pub mod violations;
