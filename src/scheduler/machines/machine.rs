//! What is known of one machine.

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

/// Images remembered for a machine.
const IMAGES_PER_MACHINE: usize = 24;

/// The state of a machine.
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

/// A machine of the scheduler.
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
    /// Measured speed, by class of jobs.
    pub(in crate::scheduler) capability: Capability,
    /// Images that it holds or is fetching, the latest used last.
    images: VecDeque<ImageIndex>,
}

impl Machine {
    /// A machine that became known just now.
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

    /// Its name.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Its state.
    #[must_use]
    pub fn state(&self) -> MachineState {
        self.state
    }

    /// The offer that it was rented from.
    #[must_use]
    pub fn offer(&self) -> Offer {
        self.offer
    }

    /// Its type.
    #[must_use]
    pub fn machine_type(&self) -> MachineTypeIndex {
        self.offer.machine_type
    }

    /// Its zone.
    #[must_use]
    pub fn zone(&self) -> ZoneIndex {
        self.offer.zone
    }

    /// Whether it is a spot machine.
    #[must_use]
    pub fn is_spot(&self) -> bool {
        self.offer.spot
    }

    /// Since when no task is there; none before it has come up.
    #[must_use]
    pub fn idle_since(&self) -> Option<Timestamp> {
        self.load.idle_since()
    }

    /// Changes its state. False if nothing changes: a release may have been sent, which may execute at any later time, so
    /// that there is no way back from it.
    pub(super) fn transition(&mut self, next: MachineState, reason: &str) -> bool {
        if self.state == next || self.state == MachineState::Releasing {
            return false;
        }
        tracing::info!(machine = %self.name, from = ?self.state, to = ?next, reason, "machine");
        self.state = next;
        true
    }

    /// Whether it is up and not about to be taken by the cloud.
    pub(in crate::scheduler) fn is_available(&self) -> bool {
        self.state == MachineState::Up && !self.eviction.has_notice()
    }

    /// Whether tasks may be placed on it.
    pub(in crate::scheduler) fn accepts_tasks(
        &self,
        lease: Duration,
        heartbeat_interval: Duration,
        now: Timestamp,
    ) -> bool {
        self.is_available()
            && !self.health.is_backing_off(now)
            && self.is_responsive(lease, heartbeat_interval, now)
    }

    /// Whether its worker shows the current token and has done so recently, with a lease that lasts.
    fn is_responsive(&self, lease: Duration, heartbeat_interval: Duration, now: Timestamp) -> bool {
        self.contact.acknowledges_token()
            && !self.contact.is_silent_for(heartbeat_interval * 3, now)
            && !self.lease.is_half_over(lease, now)
    }

    /// Whether it is drained only as surplus, so that it may be used again.
    pub(in crate::scheduler) fn drains_as_surplus(&self) -> bool {
        self.eviction.is_surplus() && self.state == MachineState::Draining
    }

    /// Whether it should send heartbeats. One that is being released already is left out.
    pub(super) fn is_expected(&self) -> bool {
        self.contact.is_expected() && self.state != MachineState::Releasing
    }

    /// The images that it holds or is fetching, the latest used last.
    pub(in crate::scheduler) fn images(&self) -> &VecDeque<ImageIndex> {
        &self.images
    }

    /// Notes the use of an image. Returns the image that is no longer remembered for it.
    pub(in crate::scheduler) fn use_image(&mut self, image: ImageIndex) -> Option<ImageIndex> {
        self.images.retain(|other| *other != image);
        self.images.push_back(image);
        if self.images.len() > IMAGES_PER_MACHINE {
            self.images.pop_front()
        } else {
            None
        }
    }
}
