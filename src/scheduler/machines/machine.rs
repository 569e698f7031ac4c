//! The record of one machine.

use super::boot_progress::BootProgress;
use super::command_channel::CommandChannel;
use super::contact::Contact;
use super::eviction::Eviction;
use super::health::Health;
use super::lease::Lease;
use super::load::Load;
use super::offer::{Offer, Origin};
use crate::placement::Capability;
use crate::resources::Resources;
use crate::scheduler::index::{ImageIndex, MachineTypeIndex, ZoneIndex};
use crate::time::Timestamp;
use std::collections::VecDeque;
use std::time::Duration;

/// Maximum number of images remembered per machine.
const MAX_IMAGES_PER_MACHINE: usize = 24;

/// State of a machine in its life cycle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineState {
    /// Rented, but no heartbeat under the current fencing token has arrived in this epoch.
    Waiting,
    /// Accepts new tasks.
    Up,
    /// Accepts no new tasks; its current tasks finish or are stopped.
    Draining,
    /// To be released. This is final: the cloud may execute a release call late, so no task may be started there any more.
    Releasing,
}

/// A machine as the scheduler knows it.
#[derive(Debug)]
pub struct Machine {
    name: String,
    offer: Offer,
    state: MachineState,
    pub(in crate::scheduler) boot: BootProgress,
    pub(in crate::scheduler) contact: Contact,
    pub(in crate::scheduler) lease: Lease,
    pub(in crate::scheduler) commands: CommandChannel,
    pub(in crate::scheduler) load: Load,
    pub(in crate::scheduler) health: Health,
    pub(in crate::scheduler) eviction: Eviction,
    /// Measured speed by job class.
    pub(in crate::scheduler) capability: Capability,
    /// Images that the machine holds or is fetching, the most recently used last.
    images: VecDeque<ImageIndex>,
}

impl Machine {
    /// Creates the record of a machine that became known at `now`.
    pub(super) fn new(
        name: &str,
        offer: Offer,
        origin: Origin,
        capacity: Resources,
        now: Timestamp,
    ) -> Self {
        Machine {
            name: name.to_string(),
            offer,
            state: MachineState::Waiting,
            boot: BootProgress::new(origin, now),
            contact: Contact::new(now),
            lease: Lease::new(now),
            commands: CommandChannel::default(),
            load: Load::new(capacity),
            health: Health::default(),
            eviction: Eviction::default(),
            capability: Capability::default(),
            images: VecDeque::new(),
        }
    }

    /// Returns the machine's name.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the machine's state.
    #[must_use]
    pub fn state(&self) -> MachineState {
        self.state
    }

    /// Returns the offer from which the machine was rented.
    #[must_use]
    pub fn offer(&self) -> Offer {
        self.offer
    }

    /// Returns the machine type.
    #[must_use]
    pub fn machine_type(&self) -> MachineTypeIndex {
        self.offer.machine_type
    }

    /// Returns the machine's zone.
    #[must_use]
    pub fn zone(&self) -> ZoneIndex {
        self.offer.zone
    }

    /// Reports whether this is a spot machine.
    #[must_use]
    pub fn is_spot(&self) -> bool {
        self.offer.spot
    }

    /// Returns the time since which the machine has had no task, or `None` if it has tasks or has not come up yet.
    #[must_use]
    pub fn idle_since(&self) -> Option<Timestamp> {
        self.load.idle_since()
    }

    /// Changes the state and reports whether it changed. [`MachineState::Releasing`] is never left, because the release call
    /// may already be on its way and may execute at any later time.
    pub(super) fn transition(&mut self, next: MachineState, reason: &str) -> bool {
        if self.state == next || self.state == MachineState::Releasing {
            return false;
        }
        tracing::info!(machine = %self.name, from = ?self.state, to = ?next, reason, "machine state changed");
        self.state = next;
        true
    }

    /// Reports whether the machine is up and has no termination notice.
    pub(in crate::scheduler) fn is_available(&self) -> bool {
        self.state == MachineState::Up && !self.eviction.has_termination_notice()
    }

    /// Reports whether tasks may be placed on the machine.
    pub(in crate::scheduler) fn accepts_tasks(
        &self,
        lease_duration: Duration,
        heartbeat_interval: Duration,
        now: Timestamp,
    ) -> bool {
        self.is_available()
            && !self.health.is_backing_off(now)
            && self.is_responsive(lease_duration, heartbeat_interval, now)
    }

    /// Reports whether the worker has acknowledged the current token, has sent a heartbeat within three intervals, and has
    /// more than half of its lease left.
    fn is_responsive(
        &self,
        lease_duration: Duration,
        heartbeat_interval: Duration,
        now: Timestamp,
    ) -> bool {
        self.contact.acknowledges_token()
            && !self.contact.is_silent_for(heartbeat_interval * 3, now)
            && !self.lease.is_renewal_overdue(lease_duration, now)
    }

    /// Reports whether the machine drains only because it is surplus, so that it may be returned to use.
    pub(in crate::scheduler) fn drains_as_surplus(&self) -> bool {
        self.eviction.is_surplus() && self.state == MachineState::Draining
    }

    /// Reports whether heartbeats of the machine are expected, which is not the case once it is to be released.
    pub(super) fn is_heartbeat_expected(&self) -> bool {
        self.contact.is_heartbeat_expected() && self.state != MachineState::Releasing
    }

    /// Returns the images that the machine holds or is fetching, the most recently used last.
    pub(in crate::scheduler) fn images(&self) -> &VecDeque<ImageIndex> {
        &self.images
    }

    /// Marks an image as the most recently used. Returns the image that is forgotten because the limit was exceeded.
    pub(in crate::scheduler) fn record_image_use(
        &mut self,
        image: ImageIndex,
    ) -> Option<ImageIndex> {
        self.images.retain(|other| *other != image);
        self.images.push_back(image);
        if self.images.len() > MAX_IMAGES_PER_MACHINE {
            self.images.pop_front()
        } else {
            None
        }
    }
}
