//! The wire: message shapes, their odd names, and the checks at the door.
//!
//! Everything beyond this module uses the field's standard terms (job, task, machine, attempt, lease, token, quota).

#[cfg(test)]
mod tests;

use serde::de::{DeserializeOwned, Deserializer, Error, Visitor};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Largest body accepted from users and workers.
pub const BODY_LIMIT: usize = 64 * 1024;
/// Most tasks a job may have.
pub const TASK_LIMIT: u32 = 100_000;
const NAME_LIMIT: usize = 200;

/// Encodes a body as CBOR.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut out = Vec::with_capacity(256);
    // Writing to a Vec cannot fail; a type that cannot be represented would show in the tests of this module.
    if ciborium::into_writer(value, &mut out).is_err() {
        out.clear();
    }
    out
}

/// Decodes a CBOR body; trailing bytes are refused.
pub fn decode<T: DeserializeOwned>(mut body: &[u8]) -> Option<T> {
    let value = ciborium::de::from_reader_with_recursion_limit(&mut body, 32).ok()?;
    body.is_empty().then_some(value)
}

/// Accepts any number, whole or not, as a finite decimal.
fn num<'de, D: Deserializer<'de>>(d: D) -> Result<f64, D::Error> {
    struct V;
    impl Visitor<'_> for V {
        type Value = f64;
        fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
            f.write_str("a finite number")
        }
        fn visit_f64<E: Error>(self, v: f64) -> Result<f64, E> {
            if v.is_finite() {
                Ok(v)
            } else {
                Err(E::custom("not finite"))
            }
        }
        fn visit_u64<E: Error>(self, v: u64) -> Result<f64, E> {
            Ok(v as f64)
        }
        fn visit_i64<E: Error>(self, v: i64) -> Result<f64, E> {
            Ok(v as f64)
        }
        fn visit_u128<E: Error>(self, v: u128) -> Result<f64, E> {
            Ok(v as f64)
        }
        fn visit_i128<E: Error>(self, v: i128) -> Result<f64, E> {
            Ok(v as f64)
        }
    }
    d.deserialize_any(V)
}

fn opt_num<'de, D: Deserializer<'de>>(d: D) -> Result<Option<f64>, D::Error> {
    #[derive(Deserialize)]
    struct N(#[serde(deserialize_with = "num")] f64);
    Ok(Option::<N>::deserialize(d)?.map(|n| n.0))
}

/// Whether a job's tasks end by themselves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// Independent tasks that run to completion.
    #[serde(rename = "array")]
    Array,
    /// Replicas that run until the job is cancelled.
    #[serde(rename = "daemon")]
    Service,
    /// Tasks that run together and to completion: started whole or not at all.
    #[serde(rename = "gang")]
    Gang,
}

/// Priority classes, the highest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Priority {
    /// Production.
    #[serde(rename = "prod")]
    Production,
    /// High.
    #[serde(rename = "urgent")]
    High,
    /// Normal.
    #[serde(rename = "standard")]
    Normal,
    /// Low.
    #[serde(rename = "idle")]
    Low,
}

/// A job as its user describes it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Unique job id.
    pub id: String,
    /// Class named in the objectives.
    #[serde(rename = "lane")]
    pub class: String,
    /// Team whose guarantee and limit apply.
    #[serde(rename = "crew")]
    pub team: String,
    /// Array or service.
    #[serde(rename = "shape")]
    pub kind: Kind,
    /// Priority.
    #[serde(rename = "rank")]
    pub priority: Priority,
    /// Number of tasks.
    #[serde(rename = "chores")]
    pub tasks: u32,
    /// CPUs a task takes.
    #[serde(rename = "cores", deserialize_with = "num")]
    pub cpus: f64,
    /// Accelerators a task takes.
    #[serde(rename = "cards", deserialize_with = "num")]
    pub gpus: f64,
    /// Memory a task takes.
    #[serde(rename = "memGb", deserialize_with = "num")]
    pub memory_gb: f64,
    /// Image a machine must hold.
    #[serde(rename = "bundle")]
    pub image: String,
    /// Size of the image.
    #[serde(rename = "pullGb", deserialize_with = "num")]
    pub image_gb: f64,
    /// Allowed machine types; none: any.
    #[serde(rename = "breeds", default)]
    pub types: Option<Vec<String>>,
    /// The only allowed zone.
    #[serde(rename = "yard", default)]
    pub zone: Option<String>,
    /// All tasks in one zone.
    #[serde(rename = "together")]
    pub together: bool,
    /// At most half of the tasks in one zone.
    #[serde(rename = "scatter")]
    pub scatter: bool,
    /// May use spot machines.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// The owner's estimate of a task's run time.
    #[serde(rename = "reckonS", deserialize_with = "num")]
    pub estimate_s: f64,
    /// Progress between checkpoints; 0: never saves.
    #[serde(rename = "markEveryS", deserialize_with = "num")]
    pub checkpoint_s: f64,
    /// Time a task needs to save when stopped.
    #[serde(rename = "stowS", deserialize_with = "num")]
    pub save_s: f64,
    /// When the job should be complete, from its submission.
    #[serde(rename = "dueS", default, deserialize_with = "opt_num")]
    pub deadline_s: Option<f64>,
}

impl JobSpec {
    /// The checks behind a 400: the message names the field.
    pub fn check(&self) -> Result<(), &'static str> {
        let amount = |x: f64| x.is_finite() && (0.0..=1e9).contains(&x);
        let name = |s: &str| !s.is_empty() && s.len() <= NAME_LIMIT;
        if !job_id(&self.id) {
            return Err("id");
        }
        if !name(&self.class) || !name(&self.team) || !name(&self.image) {
            return Err("lane, crew or bundle");
        }
        if self.tasks == 0 || self.tasks > TASK_LIMIT {
            return Err("chores");
        }
        if !amount(self.cpus) || self.cpus <= 0.0 {
            return Err("cores");
        }
        let amounts = [self.gpus, self.memory_gb, self.image_gb, self.estimate_s, self.checkpoint_s, self.save_s];
        if !amounts.into_iter().all(amount) {
            return Err("an amount");
        }
        if self.deadline_s.is_some_and(|d| !amount(d)) {
            return Err("dueS");
        }
        if self.types.as_ref().is_some_and(|t| t.len() > 64 || !t.iter().all(|s| name(s))) {
            return Err("breeds");
        }
        if self.zone.as_ref().is_some_and(|z| !name(z)) {
            return Err("yard");
        }
        Ok(())
    }
}

/// Whether a job id has the form that all have.
pub fn job_id(id: &str) -> bool {
    id.strip_prefix("wk-").is_some_and(|n| (1..=20).contains(&n.len()) && n.bytes().all(|b| b.is_ascii_digit()))
}

/// A job's state as users see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobState {
    /// No task runs.
    Queued,
    /// Some task runs.
    Running,
    /// Every task is done.
    Done,
    /// Its user cancelled it.
    Cancelled,
}

/// An answer about a job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobView {
    /// Job id.
    pub id: String,
    /// State.
    #[serde(rename = "standing")]
    pub state: JobState,
    /// Tasks done.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub done: Option<u32>,
    /// Tasks running.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub running: Option<u32>,
}

/// What a worker says of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskState {
    /// Waiting for its image.
    #[serde(rename = "pulling")]
    Fetching,
    /// Has its image and waits for the rest of its gang.
    #[serde(rename = "gathering")]
    Gathering,
    /// Running.
    #[serde(rename = "running")]
    Running,
    /// Told to stop and saving.
    #[serde(rename = "flushing")]
    Saving,
    /// Ended.
    #[serde(rename = "exited")]
    Exited,
    /// Anything else.
    #[serde(other)]
    Other,
}

/// Why a task ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExitReason {
    /// Completed.
    #[serde(rename = "done")]
    Done,
    /// Stopped by command.
    #[serde(rename = "halted")]
    Stopped,
    /// Failed.
    #[serde(rename = "error")]
    Error,
    /// Refused: not enough room.
    #[serde(rename = "full")]
    NoRoom,
    /// Refused: here with another attempt.
    #[serde(rename = "in_use")]
    Busy,
    /// Refused: no such job.
    #[serde(rename = "unknown")]
    Unknown,
    /// Anything else.
    #[serde(other)]
    Other,
}

/// A task in a report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskReport {
    /// `job/number`.
    #[serde(rename = "chore")]
    pub task: String,
    /// Attempt.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// State.
    #[serde(rename = "standing")]
    pub state: TaskState,
    /// Why it ended.
    #[serde(rename = "cause", default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<ExitReason>,
    /// Whether its progress was saved.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub saved: Option<bool>,
}

/// A worker's report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Machine name.
    #[serde(rename = "host")]
    pub machine: String,
    /// Where it takes direct orders.
    pub address: String,
    /// Machine type.
    #[serde(rename = "breed")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Spot machine.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Session.
    #[serde(rename = "shift")]
    pub session: u64,
    /// Sequence number.
    #[serde(rename = "tally")]
    pub seq: u64,
    /// Highest token seen.
    #[serde(rename = "baton")]
    pub token: u64,
    /// Seconds until the cloud takes the machine.
    #[serde(rename = "recallS", default, deserialize_with = "opt_num", skip_serializing_if = "Option::is_none")]
    pub notice_s: Option<f64>,
    /// All tasks there.
    #[serde(rename = "chores")]
    pub tasks: Vec<TaskReport>,
}

/// Splits `job/number`.
pub fn split_task(task: &str) -> Option<(&str, u32)> {
    let (job, number) = task.split_once('/')?;
    Some((job, number.parse().ok()?))
}

/// A command to a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb")]
pub enum Command {
    /// Start a task.
    #[serde(rename = "start")]
    Start {
        /// `job/number`.
        #[serde(rename = "chore")]
        task: String,
        /// Attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
    /// Stop a task.
    #[serde(rename = "halt")]
    Stop {
        /// `job/number`.
        #[serde(rename = "chore")]
        task: String,
        /// Attempt.
        #[serde(rename = "try")]
        attempt: u64,
        /// Time to save in.
        #[serde(rename = "windDownS")]
        grace_s: f64,
    },
    /// Remove an exited task from the reports.
    #[serde(rename = "clear")]
    Forget {
        /// `job/number`.
        #[serde(rename = "chore")]
        task: String,
        /// Attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// The answer to a report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReportReply {
    /// The token the commands are given under.
    #[serde(rename = "baton")]
    pub token: u64,
    /// Commands, executed in order.
    pub orders: Vec<Command>,
}

/// Commands sent straight to a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DirectOrders {
    /// Token.
    #[serde(rename = "baton")]
    pub token: u64,
    /// Session they are meant for.
    #[serde(rename = "shift")]
    pub session: u64,
    /// Commands.
    pub orders: Vec<Command>,
}

/// Where a worker should report instead.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Redirect {
    /// The node's name.
    #[serde(rename = "foreman", skip_serializing_if = "Option::is_none")]
    pub report_to: Option<String>,
}

/// A machine type as the cloud offers it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Name.
    #[serde(rename = "sku")]
    pub name: String,
    /// CPUs.
    #[serde(rename = "cores", deserialize_with = "num")]
    pub cpus: f64,
    /// Accelerators.
    #[serde(rename = "cards", deserialize_with = "num")]
    pub gpus: f64,
    /// Memory.
    #[serde(rename = "memGb", deserialize_with = "num")]
    pub memory_gb: f64,
    /// Room for images.
    #[serde(rename = "cacheGb", deserialize_with = "num")]
    pub cache_gb: f64,
    /// Nominal fetch rate.
    #[serde(rename = "fetchGbPerS", deserialize_with = "num")]
    pub fetch_gb_per_s: f64,
    /// Price an hour.
    #[serde(deserialize_with = "num")]
    pub price: f64,
    /// Spot price an hour.
    #[serde(rename = "lowPrice", deserialize_with = "num")]
    pub spot_price: f64,
    /// Usual boot time.
    #[serde(rename = "startupS", deserialize_with = "num")]
    pub boot_s: f64,
    /// Zones that have it.
    #[serde(rename = "yards")]
    pub zones: Vec<String>,
}

/// The catalogue of machine types.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Catalogue {
    /// The types.
    #[serde(rename = "breeds")]
    pub types: Vec<MachineType>,
}

/// A request for machines.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RentRequest {
    /// Unique request name.
    #[serde(rename = "hire")]
    pub request: String,
    /// Machine type.
    #[serde(rename = "breed")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Spot machines.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// How many.
    #[serde(rename = "howMany")]
    pub count: u32,
}

/// Names of machines, rented or to be released.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineNames {
    /// The names.
    #[serde(rename = "hosts")]
    pub machines: Vec<String>,
}

/// A machine in the cloud's list.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Name.
    pub id: String,
    /// Address of its worker.
    pub address: String,
    /// Type.
    #[serde(rename = "breed")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Spot machine.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// `starting`, `running` or `failed`.
    #[serde(rename = "standing")]
    pub state: String,
    /// Age since the request.
    #[serde(rename = "ageS", deserialize_with = "num")]
    pub age_s: f64,
}

/// A page of the cloud's list.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineList {
    /// Machines by name.
    #[serde(rename = "hosts")]
    pub machines: Vec<ListedMachine>,
    /// Whether another page follows.
    #[serde(rename = "hasNext")]
    pub more: bool,
}

/// A condition of a transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Guard {
    /// Key.
    #[serde(rename = "path")]
    pub key: String,
    /// Expected version; 0: the key does not exist.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A change in a transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Change {
    /// Writes a key.
    Put {
        /// Key.
        put: String,
        /// Value.
        #[serde(rename = "v")]
        value: ciborium::Value,
        /// State-service lease the key is attached to.
        #[serde(rename = "tenure", skip_serializing_if = "Option::is_none", default)]
        lease: Option<u64>,
    },
    /// Removes a key.
    Delete {
        /// Key.
        #[serde(rename = "drop")]
        key: String,
    },
}

/// A transaction.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Txn {
    /// Conditions.
    pub guards: Vec<Guard>,
    /// Changes.
    #[serde(skip_serializing_if = "Vec::is_empty", default)]
    pub apply: Vec<Change>,
}

/// The outcome of a transaction.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TxnReply {
    /// Keys whose condition failed.
    #[serde(default)]
    pub failed: Vec<String>,
    /// Revision.
    #[serde(rename = "ledger")]
    pub revision: u64,
}

/// A key's content.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Item {
    /// Key.
    #[serde(rename = "path")]
    pub key: String,
    /// Value.
    #[serde(rename = "v")]
    pub value: ciborium::Value,
    /// Version.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A page of keys.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Page {
    /// Items by key.
    #[serde(rename = "rows")]
    pub items: Vec<Item>,
    /// Whether another page follows.
    #[serde(rename = "hasNext")]
    pub more: bool,
    /// Revision.
    #[serde(rename = "ledger")]
    pub revision: u64,
}

/// A change seen by a watch.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Event {
    /// A key was written.
    Put {
        /// Key.
        put: String,
        /// Value.
        #[serde(rename = "v")]
        value: ciborium::Value,
        /// Version.
        #[serde(rename = "stamp")]
        version: u64,
    },
    /// A key was removed.
    Delete {
        /// Key.
        #[serde(rename = "drop")]
        key: String,
        /// Version of the removal.
        #[serde(rename = "stamp")]
        version: u64,
    },
}

/// The answer of a watch.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Watched {
    /// Revision.
    #[serde(rename = "ledger")]
    pub revision: u64,
    /// Changes in order.
    pub events: Vec<Event>,
}

/// A new lease of the state service.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Life without renewal.
    #[serde(rename = "lifeMs")]
    pub ttl_ms: u64,
}

/// A lease's id.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LeaseReply {
    /// Id.
    #[serde(rename = "tenure")]
    pub lease: u64,
}
