//! Machines: what is known of each, how their state changes, what is sent to them, and what time alone brings.
//!
//! `registry` owns the machines that are present; `machine` and the modules of its parts (`boot_progress`, `contact`,
//! `lease`, `command_channel`, `load`, `health`, `eviction`) say what is known of one. `lifecycle` adds and removes machines
//! and has the one function that changes a machine's state; `responsiveness` judges silence, with the help of
//! `zone_health`; `direct_commands` sends commands and probes; `expiry` does what time alone brings. `boot_times` measures
//! how long machines take to come up. Heartbeats are processed by `super::heartbeat`.

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
