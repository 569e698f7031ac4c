//! What is known of one machine.

use super::attempt::TaskId;
use super::index::{ImageIndex, JobIndex, MachineTypeIndex, ZoneIndex};
use crate::placement::Capability;
use crate::protocol::{Command, FencingToken};
use crate::resources::Resources;
use std::collections::{BTreeSet, VecDeque};

/// Where a machine stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineState {
    /// Known from a rental; not heard in this epoch.
    Waiting,
    /// Takes tasks.
    Up,
    /// Takes no new tasks.
    Draining,
    /// To be released; nothing may be started there any more, since the call may execute late.
    Releasing,
}

/// What the cloud offers: machines of a type in a zone, spot or ordinary.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Offer {
    /// Index of the machine type.
    pub machine_type: MachineTypeIndex,
    /// Index of the zone.
    pub zone: ZoneIndex,
    /// Spot machines.
    pub spot: bool,
}

/// What a machine is, by the names of the cloud.
#[derive(Debug, Clone, Copy)]
pub struct Hardware<'a> {
    /// Machine type.
    pub machine_type: &'a str,
    /// Zone.
    pub zone: &'a str,
    /// Spot machine.
    pub spot: bool,
}

/// How a machine became known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// Rented just now.
    Rented,
    /// Unexpected, but known to be there.
    Found,
    /// From the store: rented in an earlier epoch, and perhaps released or taken since.
    Inherited,
}

/// A machine of the scheduler.
pub struct Machine {
    /// Name.
    pub name: String,
    /// State.
    pub state: MachineState,
    /// Type.
    pub machine_type: MachineTypeIndex,
    /// Zone.
    pub zone: ZoneIndex,
    /// Spot machine.
    pub spot: bool,
    /// When it became known here.
    pub since: u64,
    /// Since when nothing is there.
    pub idle_since: Option<u64>,
    pub(super) address: String,
    pub(super) free: Resources,
    pub(super) tasks: BTreeSet<TaskId>,
    /// CPUs in use by services.
    pub(super) service_cpus: u64,
    /// Tasks being stopped there.
    pub(super) stopping: u32,
    pub(super) counter: u64,
    pub(super) last: (u64, u64),
    /// The newest that came as a report.
    pub(super) last_live: (u64, u64),
    /// Reports under the current token have arrived.
    pub(super) current: bool,
    /// When its last report, under whichever token, arrived.
    pub(super) reported_at: Option<u64>,
    /// How it became known.
    pub(super) origin: Origin,
    /// The cloud has listed it in this epoch.
    pub(super) listed: bool,
    /// How long before `since` it was rented, as far as the cloud's list tells while it starts.
    pub(super) rented_before_ms: u64,
    /// Known to be up: it has reported, holds tasks, or is listed as running.
    pub(super) contacted: bool,
    /// When a report under the current token last arrived, or when it became known to be up. Reports under an older
    /// token do not count: they may come from a machine that nothing of ours reaches.
    pub(super) last_heard: u64,
    pub(super) last_answer: u64,
    /// When its present session became known here: it may have begun only just before, with its full lease.
    pub(super) session_seen: u64,
    pub(super) notice_at: Option<u64>,
    pub(super) images: VecDeque<ImageIndex>,
    pub(super) c: Capability,
    pub(super) errors: Vec<JobIndex>,
    /// Draining because of them.
    pub(super) faulty: bool,
    pub(super) not_before: u64,
    pub(super) direct: bool,
    /// Direct starts were sent under its present token.
    pub(super) direct_starts: bool,
    pub(super) probe_at: u64,
    /// Draining only because there is more room than is needed.
    pub(super) surplus: bool,
}

/// Direct orders to be sent.
#[derive(Debug, Clone, PartialEq)]
pub struct DirectCommands {
    /// Machine.
    pub machine: String,
    /// Worker's address.
    pub address: String,
    /// Token.
    pub token: FencingToken,
    /// Session.
    pub session: u64,
    /// Commands.
    pub orders: Vec<Command>,
}

impl Machine {
    /// The offer that it was rented from.
    #[must_use]
    pub fn offer(&self) -> Offer {
        Offer {
            machine_type: self.machine_type,
            zone: self.zone,
            spot: self.spot,
        }
    }
}
