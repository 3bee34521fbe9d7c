//! The decision logic of foldhaven, without sockets, files, timers or a clock.
//!
//! Everything in this crate is a value or a state machine: callers pass in time, random numbers and
//! messages, and get typed results. The binaries, such as `foldhavend`, provide sockets and timers.

pub mod attempt;
pub mod burn;
pub mod description;
pub mod fairness;
pub mod headers;
pub mod health;
pub mod ids;
pub mod load;
pub mod membership;
pub mod offers;
pub mod opaque;
pub mod pause;
pub mod placement;
pub mod planner;
pub mod policy;
pub mod prefix;
pub mod rank;
pub mod refusal;
pub mod residency;
pub mod retry;
pub mod ticket;
pub mod time;
pub mod units;
pub mod waits;
