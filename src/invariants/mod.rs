//! Rules that no action of the proxy may break: [`permit`] decides on what holds at the moment of an action, and
//! [`violations`] counts each time that a rule was broken all the same. No I/O and no clock.

pub mod permit;
pub mod violations;
