//! Measurements with real daemons and stand-in engines: open-loop load under each routing policy,
//! the overhead of the gateway, and the cost of the control plane by fleet size.

pub mod load;
pub mod overhead;
pub mod profile;
pub mod slopes;
