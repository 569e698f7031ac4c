//! A scheduler with scripted workers.

use super::*;

/// A scheduler of epoch 5, at time 1000.
pub(super) struct Cluster {
    pub(super) scheduler: Scheduler,
    /// The sequence number of the last heartbeat.
    sequence: u64,
}

impl Cluster {
    /// A cluster without machines, whose teams have no limits.
    pub(super) fn new() -> Cluster {
        Cluster::with(u64::MAX)
    }

    /// A cluster without machines, whose teams may use that many thousandths of CPUs.
    pub(super) fn with(limit: u64) -> Cluster {
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
        let mut scheduler = Scheduler::new(params, EPOCH, 1000);
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
        scheduler.update_machine_types(&[kind]);
        Cluster {
            scheduler,
            sequence: 0,
        }
    }

    /// Adds a job.
    pub(super) fn submit(&mut self, spec: JobSpec, version: u64) {
        self.scheduler.add_job(
            LiveRecord { spec, at_ms: 0 },
            Revision::new(version),
            &[],
            0,
            false,
        );
    }

    /// A machine of this epoch, up.
    pub(super) fn add_machine(&mut self, name: &str, zone: &str) {
        self.scheduler.add_machine(
            name,
            Hardware {
                machine_type: "m8",
                zone,
                spot: false,
            },
            Origin::Rented,
        );
        self.heartbeat_with_token(name, FencingToken::ZERO, &[]);
        self.heartbeat_with_token(name, first_token(EPOCH), &[]);
    }

    /// A machine that was rented before this epoch.
    pub(super) fn inherit_machine(&mut self, name: &str) {
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

    /// Replays a start log of earlier epochs: machine, task, attempt.
    pub(super) fn replay(&mut self, lines: &[(&str, &str, u64)]) {
        let slots: Vec<String> = lines
            .iter()
            .map(|(machine, task, attempt)| {
                let (job, number) = task.split_once('/').unwrap();
                format!("{machine} 1.2.3.4:9 /{job} {number}.{attempt:x}")
            })
            .collect();
        let slots = (0..).zip(&slots).map(|(number, text)| StoredSlot {
            number,
            version: Revision::new(50),
            text,
        });
        self.scheduler.replay_start_log(slots);
    }

    /// Makes the entries of assigned starts durable.
    pub(super) fn write_start_log(&mut self) {
        while let Some(write) = self.scheduler.next_log_write(8000, 60) {
            self.scheduler.log_write_applied(write, Revision::new(200));
        }
    }

    /// The next heartbeat of a machine.
    pub(super) fn report(
        &mut self,
        machine: &str,
        token: FencingToken,
        tasks: &[TaskLine],
    ) -> WorkerStatus {
        self.sequence += 1;
        let zone = self
            .scheduler
            .machine_index(machine)
            .map(|i| self.scheduler.zone_name(self.scheduler.machine(i).zone()));
        let lines = tasks
            .iter()
            .map(|(task, attempt, state, reason)| TaskStatus {
                task: (*task).into(),
                attempt: *attempt,
                state: *state,
                reason: *reason,
                saved: None,
            });
        WorkerStatus {
            machine: machine.into(),
            address: "1.2.3.4:9".into(),
            machine_type: "m8".into(),
            zone: zone.unwrap_or("a").into(),
            spot: false,
            session: 1,
            sequence: self.sequence,
            token,
            termination_notice_s: None,
            tasks: lines.collect(),
        }
    }

    /// Handles a heartbeat, after a scheduling pass whose starts are durable; returns the commands of the reply.
    pub(super) fn handle(&mut self, r: &WorkerStatus) -> Vec<Command> {
        self.scheduler.place();
        self.write_start_log();
        match self
            .scheduler
            .handle_heartbeat(r, HeartbeatSource::Request { may_start: true })
        {
            HeartbeatDecision::Reply(reply) => reply.commands,
            other => panic!("{other:?}"),
        }
    }

    /// The reply to an empty heartbeat of a machine, without a scheduling pass before.
    pub(super) fn reply_without_pass(&mut self, machine: &str) -> HeartbeatDecision {
        let heartbeat = self.report(machine, first_token(EPOCH), &[]);
        self.scheduler
            .handle_heartbeat(&heartbeat, HeartbeatSource::Request { may_start: true })
    }

    /// A machine sends a heartbeat.
    pub(super) fn heartbeat_with_token(
        &mut self,
        machine: &str,
        token: FencingToken,
        tasks: &[TaskLine],
    ) -> Vec<Command> {
        let r = self.report(machine, token, tasks);
        self.handle(&r)
    }

    /// A machine sends a heartbeat under the current token.
    pub(super) fn heartbeat(&mut self, machine: &str, tasks: &[TaskLine]) -> Vec<Command> {
        self.heartbeat_with_token(machine, first_token(EPOCH), tasks)
    }

    /// A machine responds to direct commands with these tasks.
    pub(super) fn respond(&mut self, sent: &DirectCommands, tasks: &[TaskLine]) {
        let response = self.report(&sent.machine, first_token(EPOCH), tasks);
        self.scheduler.handle_direct_response(sent, Some(&response));
    }

    /// Machines that are unresponsive, by the times that the controller uses.
    pub(super) fn unresponsive_machines(&mut self) -> Vec<MachineIndex> {
        self.scheduler.unresponsive_machines(ms(5000), ms(40_000))
    }

    /// How many tasks find no machine.
    pub(super) fn unmet_tasks(&mut self) -> u32 {
        let demands = self.scheduler.unmet_demand(false);
        demands.iter().map(|demand| demand.tasks).sum()
    }

    /// CPUs in thousandths that a team uses.
    pub(super) fn cpu_milli_in_use(&self, team: &str) -> u64 {
        let quotas = &self.scheduler.quotas;
        quotas.in_use(quotas.team(team).unwrap()).cpu_milli
    }

    /// CPUs in thousandths of a team that are being evicted.
    pub(super) fn cpu_milli_being_evicted(&self, team: &str) -> u64 {
        let quotas = &self.scheduler.quotas;
        quotas.being_evicted(quotas.team(team).unwrap()).cpu_milli
    }

    /// Lets time pass tick by tick, as a controller does whose process does not pause.
    pub(super) fn advance_to(&mut self, now: u64) {
        while self.scheduler.now().as_millis() + 500 < now {
            self.scheduler.tick(self.scheduler.now().as_millis() + 500);
        }
        self.scheduler.tick(now);
    }

    /// Moves the clock and runs a round of the leader: a scheduling pass whose starts are durable.
    pub(super) fn run_round(&mut self, now: u64) {
        self.scheduler.tick(now);
        self.scheduler.reconsider();
        self.scheduler.place();
        self.write_start_log();
    }
}
