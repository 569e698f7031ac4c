//! A simulated cloud. It offers machines of one type, which run as soon as they are rented.

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
/// Nominal boot time of a machine, in seconds.
const BOOT_S: f64 = 1.0;

/// The simulated cloud.
pub(crate) struct SimulatedCloud {
    /// Maximum number of rented machines.
    capacity: usize,
    /// Number of CPUs per machine.
    cpus: f64,
    /// Settings of the workers on the machines.
    worker: worker::Settings,
    /// Rented machines by name.
    machines: Mutex<BTreeMap<String, ListedMachine>>,
}

impl SimulatedCloud {
    /// Creates a cloud without rented machines.
    pub(crate) fn new(capacity: usize, cpus: f64, worker: worker::Settings) -> Self {
        SimulatedCloud {
            capacity,
            cpus,
            worker,
            machines: Mutex::default(),
        }
    }

    /// Rents out the requested machines as far as the capacity allows, and starts their workers. Returns the names of the
    /// machines.
    fn rent(&self, request: &RentRequest) -> Vec<String> {
        let mut machines = self.lock_machines();
        let rented_count = machines.len();
        let wanted_count = rented_count + request.count as usize;
        let mut names = Vec::new();
        for number in rented_count..self.capacity.min(wanted_count) {
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

    /// Locks the rented machines.
    fn lock_machines(&self) -> MutexGuard<'_, BTreeMap<String, ListedMachine>> {
        self.machines
            .lock()
            .expect("no handler panics while it holds the lock")
    }
}

/// Handles `GET /flavors`: returns the machine types.
async fn list_machine_types(cloud: web::Data<SimulatedCloud>) -> HttpResponse {
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

/// Handles `POST /machines`: rents machines.
async fn rent(cloud: web::Data<SimulatedCloud>, body: web::Bytes) -> HttpResponse {
    let Ok(request) = decode::<RentRequest>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    let names = cloud.rent(&request);
    if names.is_empty() {
        return HttpResponse::ServiceUnavailable().body("no capacity");
    }
    HttpResponse::Ok().body(encode(&MachineNames { machines: names }))
}

/// Handles `GET /machines`: returns a page of the rented machines.
async fn list_machines(
    cloud: web::Data<SimulatedCloud>,
    query: web::Query<BTreeMap<String, String>>,
) -> HttpResponse {
    let after = query.get("after").cloned().unwrap_or_default();
    let limit = query
        .get("limit")
        .and_then(|limit| limit.parse().ok())
        .unwrap_or(500);
    let machines = cloud.lock_machines();
    let mut remaining = machines.values().filter(|machine| machine.id > after);
    let page = remaining.by_ref().take(limit).cloned().collect();
    HttpResponse::Ok().body(encode(&MachineList {
        machines: page,
        has_more: remaining.next().is_some(),
    }))
}

/// Registers the routes of the cloud. There is no route to release machines, since none are released in these runs.
pub(crate) fn routes(config: &mut web::ServiceConfig) {
    config
        .route("/flavors", web::get().to(list_machine_types))
        .route("/machines", web::post().to(rent))
        .route("/machines", web::get().to(list_machines));
}
