//! Measurements: open-loop load over the stand-ins, the overhead of the gateway, and the slopes of
//! what control costs.

pub mod load;
pub mod overhead;
pub mod profile;
pub mod slopes;
