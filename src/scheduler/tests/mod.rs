//! The scheduler under a fake clock, with scripted workers.

mod booting;
mod health;
mod large_fleets;
mod new_leader;
mod placement;
mod proofs;
mod responsiveness;
mod start_log;

use super::*;
use crate::protocol::{
    Command, ExitReason, JobSpec, Kind, Priority, Report, TaskReport, TaskState,
};
use crate::resources::QuotaResources;
use crate::store::{LiveRecord, LoggedJob, Revision};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

const LEASE: u64 = 12_000;

const GRACE: u64 = 10_000;

/// A job like many.
pub(crate) fn spec(id: &str, tasks: u32) -> JobSpec {
    JobSpec {
        id: id.into(),
        class: "c".into(),
        team: "t".into(),
        kind: Kind::Array,
        priority: Priority::Normal,
        tasks,
        cpus: 2.0,
        gpus: 0.0,
        memory_gb: 2.0,
        image: "i".into(),
        image_gb: 1.0,
        types: None,
        zone: None,
        together: false,
        scatter: false,
        spot: true,
        estimate_s: 60.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
    }
}

/// A scheduler of epoch 5, at time 1000.
struct World {
    scheduler: Scheduler,
    seq: u64,
}

impl World {
    fn new() -> World {
        World::with(u64::MAX)
    }

    fn with(limit: u64) -> World {
        let team = |name: &str, guarantee| TeamQuota {
            name: name.into(),
            guarantee: QuotaResources {
                cpu_milli: guarantee,
                accelerator_milli: 0,
            },
            limit: QuotaResources {
                cpu_milli: limit,
                ..QuotaResources::UNLIMITED
            },
        };
        let params = Params {
            lease: ms(LEASE),
            heartbeat_interval: ms(1500),
            grace_period: ms(GRACE),
            group_factor: 1.25,
            fetch_gb_per_s: 0.1,
            transfer_test: true,
            teams: vec![team("t", 0), team("u", 4000)],
            finish_within: HashMap::new(),
        };
        let mut scheduler = Scheduler::new(params, 5, 1000);
        let kind = MachineType {
            name: "m8".into(),
            cpus: 8.0,
            gpus: 0.0,
            memory_gb: 32.0,
            cache_gb: 50.0,
            fetch_gb_per_s: 0.1,
            price: 1.0,
            spot_price: 0.3,
            boot_s: 30.0,
            zones: vec!["a".into(), "b".into()],
        };
        scheduler.set_types(&[kind]);
        World { scheduler, seq: 0 }
    }

    fn job(&mut self, spec: JobSpec, version: u64) {
        self.scheduler.add_job(
            LiveRecord { spec, at_ms: 0 },
            Revision::new(version),
            &[],
            0,
            false,
        );
    }

    /// A machine of this epoch, up.
    fn machine(&mut self, name: &str, zone: &str) {
        self.scheduler.add_machine(
            name,
            Hardware {
                machine_type: "m8",
                zone,
                spot: false,
            },
            Origin::Rented,
        );
        self.tell_token(name, FencingToken::ZERO, &[]);
        self.tell_token(name, self.token(), &[]);
    }

    /// A machine that was rented before this epoch.
    fn known(&mut self, name: &str) {
        self.scheduler.add_machine(
            name,
            Hardware {
                machine_type: "m8",
                zone: "a",
                spot: false,
            },
            Origin::Inherited,
        );
    }

    /// The start log of earlier epochs: machine, task, attempt.
    fn inherit(&mut self, lines: &[(&str, &str, u64)]) {
        let slots: Vec<String> = lines
            .iter()
            .map(|(m, task, attempt)| {
                let (job, t) = task.split_once('/').unwrap();
                format!("{m} 1.2.3.4:9 /{job} {t}.{attempt:x}")
            })
            .collect();
        self.scheduler
            .replay_start_log(slots.iter().enumerate().map(|(i, s)| StoredSlot {
                number: i as u32,
                version: Revision::new(50),
                text: s.as_str(),
            }));
    }

    /// Makes the lines of assigned starts durable.
    fn log(&mut self) {
        while let Some(append) = self.scheduler.next_log_write(8000, 60) {
            self.scheduler.log_write_applied(append, Revision::new(200));
        }
    }

    fn token(&self) -> FencingToken {
        first_token(5)
    }

    fn report(
        &mut self,
        machine: &str,
        token: FencingToken,
        tasks: &[(&str, u64, TaskState, Option<ExitReason>)],
    ) -> Report {
        self.seq += 1;
        let zone = self
            .scheduler
            .machine_index(machine)
            .map(|i| self.scheduler.zone_name(self.scheduler.machine(i).zone()));
        let lines = tasks
            .iter()
            .map(|(task, attempt, state, reason)| TaskReport {
                task: (*task).into(),
                attempt: *attempt,
                state: *state,
                reason: *reason,
                saved: None,
            });
        Report {
            machine: machine.into(),
            address: "1.2.3.4:9".into(),
            machine_type: "m8".into(),
            zone: zone.unwrap_or("a").into(),
            spot: false,
            session: 1,
            seq: self.seq,
            token,
            notice_s: None,
            tasks: lines.collect(),
        }
    }

    fn answer(&mut self, r: &Report) -> Vec<Command> {
        self.scheduler.place();
        self.log();
        match self
            .scheduler
            .handle_heartbeat(r, HeartbeatSource::Request { may_start: true })
        {
            HeartbeatDecision::Reply(reply) => reply.orders,
            other => panic!("{other:?}"),
        }
    }

    fn tell_token(
        &mut self,
        machine: &str,
        token: FencingToken,
        tasks: &[(&str, u64, TaskState, Option<ExitReason>)],
    ) -> Vec<Command> {
        let r = self.report(machine, token, tasks);
        self.answer(&r)
    }

    /// A report under the current token.
    fn tell(
        &mut self,
        machine: &str,
        tasks: &[(&str, u64, TaskState, Option<ExitReason>)],
    ) -> Vec<Command> {
        self.tell_token(machine, self.token(), tasks)
    }

    /// CPUs in thousandths that a team uses.
    fn cpu_milli_in_use(&self, team: &str) -> u64 {
        let quotas = &self.scheduler.quotas;
        quotas.in_use(quotas.team(team).unwrap()).cpu_milli
    }

    /// CPUs in thousandths of a team that are being evicted.
    fn cpu_milli_being_evicted(&self, team: &str) -> u64 {
        let quotas = &self.scheduler.quotas;
        quotas.being_evicted(quotas.team(team).unwrap()).cpu_milli
    }

    /// Lets time pass tick by tick, as a node that has its processor does.
    fn pass_to(&mut self, now: u64) {
        while self.scheduler.now().as_millis() + 500 < now {
            self.scheduler.tick(self.scheduler.now().as_millis() + 500);
        }
        self.scheduler.tick(now);
    }

    fn tick(&mut self, now: u64) {
        self.scheduler.tick(now);
        self.scheduler.reconsider();
        self.scheduler.place();
        self.log();
    }
}

/// A scheduler with one start of `wk-1` that waits for its line, and the machine it is for.
pub(crate) fn with_a_start_to_log(version: Revision) -> (Scheduler, &'static str) {
    let mut w = World::new();
    w.machine("n-1", "a");
    w.job(spec("wk-1", 1), version.as_u64());
    w.scheduler.place();
    (w.scheduler, "n-1")
}

fn counts(done: u32, running: u32) -> TaskCounts {
    TaskCounts { done, running }
}

/// A job with starts in a write of the log.
fn logged(id: &str, version: u64) -> LoggedJob {
    LoggedJob {
        id: id.into(),
        version: Revision::new(version),
    }
}

/// The starts among orders.
fn starts(orders: &[Command]) -> Vec<(String, u64)> {
    let start = |o: &Command| match o {
        Command::Start { task, attempt } => Some((task.clone(), *attempt)),
        _ => None,
    };
    orders.iter().filter_map(start).collect()
}

fn stops(orders: &[Command]) -> usize {
    orders
        .iter()
        .filter(|o| matches!(o, Command::Stop { .. }))
        .count()
}

impl Scheduler {
    /// What a test wants to see of a scheduler that does not do what it should.
    #[must_use]
    pub fn describe(&self) -> String {
        let machine = |(i, m): (MachineIndex, &Machine)| {
            format!(
                "{} {} {:?} zone {} current {} heard {} answer {} direct {} room {:?} tasks {:?} before {}\n",
                i.position(),
                m.name(),
                m.state(),
                m.zone().position(),
                m.contact.acknowledges_token(),
                m.contact.heard_at().as_millis(),
                m.lease.answered_at().as_millis(),
                m.commands.is_direct_in_flight(),
                m.load.free(),
                m.load.tasks(),
                m.health.backoff_until().as_millis()
            )
        };
        let job = |j: &Job| {
            format!(
                "{} ended {} pending {} zones {:?} active {:?} before {} turn {:?}\n",
                j.record.spec.id,
                j.cancelled,
                j.pending(),
                j.active_by_zone,
                j.active,
                j.retry_at,
                j.record.spec.together
            )
        };
        let machines: String = self.machines().map(machine).collect();
        let jobs: String = self.jobs().map(job).collect();
        format!(
            "now {} quotas {:?}\n{machines}{jobs}{:?}",
            self.now.as_millis(),
            self.quotas,
            self.start_log
        )
    }
}
