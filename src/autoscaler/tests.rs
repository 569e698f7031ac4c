//! Tests of the order of rental requests and of the avoidance of offers.

use super::*;
use crate::protocol::MachineType;
use crate::resources::Resources;
use crate::scheduler::{DenseIndex, Hardware, MachineTypeIndex, Origin, Params, ZoneIndex};
use crate::store::Epoch;
use std::collections::HashMap;

const BOOT_S: f64 = 20.0;
const IDLE_LIMIT: Duration = Duration::from_secs(45);
const HORIZON: Duration = Duration::from_secs(35);
const COOLDOWN: Duration = Duration::from_secs(2);

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

/// Returns a scheduler with two machine types, of which the first is cheaper.
fn scheduler() -> Scheduler {
    let params = Params {
        lease_duration: Duration::from_secs(12),
        heartbeat_interval: Duration::from_millis(1500),
        grace_period: Duration::from_secs(10),
        group_factor: 1.25,
        fetch_gb_per_s: 0.1,
        transfer_test: true,
        teams: Vec::new(),
        finish_within: HashMap::new(),
    };
    let machine_type = |name: &str, price: f64| MachineType {
        name: name.into(),
        cpus: 8.0,
        gpus: 0.0,
        memory_gb: 32.0,
        cache_gb: 50.0,
        fetch_gb_per_s: 0.1,
        price,
        spot_price: price,
        boot_s: BOOT_S,
        zones: vec!["a".into()],
    };
    let mut scheduler = Scheduler::new(params, Epoch::new(1), 1000);
    scheduler.update_machine_types(&[machine_type("cheap", 1.0), machine_type("expensive", 2.0)]);
    scheduler
}

/// Returns the demand for a number of tasks, each of which fills a machine.
fn demand(tasks: u32) -> UnmetDemand {
    UnmetDemand {
        task_resources: Resources {
            cpu_milli: 8000,
            gpu_milli: 0,
            memory_mb: 1000,
        },
        tasks,
        spot: false,
        types: None,
        zones: None,
        service: false,
    }
}

/// Returns the offer of on-demand machines of a type.
fn offer(machine_type: usize) -> Offer {
    Offer {
        machine_type: MachineTypeIndex::from_position(machine_type),
        zone: ZoneIndex::from_position(0),
        spot: false,
    }
}

fn request(offer: Offer, count: u32) -> RentalRequest {
    RentalRequest { offer, count }
}

#[test]
fn an_offer_requested_recently_yields_to_other_offers() {
    let mut autoscaler = Autoscaler::default();
    let urgent = offer(0);
    let other = Offer {
        spot: true,
        ..urgent
    };
    let both = || vec![request(urgent, 2), request(other, 50)];
    assert_eq!(
        autoscaler.next_request(both(), COOLDOWN, at(1000)),
        Some(request(urgent, 2))
    );
    // Urgent demand that arrives a few tasks at a time must not use up every call to the cloud.
    assert_eq!(
        autoscaler.next_request(both(), COOLDOWN, at(1700)),
        Some(request(other, 50))
    );
    // Both offers were requested recently, so the most urgent request comes first.
    assert_eq!(
        autoscaler.next_request(both(), COOLDOWN, at(2400)),
        Some(request(urgent, 2))
    );
    assert_eq!(
        autoscaler.next_request(vec![request(urgent, 1)], COOLDOWN, at(2500)),
        Some(request(urgent, 1))
    );
    assert_eq!(
        autoscaler.next_request(Vec::new(), COOLDOWN, at(2600)),
        None
    );
    assert_eq!(
        autoscaler.next_request(both(), COOLDOWN, at(9000)),
        Some(request(urgent, 2))
    );
}

#[test]
fn an_offer_whose_machines_do_not_come_up_is_avoided_for_a_limited_time() {
    let (mut scheduler, mut autoscaler) = (scheduler(), Autoscaler::default());
    let (cheap, expensive) = (offer(0), offer(1));
    let hardware = Hardware {
        machine_type: "cheap",
        zone: "a",
        spot: false,
    };
    let requests = |autoscaler: &Autoscaler, scheduler: &Scheduler, now| {
        autoscaler.requests_for_demand(scheduler, &[demand(3)], at(now))
    };
    assert_eq!(
        requests(&autoscaler, &scheduler, 1000),
        vec![request(cheap, 3)]
    );
    (0..3).for_each(|n| scheduler.add_machine(&format!("n-{n}"), hardware, Origin::Rented));
    scheduler.advance_clock(60_000);
    autoscaler.release_unneeded(&mut scheduler, IDLE_LIMIT, HORIZON, at(60_000));
    assert!(scheduler.machines_to_release(9).is_empty());
    scheduler.advance_clock(62_000);
    autoscaler.release_unneeded(&mut scheduler, IDLE_LIMIT, HORIZON, at(62_000));
    assert_eq!(scheduler.machines_to_release(9).len(), 3);
    // If the offer were requested again at once, the demand would wait for another boot timeout each time.
    assert_eq!(
        requests(&autoscaler, &scheduler, 62_000),
        vec![request(expensive, 3)]
    );
    let only_cheap = UnmetDemand {
        types: Some(vec![MachineTypeIndex::from_position(0)]),
        ..demand(1)
    };
    assert!(autoscaler
        .requests_for_demand(&scheduler, std::slice::from_ref(&only_cheap), at(62_000))
        .is_empty());
    // The offer is requested again later, and its machines then have twice the time to come up.
    assert_eq!(
        autoscaler.requests_for_demand(&scheduler, &[only_cheap], at(123_000)),
        vec![request(cheap, 1)]
    );
    scheduler.advance_clock(123_000);
    scheduler.add_machine("n-9", hardware, Origin::Rented);
    scheduler.advance_clock(123_000 + 115_000);
    autoscaler.release_unneeded(&mut scheduler, IDLE_LIMIT, HORIZON, at(238_000));
    assert_eq!(scheduler.machines_to_release(9).len(), 3);
    scheduler.advance_clock(123_000 + 121_000);
    autoscaler.release_unneeded(&mut scheduler, IDLE_LIMIT, HORIZON, at(244_000));
    assert_eq!(scheduler.machines_to_release(9).len(), 4);
}
