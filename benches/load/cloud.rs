//! A stand-in for the cloud: machines of one type that are up as soon as they are rented.

use crate::topology::{worker_address, ZONE};
use crate::worker;
use actix_web::{web, HttpResponse};
use hollowswitch::protocol::{
    decode, encode, Catalogue, ListedMachine, MachineList, MachineNames, MachineType, RentRequest,
};
use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard};

/// Name of the only machine type.
const MACHINE_TYPE: &str = "standard";
/// Boot time of a machine in seconds.
const BOOT_S: f64 = 1.0;

/// The stand-in.
pub(crate) struct Cloud {
    /// Most machines that it rents out.
    capacity: usize,
    /// CPUs of a machine.
    cpus: f64,
    /// What the workers of its machines need.
    worker: worker::Settings,
    /// The rented machines by name.
    machines: Mutex<BTreeMap<String, ListedMachine>>,
}

impl Cloud {
    /// A cloud of which nothing is rented yet.
    pub(crate) fn new(capacity: usize, cpus: f64, worker: worker::Settings) -> Self {
        Cloud {
            capacity,
            cpus,
            worker,
            machines: Mutex::default(),
        }
    }

    /// Rents out as many of the machines as there are, and runs their workers; returns the machines' names.
    fn rent(&self, request: &RentRequest) -> Vec<String> {
        let mut machines = self.machines();
        let rented = machines.len();
        let wanted = rented + request.count as usize;
        let mut names = Vec::new();
        for number in rented..self.capacity.min(wanted) {
            let name = format!("n-{number:06}");
            let address = worker_address(number);
            let machine = ListedMachine {
                id: name.clone(),
                address: format!("{address}:{}", self.worker.port),
                machine_type: request.machine_type.clone(),
                zone: request.zone.clone(),
                spot: request.spot,
                state: "running".into(),
                age_s: BOOT_S,
            };
            let worker = worker::run(machine.clone(), address, self.worker.clone());
            actix_web::rt::spawn(worker);
            machines.insert(name.clone(), machine);
            names.push(name);
        }
        names
    }

    fn machines(&self) -> MutexGuard<'_, BTreeMap<String, ListedMachine>> {
        self.machines.lock().expect("no handler panics")
    }
}

async fn flavors(cloud: web::Data<Cloud>) -> HttpResponse {
    let machine_type = MachineType {
        name: MACHINE_TYPE.into(),
        cpus: cloud.cpus,
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
        machine_types: vec![machine_type],
    }))
}

async fn rent(cloud: web::Data<Cloud>, body: web::Bytes) -> HttpResponse {
    let Ok(request) = decode::<RentRequest>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    let names = cloud.rent(&request);
    if names.is_empty() {
        return HttpResponse::ServiceUnavailable().body("no capacity");
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
        has_more: rows.next().is_some(),
    }))
}

/// The routes of the cloud. Nothing is released in these runs.
pub(crate) fn routes(config: &mut web::ServiceConfig) {
    config
        .route("/flavors", web::get().to(flavors))
        .route("/machines", web::post().to(rent))
        .route("/machines", web::get().to(list));
}
