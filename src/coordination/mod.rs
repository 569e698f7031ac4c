//! Coordination among the controllers: who leads, and what they tell each other.

pub mod cancellations;
pub mod leadership;
pub mod linearizable_reads;
pub mod peers;
