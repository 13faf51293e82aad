//! What requests are likely to cost and how fast endpoints are, learned from what the system observes.
//!
//! Everything here is computed from its inputs: no clock, no lock, no I/O.

mod speed;
mod work;

pub use speed::{PoolSpeeds, SpeedEstimate, SpeedReport, SpeedSums, Speeds};
pub use work::{PlacedPrompt, PlacedPrompts, is_announced};
