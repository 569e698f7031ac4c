//! Failover after the store has lowered its limits: records that are larger than any that may be written now.

use super::*;
use crate::controller::state::OpenRental;
use crate::protocol::Txn;
use crate::store::{guard, RentalRecord, TxnSize};

/// Limit on values after the change, in bytes.
const VALUE_BYTES: usize = 1024;
/// Number of machines in one record that was stored before the change.
const MACHINES: usize = 50;

fn machine_name(number: usize) -> String {
    format!("m-{number:060}")
}

/// Returns a leader that has found a rental record of [`MACHINES`] machines and knows of the lowered limit.
fn leader_with_large_rental() -> ControllerState {
    let names: Vec<String> = (0..MACHINES).map(machine_name).collect();
    let rental = cbor!({
        "machine_type" => "m8", "zone" => "a", "spot" => false, "count" => MACHINES, "machines" => names
    });
    let mut records = stored_records();
    records.push(("hollowswitch/hire/drover-1-70-9", rental.unwrap(), 213));
    let mut controller = new_leader(records);
    while controller.write_limits().value_bytes() > VALUE_BYTES {
        let refused = TxnSize {
            changes: 1,
            guards: 2,
            largest_value: controller.write_limits().value_bytes(),
            total: 0,
        };
        controller.record_refused_transaction(&refused);
    }
    controller
}

/// Applies a transaction to the replica as the watch delivers it.
fn deliver(controller: &mut ControllerState, txn: &Txn, revision: u64) {
    let version = Revision::new(revision);
    let events: Vec<Event> = txn
        .apply
        .iter()
        .map(|change| match change.clone() {
            Change::Put { put, value, .. } => Event::Put {
                put,
                value,
                version,
            },
            Change::Delete { key } => Event::Delete { key, version },
        })
        .collect();
    let _ = controller.apply_watch_events(version, &events);
}

fn rented_machines(controller: &ControllerState) -> Vec<String> {
    let rentals = controller.replica().rentals.values();
    let machines = rentals.flat_map(|rental| rental.record.machines.iter().flatten());
    let mut names: Vec<String> = machines
        .filter(|name| name.starts_with("m-"))
        .cloned()
        .collect();
    names.sort();
    names
}

/// The removal of a released machine writes the record of those that remain. It was once refused for its size, and repeated every
/// half second; with the machines that were released later, the record was never reduced.
#[test]
fn a_large_rental_record_is_divided_when_a_machine_is_released() {
    let mut controller = leader_with_large_rental();
    let epoch = guard("hollowswitch/epoch".into(), CLAIM_REVISION);
    for released in 0..MACHINES {
        controller.record_releases(vec![machine_name(released)]);
        let cleanup = controller.rental_cleanup(&epoch).expect("a cleanup");
        assert_eq!(cleanup.machines, [machine_name(released)]);
        let size = TxnSize::of(&cleanup.txn);
        assert!(controller.write_limits().accept(&size), "{size:?}");
        deliver(&mut controller, &cleanup.txn, 500 + released as u64);
        controller.finish_rental_cleanup(&cleanup.machines);
        let remaining: Vec<String> = (released + 1..MACHINES).map(machine_name).collect();
        assert_eq!(rented_machines(&controller), remaining);
        assert!(controller.rental_cleanup(&epoch).is_none());
    }
}

/// Two records are divided one after the other: the names of their parts must differ.
#[test]
fn parts_of_rentals_get_names_that_no_other_rental_has() {
    let mut controller = leader_with_large_rental();
    let epoch = guard("hollowswitch/epoch".into(), CLAIM_REVISION);
    let names: Vec<String> = (100..150).map(machine_name).collect();
    let rental = cbor!({
        "machine_type" => "m8", "zone" => "a", "spot" => false, "count" => 50, "machines" => names
    });
    // Its name is that of the first part of the other one.
    let other = vec![("hollowswitch/hire/drover-1-70-9.1", rental.unwrap(), 400)];
    let _ = controller.apply_watch_events(Revision::new(400), &put_events(other));
    for (round, released) in [0, 100].into_iter().enumerate() {
        controller.record_releases(vec![machine_name(released)]);
        let cleanup = controller.rental_cleanup(&epoch).expect("a cleanup");
        deliver(&mut controller, &cleanup.txn, 500 + round as u64);
        controller.finish_rental_cleanup(&cleanup.machines);
    }
    let remaining: Vec<String> = (1..50).chain(101..150).map(machine_name).collect();
    assert_eq!(rented_machines(&controller), remaining);
}

/// If the names of rented machines need more records than a transaction may have changes, the rest is left to adoption. The
/// transaction would be refused otherwise, and with it every further rental.
#[test]
fn parts_of_a_rental_are_no_more_than_the_changes_of_a_transaction() {
    let mut controller = leader_with_large_rental();
    let batch = |changes| TxnSize {
        changes,
        ..TxnSize::default()
    };
    while controller.write_limits().changes() > 3 {
        let changes = controller.write_limits().changes();
        controller.record_refused_transaction(&batch(changes));
    }
    let names: Vec<String> = (200..250).map(machine_name).collect();
    let parts = controller.rental_parts(&OpenRental {
        name: "drover-0-77-1".into(),
        record: RentalRecord {
            machine_type: "m8".into(),
            zone: "a".into(),
            spot: false,
            count: 50,
            machines: Some(names.clone()),
        },
        version: Revision::new(7),
    });
    let txn = Txn {
        guards: parts.iter().map(OpenRental::guard).collect(),
        apply: parts.iter().map(OpenRental::change).collect(),
    };
    assert!(controller.write_limits().accept(&TxnSize::of(&txn)));
    let versions: Vec<u64> = parts.iter().map(|part| part.version.as_u64()).collect();
    assert_eq!(versions, [7, 0, 0]);
    let stored: Vec<String> = parts
        .iter()
        .flat_map(|part| part.record.machines.clone().unwrap())
        .collect();
    assert!(stored.len() > 30 && names.starts_with(&stored));
}
