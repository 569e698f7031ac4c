//! Machines: what becomes of them, what is sent to them, what time alone brings.

use super::attempt::{Phase, Route, TaskEvent};
use super::index::{MachineIndex, MachineTypeIndex, ZoneIndex};
use super::machine::{DirectCommands, Hardware, Machine, MachineState, Offer, Origin};
use super::reports::HeartbeatSource;
use super::start_log::is_loggable_name;
use super::Scheduler;
use crate::placement::Capability;
use crate::protocol::Report;
use crate::protocol::{Command, Kind};
use crate::time::millis;
use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};

/// A margin beside the drift of clocks, in milliseconds.
const LEASE_MARGIN_MS: u64 = 500;
/// Beside the time in which every machine reports, before a node takes itself for cut off.
const ISOLATION_MARGIN_MS: u64 = 500;
/// Two probes that all go unanswered, and their way.
const UNANSWERED_MS: u64 = 5000;
/// Between two ticks of a node that has its processor.
const TICK_GAP_MS: u64 = 1000;

impl Scheduler {
    /// Takes in a machine that the store records. One of an earlier epoch may have been released or taken meanwhile; a new leader
    /// once counted on the room of such machines for most of a minute.
    pub fn add_machine(&mut self, name: &str, of: Hardware, origin: Origin) {
        if self.knows(name) || !is_loggable_name(name) {
            return;
        }
        let machine_type = self
            .machine_types
            .index(of.machine_type)
            .unwrap_or(MachineTypeIndex::UNKNOWN);
        let free = self.machine_types.capacity(machine_type);
        let zone = self.zones.add(of.zone);
        let machine = Machine {
            name: name.to_string(),
            state: MachineState::Waiting,
            machine_type,
            zone,
            spot: of.spot,
            since: self.now,
            idle_since: None,
            address: String::new(),
            free,
            tasks: BTreeSet::new(),
            service_cpus: 0,
            stopping: 0,
            counter: 0,
            last: (0, 0),
            last_live: (0, 0),
            current: false,
            reported_at: None,
            origin,
            listed: false,
            rented_before_ms: 0,
            contacted: false,
            last_heard: self.now,
            last_answer: self.now,
            session_seen: 0,
            notice_at: None,
            images: VecDeque::new(),
            c: Capability::default(),
            errors: Vec::new(),
            faulty: false,
            not_before: 0,
            direct: false,
            direct_starts: false,
            probe_at: 0,
            surplus: false,
        };
        let index = self
            .free_machines
            .pop()
            .unwrap_or_else(|| self.machines.push(None));
        self.machines[index] = Some(machine);
        self.machine_index.insert(name.to_string(), index);
        self.changed = true;
    }

    /// The one place where a machine's state changes.
    pub fn set_machine_state(&mut self, i: MachineIndex, next: MachineState, reason: &str) {
        let m = self.machine_mut(i);
        // A release may have been sent: it may execute at any later time, so there is no way back.
        if m.state == next || m.state == MachineState::Releasing {
            return;
        }
        tracing::info!(machine = %m.name, from = ?m.state, to = ?next, reason, "machine");
        m.state = next;
        // A release executes late or not at all: what of ours has not been sent yet must not be any more.
        if next != MachineState::Up {
            let unsent: Vec<_> = self.machine(i).tasks.iter().copied().collect();
            for task in unsent {
                if self
                    .attempt(task)
                    .is_some_and(|a| a.phase == Phase::Assigned)
                {
                    self.apply_event(task, TaskEvent::Gone);
                }
            }
        }
        self.changed = true;
    }

    /// The cloud has confirmed that a machine is gone, and everything on it.
    pub fn machine_gone(&mut self, name: &str) {
        let Some(i) = self.machine_index.remove(name) else {
            return;
        };
        for task in self.machine(i).tasks.clone() {
            self.apply_event(task, TaskEvent::Gone);
        }
        for image in self.machine(i).images.clone() {
            self.let_image_go(i, image);
        }
        self.outbox.remove(&i);
        self.machines[i] = None;
        self.free_machines.push(i);
        for job in self.jobs.values_mut() {
            job.failures.remove_machine(i);
        }
        self.changed = true;
    }

    /// Machines that may hold tasks of earlier epochs and were neither heard nor outwaited nor released.
    #[must_use]
    pub fn unreconciled_machines(&self) -> usize {
        self.machines()
            .filter(|(_, m)| !m.current && !m.tasks.is_empty())
            .count()
    }

    /// The cloud lists a machine. If it is running, it should be heard from now on. If it starts, its age tells how long it has
    /// been on its way: without it, each new leader would wait anew for machines that never come up.
    pub fn record_listing(&mut self, i: MachineIndex, running: bool, address: &str, age_ms: u64) {
        let now = self.now;
        let m = self.machine_mut(i);
        m.listed = true;
        if !running {
            m.rented_before_ms = m.rented_before_ms.max(age_ms.saturating_sub(now - m.since));
            return;
        }
        if m.address.is_empty() {
            m.address = address.to_string();
        }
        if !m.contacted {
            m.contacted = true;
            m.last_heard = now;
        }
    }

    /// For how long a machine has been on its way.
    fn boot_age_ms(&self, m: &Machine) -> u64 {
        self.now
            .saturating_sub(m.since)
            .saturating_add(m.rented_before_ms)
    }

    /// Whether a machine has been on its way for too long to be worth its price any more. One that was heard, or is listed as
    /// running, is judged by its silence instead.
    #[must_use]
    pub fn boot_timed_out(&self, m: &Machine) -> bool {
        m.state == MachineState::Waiting
            && !m.contacted
            && self.boot_age_ms(m)
                > self.boot_times.give_up_ms(
                    m.offer(),
                    self.machine_types.nominal_boot_ms(m.machine_type),
                )
    }

    /// Gives up a machine that has not come up. If its offer is in doubt, tells for how long to ask others: as long as it took
    /// to learn this.
    pub fn abandon_boot(&mut self, i: MachineIndex) -> Option<(Offer, u64)> {
        let m = self.machine(i);
        let (offer, nominal_ms, age_ms) = (
            m.offer(),
            self.machine_types.nominal_boot_ms(m.machine_type),
            self.boot_age_ms(m),
        );
        let rented_at = m.since.saturating_sub(m.rented_before_ms);
        let in_doubt = self
            .boot_times
            .gave_up(offer, nominal_ms, rented_at, self.now);
        self.set_machine_state(i, MachineState::Releasing, "never came up");
        in_doubt.then_some((offer, age_ms))
    }

    /// A machine that was rented in this epoch has come up.
    pub(super) fn measure_boot(&mut self, i: MachineIndex) {
        let m = self.machine(i);
        if m.origin == Origin::Rented {
            let (offer, since, nominal_ms) = (
                m.offer(),
                m.since,
                self.machine_types.nominal_boot_ms(m.machine_type),
            );
            self.boot_times
                .came_up(offer, nominal_ms, since, self.now.saturating_sub(since));
        }
    }

    /// Whether a machine is on its way up, so that its room may be counted on.
    pub(super) fn on_its_way(&self, m: &Machine) -> bool {
        let certain = m.origin != Origin::Inherited || m.listed;
        let late = self.boot_age_ms(m)
            > self.boot_times.expected_ms(
                m.offer(),
                self.machine_types.nominal_boot_ms(m.machine_type),
            );
        m.state == MachineState::Waiting && certain && m.tasks.is_empty() && !late
    }

    fn lease_has_expired(&self, m: &Machine) -> bool {
        self.now
            > m.last_answer.max(m.session_seen)
                + self.params.lease_ms
                + self.params.lease_ms / 500
                + LEASE_MARGIN_MS
    }

    /// Machines that should be heard from and have not shown the current token for `silent_ms`, less those of zones that
    /// are out: a zone of which most is quiet is cut off rather than dead, and what is up there will be of use as soon as it
    /// is back. Those are given up after `lost_ms` only.
    ///
    /// Whether most is quiet is asked of a shorter time, in which a machine surely reports: a leader that heard nobody any
    /// more once released hundreds of healthy machines in the seconds in which the silence had reached some of them and
    /// not yet the others.
    ///
    /// Those of a zone that is back have the time of a silence from then on: those not heard in its first moments were once
    /// given up at once.
    pub fn unresponsive_machines(&mut self, silent_ms: u64, lost_ms: u64) -> Vec<MachineIndex> {
        for zone in self.zones_out() {
            self.out_at.insert(zone, self.now);
        }
        let late = |m: &Machine| {
            let out_at = self.out_at.get(&m.zone).copied().unwrap_or(0);
            self.now > m.last_heard + silent_ms
                && (self.now > out_at + silent_ms || self.now > m.last_heard + lost_ms)
        };
        self.expected()
            .filter(|(_, m)| late(m))
            .map(|(i, _)| i)
            .collect()
    }

    /// Machines that should be heard from. Those being released already are left out.
    fn expected(&self) -> impl Iterator<Item = (MachineIndex, &Machine)> {
        self.machines()
            .filter(|(_, m)| m.contacted && m.state != MachineState::Releasing)
    }

    /// The time in which a machine surely reports.
    fn quiet_ms(&self) -> u64 {
        self.params.report_ms * 3 / 2
    }

    /// How many of each zone's machines are quiet, and how many there are.
    fn quiet_by_zone(&self) -> HashMap<ZoneIndex, (usize, usize)> {
        let mut zones: HashMap<ZoneIndex, (usize, usize)> = HashMap::new();
        for (_, m) in self.expected() {
            let (quiet, all) = zones.entry(m.zone).or_default();
            *quiet += usize::from(self.now > m.last_heard + self.quiet_ms());
            *all += 1;
        }
        zones
    }

    /// Zones of which most machines are quiet.
    fn zones_out(&self) -> HashSet<ZoneIndex> {
        let out = self
            .quiet_by_zone()
            .into_iter()
            .filter(|(_, (quiet, all))| *all > 2 && quiet * 2 > *all);
        out.map(|(z, _)| z).collect()
    }

    /// Zones of which nothing is heard: whatever came up there would be out of reach.
    #[must_use]
    pub fn unreachable_zones(&self) -> HashSet<ZoneIndex> {
        let unreachable = self
            .quiet_by_zone()
            .into_iter()
            .filter(|(_, (quiet, all))| *all > 2 && quiet == all);
        unreachable.map(|(z, _)| z).collect()
    }

    /// Whether none of the machines that should be heard from has reported of late, under whichever token: then it is this
    /// node that is cut off. A new leader that nobody has answered yet knows sooner, since it asks everybody when it begins: an
    /// new leader cut off like its predecessor once held the leadership until the leases had run out.
    #[must_use]
    pub fn is_isolated_from_workers(&self) -> bool {
        let heard = |m: &Machine| {
            m.reported_at
                .is_some_and(|at| self.now <= at + self.quiet_ms() + ISOLATION_MARGIN_MS)
        };
        let fresh = self.expected().all(|(_, m)| m.last == (0, 0));
        let after = if fresh {
            UNANSWERED_MS
        } else {
            2 * self.quiet_ms() + ISOLATION_MARGIN_MS
        };
        self.expected()
            .filter(|(_, m)| self.now > m.since + after)
            .count()
            > 2
            && !self.expected().any(|(_, m)| heard(m))
    }

    /// This node stood still for a time, or had no processor: what it has not heard meanwhile says nothing of the machines.
    pub fn compensate_process_pause(&mut self, for_ms: u64) {
        for m in self.machines.values_mut().flatten() {
            m.last_heard += for_ms;
            m.reported_at = m.reported_at.map(|at| at + for_ms);
        }
    }

    /// Starts and stops to be sent straight to workers, at most one message a machine at a time.
    pub fn direct_commands(&mut self, most: usize) -> Vec<DirectCommands> {
        let mut out = Vec::new();
        for i in self.outbox.clone() {
            if out.len() >= most {
                break;
            }
            let Some(m) = self.machines[i].as_ref() else {
                self.outbox.remove(&i);
                continue;
            };
            // Stays in the outbox until it can be told, by an order or in the answer to its report.
            if !m.current || m.direct {
                continue;
            }
            self.outbox.remove(&i);
            let mut orders = Vec::new();
            let (machine, address, token, session) =
                (m.name.clone(), m.address.clone(), self.token(m), m.last.0);
            self.collect_stops(i, &mut orders);
            // A release may take long where the cloud does not answer: what is cancelled there is stopped meanwhile.
            if self.machine(i).state != MachineState::Releasing {
                self.collect_starts(i, Route::Direct, &mut orders);
            }
            if !orders.is_empty() {
                let m = self.machine_mut(i);
                m.direct = true;
                m.direct_starts |= orders.iter().any(|o| matches!(o, Command::Start { .. }));
                out.push(DirectCommands {
                    machine,
                    address,
                    token,
                    session,
                    orders,
                });
            }
        }
        out
    }

    /// Whether direct commands may still be sent: every start in them is of an attempt that is to run. A connection may take
    /// seconds, in which the job is called off and that is confirmed to its user.
    #[must_use]
    pub fn is_still_valid(&self, direct: &DirectCommands) -> bool {
        direct.orders.iter().all(|command| match command {
            Command::Start { task, attempt } => self.is_to_run(task, *attempt),
            _ => true,
        })
    }

    fn is_to_run(&self, task: &str, attempt: u64) -> bool {
        self.find_task(task)
            .and_then(|task| self.attempt(task))
            .is_some_and(|a| a.attempt == attempt && !a.is_stopping())
    }

    /// How much waits for a machine to be heard or proven gone, the most first: replicas, other tasks, nothing.
    fn worth(&self, m: &Machine) -> (std::cmp::Reverse<u64>, std::cmp::Reverse<usize>) {
        (
            std::cmp::Reverse(m.service_cpus),
            std::cmp::Reverse(m.tasks.len()),
        )
    }

    /// Machines to be released, those first of which most waits for the proof that they are gone: when many fall together,
    /// the calls take them a hundred at a time.
    #[must_use]
    pub fn machines_to_release(&self, most: usize) -> Vec<String> {
        let mut all: Vec<_> = self
            .machines()
            .filter(|(_, m)| m.state == MachineState::Releasing)
            .collect();
        all.sort_by_key(|(i, m)| (self.worth(m), *i));
        all.into_iter()
            .take(most)
            .map(|(_, m)| m.name.clone())
            .collect()
    }

    /// Empty orders for machines that are overdue or have not shown the current token yet: the answer is a report under
    /// it, much sooner than the worker's next one. Those that may hold replicas come first, then those with other tasks.
    pub fn due_probes(&mut self, most: usize) -> Vec<DirectCommands> {
        let late = self.params.report_ms * 3 / 2 + 500;
        let due = |m: &Machine| {
            m.contacted
                && (!m.current || self.now > m.last_heard + late)
                && !(m.direct
                    || m.address.is_empty()
                    || self.now < m.probe_at
                    || m.state == MachineState::Releasing)
        };
        let mut all: Vec<_> = self
            .machines()
            .filter(|(_, m)| due(m))
            .map(|(i, m)| (self.worth(m), i))
            .collect();
        all.sort_unstable();
        let mut out = Vec::new();
        for (_, i) in all.into_iter().take(most) {
            let m = self.machine(i);
            let (machine, address, token, session) =
                (m.name.clone(), m.address.clone(), self.token(m), m.last.0);
            let again = self.now + 1000.max(self.params.report_ms / 2);
            let m = self.machine_mut(i);
            m.direct = true;
            m.probe_at = again;
            out.push(DirectCommands {
                machine,
                address,
                token,
                session,
                orders: Vec::new(),
            });
        }
        out
    }

    /// The answer to direct orders. Without one they may execute minutes later: the token is raised, so that they are
    /// void once the worker has seen it, and until then nothing is concluded from its reports.
    pub fn handle_direct_response(&mut self, sent: &DirectCommands, answer: Option<&Report>) {
        let Some(&i) = self.machine_index.get(&sent.machine) else {
            return;
        };
        self.machine_mut(i).direct = false;
        match answer {
            Some(r) => {
                self.handle_heartbeat(r, HeartbeatSource::DirectResponse);
            }
            None if sent.orders.is_empty() => {}
            None => self.advance_fencing_token(i, "no answer to direct orders"),
        }
    }

    /// Raises a machine's token: what was sent under the old one is void once the worker has seen the new one. Until it
    /// shows it, it gets no work; if it never does, though it reports, it is replaced like a silent one.
    pub(super) fn advance_fencing_token(&mut self, i: MachineIndex, reason: &str) {
        let m = self.machine_mut(i);
        m.counter += 1;
        m.direct_starts = false;
        m.current = false;
        tracing::info!(machine = %m.name, reason, "fencing token advanced");
    }

    /// What time alone brings: leases that have surely run out, notices, machines that came back to nothing.
    pub fn tick(&mut self, now: u64) {
        let gap = now.saturating_sub(self.ticked);
        if self.ticked > 0 && gap > TICK_GAP_MS {
            self.compensate_process_pause(gap - TICK_GAP_MS);
        }
        self.ticked = now;
        self.at(now);
        for i in self.machines.indices() {
            let Some(m) = self.machines[i].as_ref() else {
                continue;
            };
            if !m.tasks.is_empty() && self.lease_has_expired(m) {
                tracing::info!(machine = %m.name, tasks = m.tasks.len(), "lease expired");
                for task in m.tasks.clone() {
                    self.apply_event(task, TaskEvent::Gone);
                }
                // A worker that comes back is in its next session; nothing meant for the last one may reach it.
                self.advance_fencing_token(i, "lease expired");
            }
            let Some(m) = self.machines[i].as_ref() else {
                continue;
            };
            let Some(at) = m.notice_at else { continue };
            self.set_machine_state(i, MachineState::Draining, "notice");
            for task in self.machine(i).tasks.clone() {
                let spec = &self.job(task.job).record.spec;
                // Work that saves is stopped just in time to save; the rest may still finish.
                let lead = millis(spec.save_s) + 2 * self.params.report_ms + 2000;
                if spec.kind == Kind::Service || (spec.checkpoint_s > 0.0 && now + lead >= at) {
                    self.apply_event(
                        task,
                        TaskEvent::Stop {
                            save: spec.checkpoint_s > 0.0,
                        },
                    );
                }
            }
        }
    }
}
