//! A simulated cloud, which rents out machines and runs a worker on each.

use super::history::lock;
use super::rate_limit::RateLimit;
use super::topology::{ControllerId, Topology};
use super::worker::{self, Worker, WorkerSettings};
use actix_web::http::StatusCode;
use actix_web::{web, App, HttpResponse, HttpServer};
use hollowswitch::protocol::{
    decode, encode, Catalogue, ListedMachine, MachineList, MachineNames, MachineType, RentRequest,
};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::io;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Bursts worth two seconds are allowed.
const BURST_S: f64 = 2.0;
/// Maximum number of machines in one rental request.
const MAX_RENTED: u32 = 50;
/// Default number of machines on a page of the list.
const PAGE_SIZE: usize = 500;
/// Interval at which the list is recorded, so that older versions of it can be answered.
const LIST_INTERVAL: Duration = Duration::from_millis(250);

/// What the cloud offers.
#[derive(Debug, Clone)]
pub(crate) struct CloudSettings {
    /// Machine types with their zones.
    pub(crate) machine_types: Vec<MachineType>,
    /// Maximum number of rented machines of all types.
    pub(crate) capacity: usize,
    /// Time from the rental of a machine until its worker runs.
    pub(crate) boot_time: Duration,
    /// Time by which the list lags.
    pub(crate) list_lag: Duration,
    /// Requests per second.
    pub(crate) rps: f64,
    /// Number of digits in the name of a machine.
    pub(crate) name_digits: usize,
}

/// A rented machine.
struct Machine {
    listed: ListedMachine,
    rented_at: Instant,
    worker: Worker,
}

struct State {
    machines: BTreeMap<String, Machine>,
    /// Number of machines rented so far.
    rented_count: usize,
    /// Machines by the name of the rental request.
    rentals: HashMap<String, Vec<String>>,
    /// Earlier lists, the oldest first.
    lists: VecDeque<(Instant, Vec<ListedMachine>)>,
    requests: RateLimit,
    outage_until: Instant,
}

/// The simulated cloud. Clones share the machines.
#[derive(Clone)]
pub(crate) struct SimulatedCloud {
    settings: Arc<CloudSettings>,
    workers: Arc<WorkerSettings>,
    topology: Topology,
    state: Arc<Mutex<State>>,
}

impl SimulatedCloud {
    /// Creates a cloud without rented machines.
    pub(crate) fn new(
        settings: CloudSettings,
        workers: WorkerSettings,
        topology: &Topology,
    ) -> Self {
        let state = State {
            machines: BTreeMap::new(),
            rented_count: 0,
            rentals: HashMap::new(),
            lists: VecDeque::new(),
            requests: RateLimit::new(settings.rps, BURST_S),
            outage_until: Instant::now(),
        };
        SimulatedCloud {
            settings: Arc::new(settings),
            workers: Arc::new(workers),
            topology: topology.clone(),
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Starts a server for each controller. Workers run in the thread of the server that rents their machine.
    ///
    /// # Errors
    ///
    /// Returns an error if a server cannot listen on its address.
    pub(crate) fn start(&self) -> io::Result<()> {
        for controller in ControllerId::all() {
            let cloud = web::Data::new(self.clone());
            let app = move || App::new().app_data(cloud.clone()).configure(routes);
            let server = HttpServer::new(app)
                .workers(1)
                .disable_signals()
                .bind(self.topology.cloud_address(controller))?;
            actix_web::rt::spawn(server.run());
        }
        actix_web::rt::spawn(self.clone().run_list_recorder());
        Ok(())
    }

    /// Refuses all requests for some time.
    pub(crate) fn start_outage(&self, duration: Duration) {
        lock(&self.state).outage_until = Instant::now() + duration;
    }

    /// Returns the workers of all rented machines, in the order of the machines' names.
    pub(crate) fn workers(&self) -> Vec<Worker> {
        let state = lock(&self.state);
        state
            .machines
            .values()
            .map(|machine| machine.worker.clone())
            .collect()
    }

    async fn run_list_recorder(self) {
        loop {
            tokio::time::sleep(LIST_INTERVAL).await;
            let mut state = lock(&self.state);
            let list = state.list();
            let now = Instant::now();
            state.lists.push_back((now, list));
            let is_outdated = |(recorded_at, _): &(Instant, Vec<ListedMachine>)| {
                now.duration_since(*recorded_at) > self.settings.list_lag + LIST_INTERVAL
            };
            while state.lists.len() > 1 && state.lists.front().is_some_and(is_outdated) {
                state.lists.pop_front();
            }
        }
    }

    /// Rents out the requested machines as far as the capacity allows. Returns their names.
    fn rent(&self, request: &RentRequest) -> Vec<String> {
        let mut state = lock(&self.state);
        if let Some(names) = state.rentals.get(&request.name) {
            return names.clone();
        }
        let free = self.settings.capacity.saturating_sub(state.machines.len());
        let count = free.min(request.count.min(MAX_RENTED) as usize);
        let machine_type = self
            .settings
            .machine_types
            .iter()
            .find(|machine_type| machine_type.name == request.machine_type);
        let Some(machine_type) = machine_type.filter(|_| count > 0) else {
            return Vec::new();
        };
        let mut names = Vec::new();
        for _ in 0..count {
            let number = state.rented_count;
            state.rented_count += 1;
            let machine = self.start_machine(number, machine_type, request);
            names.push(machine.listed.id.clone());
            state.machines.insert(machine.listed.id.clone(), machine);
        }
        state.rentals.insert(request.name.clone(), names.clone());
        names
    }

    fn start_machine(
        &self,
        number: usize,
        machine_type: &MachineType,
        request: &RentRequest,
    ) -> Machine {
        let address = self.topology.worker_address(number);
        let listed = ListedMachine {
            id: format!("n-{number:0width$}", width = self.settings.name_digits),
            address: address.to_string(),
            machine_type: request.machine_type.clone(),
            zone: request.zone.clone(),
            spot: request.spot,
            state: "starting".into(),
            age_s: 0.0,
        };
        let worker = Worker::new(&listed, machine_type.cpus, self.workers.clone());
        let (boot_time, running) = (self.settings.boot_time, worker.clone());
        actix_web::rt::spawn(async move {
            tokio::time::sleep(boot_time).await;
            worker::run(running, address).await;
        });
        Machine {
            listed,
            rented_at: Instant::now(),
            worker,
        }
    }

    fn release(&self, names: &[String]) {
        let mut state = lock(&self.state);
        for name in names {
            if let Some(machine) = state.machines.remove(name) {
                machine.worker.shut_down();
            }
        }
    }

    /// Returns the list as it was before the lag.
    fn lagging_list(&self) -> Vec<ListedMachine> {
        let state = lock(&self.state);
        if self.settings.list_lag.is_zero() {
            return state.list();
        }
        let oldest = state.lists.front();
        oldest.map(|(_, list)| list.clone()).unwrap_or_default()
    }

    /// Returns the response that refuses a request, if the request is refused.
    fn refusal(&self) -> Option<HttpResponse> {
        let mut state = lock(&self.state);
        if Instant::now() < state.outage_until {
            return Some(HttpResponse::ServiceUnavailable().body("trouble"));
        }
        let is_admitted = state.requests.try_take(1);
        (!is_admitted).then(|| HttpResponse::TooManyRequests().finish())
    }
}

impl State {
    /// Returns the current list.
    fn list(&self) -> Vec<ListedMachine> {
        let listed = |machine: &Machine| ListedMachine {
            state: machine.worker.listed_state().into(),
            age_s: machine.rented_at.elapsed().as_secs_f64(),
            ..machine.listed.clone()
        };
        self.machines.values().map(listed).collect()
    }
}

fn cbor_response<T: serde::Serialize>(body: &T) -> HttpResponse {
    HttpResponse::build(StatusCode::OK)
        .content_type("application/cbor")
        .body(encode(body))
}

/// Handles `GET /flavors`: returns the machine types.
async fn list_machine_types(cloud: web::Data<SimulatedCloud>) -> HttpResponse {
    cloud.refusal().unwrap_or_else(|| {
        cbor_response(&Catalogue {
            machine_types: cloud.settings.machine_types.clone(),
        })
    })
}

/// Handles `POST /machines`: rents machines.
async fn rent(cloud: web::Data<SimulatedCloud>, body: web::Bytes) -> HttpResponse {
    let Ok(request) = decode::<RentRequest>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    if let Some(refusal) = cloud.refusal() {
        return refusal;
    }
    let machines = cloud.rent(&request);
    if machines.is_empty() {
        return HttpResponse::ServiceUnavailable().body("no capacity");
    }
    cbor_response(&MachineNames { machines })
}

/// Handles `POST /machines/release`: ends machines.
async fn release(cloud: web::Data<SimulatedCloud>, body: web::Bytes) -> HttpResponse {
    let Ok(request) = decode::<MachineNames>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    if let Some(refusal) = cloud.refusal() {
        return refusal;
    }
    cloud.release(&request.machines);
    HttpResponse::Ok().finish()
}

/// Handles `GET /machines`: returns a page of the rented machines.
async fn list_machines(
    cloud: web::Data<SimulatedCloud>,
    query: web::Query<BTreeMap<String, String>>,
) -> HttpResponse {
    if let Some(refusal) = cloud.refusal() {
        return refusal;
    }
    let after = query.get("after").cloned().unwrap_or_default();
    let limit = query.get("limit").and_then(|limit| limit.parse().ok());
    let list = cloud.lagging_list();
    let mut remaining = list.into_iter().filter(|machine| machine.id > after);
    let page = remaining
        .by_ref()
        .take(limit.unwrap_or(PAGE_SIZE))
        .collect();
    cbor_response(&MachineList {
        machines: page,
        has_more: remaining.next().is_some(),
    })
}

/// Registers the routes of the cloud.
fn routes(config: &mut web::ServiceConfig) {
    config
        .route("/flavors", web::get().to(list_machine_types))
        .route("/machines", web::post().to(rent))
        .route("/machines", web::get().to(list_machines))
        .route("/machines/release", web::post().to(release));
}
