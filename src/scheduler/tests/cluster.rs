//! A scheduler with a fake clock and scripted workers.

use super::*;

/// A scheduler of [`EPOCH`] whose clock starts at 1000 ms, and the state of the scripted workers.
pub(super) struct Cluster {
    pub(super) scheduler: Scheduler,
    /// Sequence number of the last heartbeat of any machine.
    sequence: u64,
}

/// Returns a scheduler of an epoch that begins at this time. Each team may use this many thousandths of CPUs.
pub(super) fn scheduler_of_epoch(epoch: Epoch, cpu_limit_milli: u64, now_ms: u64) -> Scheduler {
    let team = |name: &str, guarantee| TeamQuota {
        name: name.into(),
        guarantee: QuotaResources {
            cpu_milli: guarantee,
            gpu_milli: 0,
        },
        limit: QuotaResources {
            cpu_milli: cpu_limit_milli,
            ..QuotaResources::UNLIMITED
        },
    };
    let params = Params {
        lease_duration: ms(LEASE_MS),
        heartbeat_interval: ms(1500),
        grace_period: ms(GRACE_PERIOD_MS),
        group_factor: 1.25,
        fetch_gb_per_s: 0.1,
        transfer_test: true,
        teams: vec![team("t", 0), team("u", 4000)],
        finish_within: HashMap::new(),
    };
    let mut scheduler = Scheduler::new(params, epoch, now_ms);
    let machine_type = MachineType {
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
    scheduler.update_machine_types(&[machine_type]);
    scheduler
}

impl Cluster {
    /// Creates a cluster without machines, whose teams have no limits.
    pub(super) fn new() -> Cluster {
        Cluster::with_cpu_limit(u64::MAX)
    }

    /// Creates a cluster without machines, in which each team may use this many thousandths of CPUs.
    pub(super) fn with_cpu_limit(cpu_limit_milli: u64) -> Cluster {
        Cluster::with_scheduler(scheduler_of_epoch(EPOCH, cpu_limit_milli, 1000))
    }

    /// Creates a cluster with this scheduler.
    pub(super) fn with_scheduler(scheduler: Scheduler) -> Cluster {
        Cluster {
            scheduler,
            sequence: 0,
        }
    }

    /// Adds a job whose record has this version.
    pub(super) fn submit(&mut self, spec: JobSpec, version: u64) {
        self.scheduler.add_job(
            JobRecord { spec, at_ms: 0 },
            Revision::new(version),
            &[],
            0,
            false,
        );
    }

    /// Adds a machine that was rented in this epoch and is up.
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

    /// Adds a machine that was rented in an earlier epoch and has not sent a heartbeat in this one.
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

    /// Replays a start log of earlier epochs, one slot for each entry of machine, task and attempt number.
    pub(super) fn replay(&mut self, entries: &[(&str, &str, u64)]) {
        let slots: Vec<String> = entries
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

    /// Makes the start-log entries of all assigned tasks durable.
    pub(super) fn write_start_log(&mut self) {
        while let Some(write) = self.scheduler.next_log_write(8000, 60) {
            self.scheduler.log_write_applied(write, Revision::new(200));
        }
    }

    /// Returns the next status of a machine's worker, as its heartbeats and its responses to direct commands carry it.
    pub(super) fn next_status(
        &mut self,
        machine: &str,
        token: FencingToken,
        tasks: &[ReportedTask],
    ) -> WorkerStatus {
        self.sequence += 1;
        let zone = self
            .scheduler
            .machine_index(machine)
            .map(|i| self.scheduler.zone_name(self.scheduler.machine(i).zone()));
        let statuses = tasks
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
            tasks: statuses.collect(),
        }
    }

    /// Runs a scheduling pass, makes its starts durable, then handles a heartbeat. Returns the commands of the reply.
    pub(super) fn handle_after_pass(&mut self, status: &WorkerStatus) -> Vec<Command> {
        self.scheduler.place();
        self.write_start_log();
        match self
            .scheduler
            .handle_heartbeat(status, HeartbeatSource::Request { may_start: true })
        {
            HeartbeatDecision::Reply(reply) => reply.commands,
            other => panic!("{other:?}"),
        }
    }

    /// Handles a heartbeat that lists no tasks, without a scheduling pass before, and returns the decision on it.
    pub(super) fn reply_without_pass(&mut self, machine: &str) -> HeartbeatDecision {
        let status = self.next_status(machine, first_token(EPOCH), &[]);
        self.scheduler
            .handle_heartbeat(&status, HeartbeatSource::Request { may_start: true })
    }

    /// Handles the next heartbeat of a machine after a scheduling pass. Returns the commands of the reply.
    pub(super) fn heartbeat_with_token(
        &mut self,
        machine: &str,
        token: FencingToken,
        tasks: &[ReportedTask],
    ) -> Vec<Command> {
        let status = self.next_status(machine, token, tasks);
        self.handle_after_pass(&status)
    }

    /// Handles the next heartbeat of a machine under the first token of the epoch. Returns the commands of the reply.
    pub(super) fn heartbeat(&mut self, machine: &str, tasks: &[ReportedTask]) -> Vec<Command> {
        self.heartbeat_with_token(machine, first_token(EPOCH), tasks)
    }

    /// Handles a machine's response to direct commands, which lists these tasks.
    pub(super) fn respond(&mut self, sent: &DirectCommands, tasks: &[ReportedTask]) {
        let response = self.next_status(&sent.machine, first_token(EPOCH), tasks);
        self.scheduler.handle_direct_response(sent, Some(&response));
    }

    /// Returns the machines that are unresponsive by a silence limit of 5 s, or 40 s in a zone with an outage.
    pub(super) fn unresponsive_machines(&mut self) -> Vec<MachineIndex> {
        self.scheduler.unresponsive_machines(ms(5000), ms(40_000))
    }

    /// Returns the number of tasks for which no machine is available or booting.
    pub(super) fn unmet_tasks(&mut self) -> u32 {
        let demands = self.scheduler.unmet_demand(false);
        demands.iter().map(|demand| demand.tasks).sum()
    }

    /// Returns the CPUs that a team uses, in thousandths.
    pub(super) fn cpu_milli_in_use(&self, team: &str) -> u64 {
        let quotas = &self.scheduler.quotas;
        quotas.in_use(quotas.team(team).unwrap()).cpu_milli
    }

    /// Returns the CPUs of a team's tasks that are being stopped, in thousandths.
    pub(super) fn cpu_milli_being_stopped(&self, team: &str) -> u64 {
        let quotas = &self.scheduler.quotas;
        quotas.being_stopped(quotas.team(team).unwrap()).cpu_milli
    }

    /// Advances the clock in ticks of at most 500 ms, so that the scheduler detects no pause of its process.
    pub(super) fn advance_to(&mut self, now_ms: u64) {
        while self.scheduler.now().as_millis() + 500 < now_ms {
            self.scheduler.tick(self.scheduler.now().as_millis() + 500);
        }
        self.scheduler.tick(now_ms);
    }

    /// Advances the clock in one tick, then runs a scheduling pass and makes its starts durable.
    pub(super) fn run_round(&mut self, now_ms: u64) {
        self.scheduler.tick(now_ms);
        self.scheduler.request_pass();
        self.scheduler.place();
        self.write_start_log();
    }
}
