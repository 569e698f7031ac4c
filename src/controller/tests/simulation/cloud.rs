//! The cloud: machines of one type in two zones, which the leader rents and releases.

use super::workers::Worker;
use super::{Simulation, NODES};
use crate::autoscaler::{release_silent_machines, ScalingPolicy};
use crate::protocol::{Guard, MachineType};
use crate::scheduler::{Hardware, Origin};
use crate::store::{self, RentalRecord, Revision, TxnOutcome};
use rand::Rng;
use std::time::Duration;

/// The zones of the cloud.
pub(super) const ZONES: [&str; 2] = ["a", "b"];

/// Time between two cloud rounds of the leader.
const ROUND_INTERVAL: Duration = Duration::from_millis(400);

/// Time from the rental of a machine to the first heartbeat of its worker.
const BOOT_TIME: Duration = Duration::from_secs(3);

/// The simulated cloud.
pub(super) struct Cloud {
    /// Number of machines that the leader keeps rented.
    target_machines: u32,
    /// Number of rental requests so far. It numbers the machines and the rental records.
    rental_count: u64,
}

impl Cloud {
    /// Creates a cloud from which the leader rents a number of machines.
    pub(super) fn new(target_machines: u32) -> Cloud {
        Cloud {
            target_machines,
            rental_count: 0,
        }
    }

    /// Returns the number of machines that the leader keeps rented.
    pub(super) fn target_machines(&self) -> u32 {
        self.target_machines
    }
}

/// Returns the only machine type.
pub(super) fn machine_type() -> MachineType {
    MachineType {
        name: "m8".into(),
        cpus: 8.0,
        gpus: 0.0,
        memory_gb: 32.0,
        cache_gb: 50.0,
        fetch_gb_per_s: 1.0,
        price: 1.0,
        spot_price: 0.3,
        boot_s: 5.0,
        zones: ZONES.map(String::from).to_vec(),
    }
}

fn rental_record(zone: &str, machine: &str) -> RentalRecord {
    RentalRecord {
        machine_type: "m8".into(),
        zone: zone.into(),
        spot: false,
        count: 1,
        machines: Some(vec![machine.into()]),
    }
}

impl Simulation {
    /// Runs a cloud round of the leader: releases silent machines, and rents one if there are fewer than the target.
    pub(super) fn cloud_round(&mut self, node: usize) {
        let now = self.now();
        if now < self.nodes[node].next_cloud_round_at || self.faults.cloud_down {
            return;
        }
        self.nodes[node].next_cloud_round_at = now + ROUND_INTERVAL;
        let Some(epoch) = self.nodes[node].running_controller().write_guard() else {
            return;
        };
        self.release_machines(node);
        if self.workers.len() < self.cloud.target_machines as usize {
            self.rent_machine(node, &epoch);
        }
    }

    /// Releases the machines that have been silent for too long and the other ones that the scheduler wants to release.
    fn release_machines(&mut self, node: usize) {
        let controller = self.nodes[node].running_controller_mut();
        let policy = ScalingPolicy::new(controller.settings());
        let scheduler = controller.scheduler_mut().unwrap();
        release_silent_machines(scheduler, &policy);
        let released = controller.releasable_machines();
        controller.record_releases(released.clone());
        for machine in &released {
            self.workers.remove(machine);
        }
    }

    /// Rents a machine in the zone with fewer machines. No machine is added if the write of the rental record fails or is not
    /// answered.
    fn rent_machine(&mut self, node: usize, epoch: &Guard) {
        self.cloud.rental_count += 1;
        let number = self.cloud.rental_count;
        let machine = format!("n-{number:04}");
        let in_first_zone = self
            .workers
            .values()
            .filter(|worker| worker.zone == ZONES[0])
            .count();
        let zone = ZONES[usize::from(in_first_zone * 2 > self.workers.len())];
        let record = rental_record(zone, &machine);
        let txn = store::rental_txn(epoch, &format!("r-{number}"), Revision::ZERO, &record);
        if !matches!(self.transact(node, &txn), Ok(TxnOutcome::Applied(_))) {
            return;
        }
        let hardware = Hardware {
            machine_type: "m8",
            zone,
            spot: false,
        };
        self.nodes[node]
            .leader_scheduler_mut()
            .add_machine(&machine, hardware, Origin::Rented);
        self.boot(machine, zone);
    }

    /// Boots a machine. Its worker sends the first heartbeat to a random controller.
    fn boot(&mut self, machine: String, zone: &str) {
        let up_at = self.now() + BOOT_TIME;
        let first_node = self.rng.gen_range(0..NODES);
        let worker = Worker::booting(zone, first_node, up_at);
        self.workers.insert(machine, worker);
    }
}
