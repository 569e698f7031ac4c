//! What a machine is in the terms of the cloud.

use crate::scheduler::index::{MachineTypeIndex, ZoneIndex};
use crate::store::RentalRecord;

/// What the cloud offers: machines of a type in a zone, spot or on demand.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Offer {
    /// Machine type.
    pub machine_type: MachineTypeIndex,
    /// Zone.
    pub zone: ZoneIndex,
    /// Whether these are spot machines.
    pub spot: bool,
}

/// What a machine is, by the names of the cloud.
#[derive(Debug, Clone, Copy)]
pub struct Hardware<'a> {
    /// Name of the machine type.
    pub machine_type: &'a str,
    /// Name of the zone.
    pub zone: &'a str,
    /// Whether it is a spot machine.
    pub spot: bool,
}

impl<'a> From<&'a RentalRecord> for Hardware<'a> {
    fn from(rental: &'a RentalRecord) -> Self {
        Hardware {
            machine_type: &rental.machine_type,
            zone: &rental.zone,
            spot: rental.spot,
        }
    }
}

/// How a machine became known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// Rented just now.
    Rented,
    /// Unregistered, but known to be there.
    Found,
    /// Recorded in the store: rented in an earlier epoch, and perhaps released or preempted since.
    Inherited,
}
