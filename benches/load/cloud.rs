//! A stand-in for the cloud: machines of one type that are up as soon as they are rented.

use crate::worker;
use actix_web::{web, HttpResponse};
use hollowswitch::protocol::{
    decode, encode, Catalogue, ListedMachine, MachineList, MachineNames, MachineType, RentRequest,
};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::sync::Mutex;

/// Name of the only machine type.
const MACHINE_TYPE: &str = "standard";
/// Name of the only zone.
pub(crate) const ZONE: &str = "a";
/// Boot time of a machine in seconds.
const BOOT_S: f64 = 1.0;

/// The stand-in.
pub(crate) struct Cloud {
    /// Most machines it rents.
    pub capacity: usize,
    /// What the workers of its machines need.
    pub worker: worker::Settings,
    machines: Mutex<BTreeMap<String, ListedMachine>>,
}

impl Cloud {
    /// A cloud of which nothing is rented yet.
    pub(crate) fn new(capacity: usize, worker: worker::Settings) -> Self {
        Cloud {
            capacity,
            worker,
            machines: Mutex::default(),
        }
    }

    fn machines(&self) -> std::sync::MutexGuard<'_, BTreeMap<String, ListedMachine>> {
        self.machines.lock().expect("no handler panics")
    }
}

/// Each worker has an address of its own in the loopback range.
fn address(index: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, 1, (index / 250) as u8, (index % 250 + 1) as u8)
}

async fn flavors(cloud: web::Data<Cloud>) -> HttpResponse {
    let machine_type = MachineType {
        name: MACHINE_TYPE.into(),
        cpus: cloud.worker.cpus,
        gpus: 0.0,
        memory_gb: 256.0,
        cache_gb: 50.0,
        fetch_gb_per_s: 0.5,
        price: 1.0,
        spot_price: 0.9,
        boot_s: BOOT_S,
        zones: vec![ZONE.into()],
    };
    HttpResponse::Ok().body(encode(&Catalogue {
        types: vec![machine_type],
    }))
}

async fn rent(cloud: web::Data<Cloud>, body: web::Bytes) -> HttpResponse {
    let Ok(request) = decode::<RentRequest>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    let mut machines = cloud.machines();
    let from = machines.len();
    let names: Vec<String> = (from..cloud.capacity.min(from + request.count as usize))
        .map(|i| format!("n-{i:06}"))
        .collect();
    if names.is_empty() {
        return HttpResponse::ServiceUnavailable().body("no capacity");
    }
    for (i, name) in names.iter().enumerate() {
        let machine = ListedMachine {
            id: name.clone(),
            address: format!("{}:{}", address(from + i), cloud.worker.port),
            machine_type: request.machine_type.clone(),
            zone: request.zone.clone(),
            spot: request.spot,
            state: "running".into(),
            age_s: BOOT_S,
        };
        actix_web::rt::spawn(worker::run(
            machine.clone(),
            address(from + i),
            cloud.worker.clone(),
        ));
        machines.insert(name.clone(), machine);
    }
    HttpResponse::Ok().body(encode(&MachineNames { machines: names }))
}

async fn list(
    cloud: web::Data<Cloud>,
    query: web::Query<BTreeMap<String, String>>,
) -> HttpResponse {
    let after = query.get("after").cloned().unwrap_or_default();
    let limit = query
        .get("limit")
        .and_then(|limit| limit.parse().ok())
        .unwrap_or(500);
    let machines = cloud.machines();
    let mut rows = machines.values().filter(|machine| machine.id > after);
    let page = rows.by_ref().take(limit).cloned().collect();
    HttpResponse::Ok().body(encode(&MachineList {
        machines: page,
        more: rows.next().is_some(),
    }))
}

/// The routes of the cloud. Nothing is released in these runs.
pub(crate) fn routes(config: &mut web::ServiceConfig) {
    config
        .route("/flavors", web::get().to(flavors))
        .route("/machines", web::post().to(rent))
        .route("/machines", web::get().to(list));
}
