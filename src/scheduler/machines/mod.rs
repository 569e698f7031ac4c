//! The scheduler's view of machines: their records, state changes, direct commands and timeouts.
//!
//! `registry` owns the records of present machines. `machine` defines the record, and `boot_progress`, `contact`, `lease`,
//! `command_channel`, `load`, `health` and `eviction` define its parts. `lifecycle` adds and removes machines and contains
//! the only function that changes a machine's state. `responsiveness` detects silent machines, using `zone_health`.
//! `direct_commands` prepares commands and probes for workers. `expiry` handles expired leases and termination notices on
//! each tick. `boot_times` estimates boot times from measurements. Heartbeats are processed by `super::heartbeat`.

mod boot_progress;
mod boot_times;
mod command_channel;
mod contact;
mod direct_commands;
mod eviction;
mod expiry;
mod health;
mod lease;
mod lifecycle;
mod load;
mod machine;
mod offer;
mod registry;
mod responsiveness;
mod timing;
mod zone_health;

pub use direct_commands::DirectCommands;
pub use machine::{Machine, MachineState};
pub use offer::{Hardware, Offer, Origin};

pub(super) use boot_times::BootTimes;
pub(super) use registry::MachineRegistry;
pub(super) use zone_health::ZoneHealth;
