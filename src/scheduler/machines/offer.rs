//! Machine type, zone and purchase model of machines, and how a machine became known.

use crate::scheduler::index::{MachineTypeIndex, ZoneIndex};
use crate::store::RentalRecord;

/// An offer of the cloud: machines of one type in one zone, spot or on demand.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Offer {
    /// Machine type.
    pub machine_type: MachineTypeIndex,
    /// Zone.
    pub zone: ZoneIndex,
    /// Whether the offer is for spot machines.
    pub spot: bool,
}

/// Type, zone and purchase model of a machine, by the cloud's names.
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
    /// Rented in this epoch.
    Rented,
    /// Known to exist, but without a rental record until this leader wrote one.
    Adopted,
    /// Read from a rental record of an earlier epoch; possibly released or preempted since.
    Inherited,
}
