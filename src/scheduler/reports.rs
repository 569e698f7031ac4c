//! Reports: what workers say of their machines, and what follows from it.

use super::attempt::{Phase, Route, TaskAttempt, TaskEvent, TaskId};
use super::index::{ImageIndex, JobIndex, MachineIndex};
use super::machine::MachineState;
use super::{HeartbeatDecision, Scheduler, TOKEN_BITS};
use crate::protocol::{split_task, ExitReason, Report, TaskReport, TaskState};
use crate::protocol::{Command, Kind, ReportReply};
use crate::time::millis;
use std::collections::HashSet;

/// Most commands in one message to a worker: keeps it far below 64 KiB. The rest follows in the next one.
pub(super) const COMMANDS_PER_MESSAGE: usize = 300;
/// Images remembered for a machine.
const IMAGES_PER_MACHINE: usize = 24;

/// Time until a machine that was heard for the first time is asked, if it does not report again by itself.
const PROBE_AFTER_CONTACT_MS: u64 = 1000;

/// How a report has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatSource {
    /// As a request of the worker: the response renews its lease.
    Request {
        /// Whether the node has the authority to start tasks.
        may_start: bool,
    },
    /// As the response to direct commands.
    DirectResponse,
}

impl HeartbeatSource {
    fn is_request(self) -> bool {
        matches!(self, HeartbeatSource::Request { .. })
    }
}

fn halt(line: &TaskReport) -> Command {
    Command::Stop {
        task: line.task.clone(),
        attempt: line.attempt,
        grace_s: 0.0,
    }
}

impl Scheduler {
    /// Takes in a report.
    pub fn handle_heartbeat(&mut self, r: &Report, arrival: HeartbeatSource) -> HeartbeatDecision {
        if r.token.as_u64() >> TOKEN_BITS > self.epoch {
            return HeartbeatDecision::Superseded;
        }
        let Some(&i) = self.machine_index.get(&r.machine) else {
            return HeartbeatDecision::UnregisteredMachine;
        };
        let token = self.token(self.machine(i));
        if arrival.is_request() {
            self.renew_lease(i, r);
        }
        if (r.session, r.seq) <= self.machine(i).last || r.token > token {
            return HeartbeatDecision::Reply(ReportReply {
                token,
                orders: Vec::new(),
            });
        }
        let another_session = self.note_contact(i, r);
        let mut orders = Vec::new();
        if r.token == token {
            self.take_current_report(i, r, arrival, another_session, &mut orders);
        } else {
            // Nothing is concluded from it, but what is there of a job that is over is stopped by the first answer: without
            // this, a machine that hung or was cut off once it had its lease renewed went on with it for another lease.
            orders.extend(
                r.tasks
                    .iter()
                    .filter(|l| l.state != TaskState::Exited)
                    .filter(|l| self.over(l))
                    .map(halt),
            );
        }
        HeartbeatDecision::Reply(self.reply(i, orders))
    }

    /// Counts the lease of a machine from a report that is about to be answered.
    ///
    /// Held back by the network or a late copy, an old report is as old as its task list: nothing follows from it for its
    /// tasks. A worker has one report in flight, so that of one older than the last it awaits no answer either. One that was
    /// overtaken by the answer to a direct order counts, since its worker still waits for us.
    fn renew_lease(&mut self, i: MachineIndex, r: &Report) {
        let now = self.now;
        let m = self.machine_mut(i);
        if (r.session, r.seq) > m.last_live {
            m.last_live = (r.session, r.seq);
            m.last_answer = m.last_answer.max(now);
        }
    }

    /// Notes what the newest report tells of its machine, whatever its token. True if the worker is in another session than
    /// before.
    fn note_contact(&mut self, i: MachineIndex, r: &Report) -> bool {
        let now = self.now;
        let m = self.machine_mut(i);
        let another_session = m.last.0 != 0 && r.session > m.last.0;
        if r.session > m.last.0 {
            // Its lease runs from its beginning, answered or not. A machine that reached no controller once got work in its
            // next session by direct orders, and was taken to be past the lease of the session before.
            m.session_seen = now;
        }
        m.last = (r.session, r.seq);
        m.reported_at = Some(now);
        if m.address != r.address {
            m.address = r.address.clone();
        }
        m.notice_at = r.notice_s.map(|s| now + millis(s));
        if !m.contacted {
            m.contacted = true;
            m.last_heard = now;
            // Its next report, due at once since its token has changed, tells as much.
            m.probe_at = now + PROBE_AFTER_CONTACT_MS;
        }
        another_session
    }

    /// Takes in the newest report under the current token.
    fn take_current_report(
        &mut self,
        i: MachineIndex,
        r: &Report,
        arrival: HeartbeatSource,
        another_session: bool,
        orders: &mut Vec<Command>,
    ) {
        let now = self.now;
        let overdue = 3 * self.params.report_ms;
        let m = self.machine_mut(i);
        // Something can be placed there from now on.
        let fresh = !m.current || now > m.last_heard + overdue;
        m.last_heard = now;
        m.current = true;
        self.changed |= fresh;
        if self.machine(i).state == MachineState::Waiting {
            self.machine_mut(i).idle_since = self.machine(i).tasks.is_empty().then_some(now);
            self.measure_boot(i);
            self.set_machine_state(i, MachineState::Up, "reported");
        }
        let lost = self.reconcile(i, r, arrival, orders);
        // A session that ended although its reports were answered, or a start in an answer that was never executed,
        // may mean that the worker hears nothing of us: it has to show a new token before it gets work again. Without
        // this, such a machine took the same tasks again and again and lost them.
        if another_session || lost {
            self.advance_fencing_token(
                i,
                if another_session {
                    "another session"
                } else {
                    "an answer was lost"
                },
            );
        } else if arrival == (HeartbeatSource::Request { may_start: true }) {
            self.collect_starts(i, Route::HeartbeatReply, orders);
            if orders.len() < COMMANDS_PER_MESSAGE && !self.machine(i).direct {
                self.outbox.remove(&i);
            }
        }
    }

    /// The answer to a report.
    fn reply(&mut self, i: MachineIndex, mut orders: Vec<Command>) -> ReportReply {
        // Stops first: where there are more orders than fit, the rest is told next time.
        orders.sort_by_key(|o| !matches!(o, Command::Stop { .. }));
        orders.truncate(COMMANDS_PER_MESSAGE);
        // A copy of a direct start that was carried out may still come, and once its attempt is forgotten the worker would
        // start it anew. So what makes it forget also brings a higher token, which voids the copy; and nothing is forgotten
        // while a direct order is under way, which that would void as well.
        let forget = |o: &Command| matches!(o, Command::Forget { .. });
        let m = self.machine_mut(i);
        if m.direct {
            orders.retain(|o| !forget(o));
        } else if m.direct_starts && orders.iter().any(forget) {
            m.direct_starts = false;
            m.counter += 1;
        }
        let token = self.token(self.machine(i));
        ReportReply { token, orders }
    }

    /// Whether a line belongs to a job of which nothing may run any more: one cancelled, or gone from the store before this
    /// epoch began.
    fn over(&self, line: &TaskReport) -> bool {
        let job = split_task(&line.task).and_then(|(job, _)| self.jobs.index_of(job));
        job.is_none_or(|j| self.job(j).cancelled)
    }

    /// The report is the newest under the current token: it is the truth about its machine, but for starts on their way:
    /// direct ones whose answer is still out, and, where the report is the answer to direct orders, those in the response to a
    /// report, which the worker may not have received yet. Only its next report tells of these, since it has one in flight at
    /// a time. (A direct stop that overtook such a start once made tasks run twice.)
    /// True if a start in an answer to a report was not executed.
    fn reconcile(
        &mut self,
        i: MachineIndex,
        r: &Report,
        arrival: HeartbeatSource,
        orders: &mut Vec<Command>,
    ) -> bool {
        self.drop_replaced_attempts(i, r, arrival);
        let mut listed = HashSet::with_capacity(r.tasks.len());
        // What has ended first: a refused start of one attempt must not hide that another still runs here.
        let (ended, live): (Vec<_>, Vec<_>) =
            r.tasks.iter().partition(|l| l.state == TaskState::Exited);
        for line in ended {
            self.reconcile_ended(i, line, &mut listed, orders);
        }
        for line in live {
            self.reconcile_live(i, line, &mut listed, orders);
        }
        self.drop_unlisted(i, r, arrival, &listed)
    }

    /// The task that a worker names, if its job is known here.
    pub(super) fn find_task(&self, name: &str) -> Option<TaskId> {
        let (job, number) = split_task(name)?;
        let job = self.jobs.index_of(job)?;
        Some(TaskId { job, number })
    }

    /// The name of a task on the wire.
    fn task_name(&self, task: TaskId) -> String {
        format!("{}/{}", self.job(task.job).record.spec.id, task.number)
    }

    /// The same for a task that its job has.
    fn known_task(&self, line: &TaskReport) -> Option<TaskId> {
        self.find_task(&line.task)
            .filter(|task| task.number < self.job(task.job).tasks())
    }

    /// The attempt that a line of a machine's report is about, if it is the one that is known to be there.
    fn attempt_here(
        &self,
        i: MachineIndex,
        task: TaskId,
        line: &TaskReport,
    ) -> Option<TaskAttempt> {
        let attempt = self.attempt(task).copied();
        attempt.filter(|a| a.machine == i && a.attempt == line.attempt)
    }

    /// A live line of another attempt than the one that was sent here, which is not under way any more: that one is what is
    /// here. Taken for a stray, it was once stopped and its task started elsewhere before it had ended.
    fn drop_replaced_attempts(&mut self, i: MachineIndex, r: &Report, arrival: HeartbeatSource) {
        for line in r.tasks.iter().filter(|l| l.state != TaskState::Exited) {
            let Some(task) = self.find_task(&line.task) else {
                continue;
            };
            let Some(a) = self.attempt(task).copied() else {
                continue;
            };
            if a.machine != i || a.attempt == line.attempt || self.under_way(i, &a, r, arrival) {
                continue;
            }
            let listed = r
                .tasks
                .iter()
                .any(|l| l.task == line.task && l.attempt == a.attempt);
            if a.phase != Phase::Assigned && !listed {
                self.apply_event(task, TaskEvent::Gone);
            }
        }
    }

    /// A task that has ended on a machine.
    fn reconcile_ended(
        &mut self,
        i: MachineIndex,
        line: &TaskReport,
        listed: &mut HashSet<TaskId>,
        orders: &mut Vec<Command>,
    ) {
        let forget = Command::Forget {
            task: line.task.clone(),
            attempt: line.attempt,
        };
        let Some(task) = self.known_task(line) else {
            orders.push(forget);
            return;
        };
        let attempt = self.attempt_here(i, task, line);
        if attempt.is_some_and(|a| a.phase == Phase::Assigned) {
            return;
        }
        if attempt.is_some() {
            listed.insert(task);
        }
        if self.exited(i, task, line.reason, attempt) {
            orders.push(forget);
        }
    }

    /// A task that is on a machine and has not ended.
    fn reconcile_live(
        &mut self,
        i: MachineIndex,
        line: &TaskReport,
        listed: &mut HashSet<TaskId>,
        orders: &mut Vec<Command>,
    ) {
        let stop = |grace_s: f64| Command::Stop {
            task: line.task.clone(),
            attempt: line.attempt,
            grace_s,
        };
        let Some(task) = self.known_task(line) else {
            orders.push(stop(0.0));
            return;
        };
        let early = matches!(line.state, TaskState::Fetching | TaskState::Gathering);
        let phase = if early {
            Phase::Fetching
        } else {
            Phase::Running
        };
        let job = self.job(task.job);
        if !job.active.contains_key(&task.number) && !job.done.contains(task.number) {
            self.apply_event(
                task,
                TaskEvent::Adopt {
                    machine: i,
                    attempt: line.attempt,
                    phase,
                },
            );
            // Its line may have left the log.
            self.start_log.enqueue(task, i, line.attempt);
            if self.job(task.job).cancelled {
                self.apply_event(task, TaskEvent::Stop { save: false });
            }
        }
        let Some(a) = self.attempt_here(i, task, line) else {
            orders.push(stop(0.0));
            return;
        };
        listed.insert(task);
        if let Some(a) = self.job_mut(task.job).active.get_mut(&task.number) {
            a.reported = true;
        }
        if let Phase::Stopping { save } = a.phase {
            if !(save && line.state == TaskState::Saving) {
                orders.push(stop(if save {
                    self.job(task.job).record.spec.save_s
                } else {
                    0.0
                }));
            }
            return;
        }
        self.show(i, task, a, phase);
    }

    /// What a machine does not list is not there, unless its start is still under way. True if a start in an answer to a
    /// report was not executed.
    fn drop_unlisted(
        &mut self,
        i: MachineIndex,
        r: &Report,
        arrival: HeartbeatSource,
        listed: &HashSet<TaskId>,
    ) -> bool {
        let absent: Vec<_> = self
            .machine(i)
            .tasks
            .iter()
            .copied()
            .filter(|k| !listed.contains(k))
            .collect();
        let mut lost = false;
        for task in absent {
            let Some(a) = self.attempt(task).copied() else {
                continue;
            };
            if a.phase == Phase::Assigned || self.under_way(i, &a, r, arrival) {
                continue;
            }
            tracing::info!(job = %self.job(task.job).record.spec.id, task = task.number, machine = %self.machine(i).name, "task gone");
            lost |= !a.reported && a.route == Route::HeartbeatReply && a.token == r.token;
            self.apply_event(task, TaskEvent::Gone);
        }
        lost
    }

    /// Whether a start may still be on its way to a worker that has sent this report. One sent under an older token is
    /// void: the worker has seen this one.
    fn under_way(
        &self,
        i: MachineIndex,
        a: &TaskAttempt,
        r: &Report,
        arrival: HeartbeatSource,
    ) -> bool {
        !a.reported
            && a.token == r.token
            && match a.route {
                Route::Direct => self.machine(i).direct,
                Route::HeartbeatReply => !arrival.is_request(),
            }
    }

    /// A live task's state as its worker tells it.
    fn show(&mut self, i: MachineIndex, task: TaskId, a: TaskAttempt, phase: Phase) {
        let image = self.job(task.job).image;
        if phase == Phase::Running && a.phase != Phase::Running {
            let size = self.job(task.job).record.spec.image_gb;
            let took = self.now.saturating_sub(a.since) as f64 / 1000.0;
            if a.phase == Phase::Fetching && took > 0.5 && size > 0.0 {
                let machine_type = self.machine(i).machine_type;
                let rate = self
                    .fetch_rate
                    .entry(machine_type)
                    .or_insert(self.params.fetch_gb_per_s);
                *rate += 0.1 * (size / took - *rate);
            }
        }
        if a.phase != phase {
            let (job, machine) = (self.job(task.job), self.machine(i));
            let age_ms = self.now.saturating_sub(job.submitted_at);
            let held = machine.images.contains(&image);
            tracing::info!(job = %job.record.spec.id, task = task.number, machine = %machine.name, ?phase, held, age_ms, "task");
        }
        self.hold_image(i, image);
        self.apply_event(task, TaskEvent::Show(phase));
    }

    /// Remembers which images a machine holds, the latest used last.
    pub(super) fn hold_image(&mut self, i: MachineIndex, image: ImageIndex) {
        let m = self.machine_mut(i);
        if m.images.back() == Some(&image) {
            return;
        }
        m.images.retain(|x| *x != image);
        m.images.push_back(image);
        let oldest = if m.images.len() > IMAGES_PER_MACHINE {
            m.images.pop_front()
        } else {
            None
        };
        self.holders.entry(image).or_default().insert(i);
        if let Some(old) = oldest {
            self.let_image_go(i, old);
        }
    }

    pub(super) fn let_image_go(&mut self, i: MachineIndex, image: ImageIndex) {
        if let Some(h) = self.holders.get_mut(&image) {
            h.remove(&i);
            if h.is_empty() {
                self.holders.remove(&image);
            }
        }
    }

    /// A task has ended on a machine. True if its line may be forgotten.
    fn exited(
        &mut self,
        i: MachineIndex,
        task: TaskId,
        reason: Option<ExitReason>,
        active: Option<TaskAttempt>,
    ) -> bool {
        let job = self.job(task.job);
        if reason == Some(ExitReason::Done)
            && job.record.spec.kind != Kind::Service
            && !job.cancelled
        {
            if !job.done.contains(task.number) {
                if job.active.contains_key(&task.number) && active.is_none() {
                    // The same task is at work elsewhere; this result is kept until that has ended.
                    return false;
                }
                self.finish(i, task, active);
            }
            return self.job(task.job).saved.contains(task.number);
        }
        let Some(a) = active else { return true };
        self.apply_event(task, TaskEvent::Gone);
        if a.is_stopping() {
            return true;
        }
        let now = self.now;
        match reason {
            Some(ExitReason::Error) => self.failed(i, task.job),
            Some(ExitReason::NoRoom) => self.machine_mut(i).not_before = now + 3000,
            Some(ExitReason::Unknown) => self.job_mut(task.job).retry_at = now + 2000,
            _ => {}
        }
        true
    }

    fn finish(&mut self, i: MachineIndex, task: TaskId, active: Option<TaskAttempt>) {
        let now = self.now;
        let job = self.job_mut(task.job);
        job.record_result(task.number);
        self.jobs.mark_unsaved(task, now);
        if let Some(a) = active {
            if a.phase == Phase::Running {
                let took_ms = now.saturating_sub(a.since) as f64;
                let job = self.job_mut(task.job);
                let class = job.class;
                if let Some(ratio) = job.record_run_time(took_ms) {
                    self.machine_mut(i).c.measure(class, ratio);
                }
            }
            self.machine_mut(i).errors.clear();
            self.apply_event(task, TaskEvent::Finished);
        }
        self.changed = true;
    }

    /// A task failed: its machine is faulty, or its job has a mistake. A machine that fails tasks of several jobs is given
    /// up. A job of which nothing has finished and that fails elsewhere too says nothing of machines, and what was thought
    /// of them for its sake is taken back; once it has failed on several it is tried rarely, one task at a time.
    fn failed(&mut self, i: MachineIndex, j: JobIndex) {
        let now = self.now;
        let job = self.job_mut(j);
        job.record_failure(i, now);
        if !job.is_proven(now) && job.failures.machine_count() >= 2 {
            self.clear_suspicion(j);
            return;
        }
        let m = self.machine_mut(i);
        if !m.errors.contains(&j) {
            m.errors.push(j);
        }
        m.not_before = now + (2000u64 << m.errors.len().min(4));
        if m.errors.len() >= 2 {
            m.faulty = m.state == MachineState::Up;
            self.set_machine_state(i, MachineState::Draining, "fails tasks of several jobs");
            for task in self.machine(i).tasks.clone() {
                self.apply_event(
                    task,
                    TaskEvent::Stop {
                        save: self.job(task.job).record.spec.checkpoint_s > 0.0,
                    },
                );
            }
        }
    }

    /// The failures of a job say nothing of machines: those given up for its sake are used again.
    fn clear_suspicion(&mut self, j: JobIndex) {
        for i in self.machines.indices() {
            let Some(m) = self.machines[i].as_mut().filter(|m| m.errors.contains(&j)) else {
                continue;
            };
            m.errors.retain(|e| *e != j);
            if m.errors.len() < 2 && std::mem::take(&mut m.faulty) && m.notice_at.is_none() {
                self.set_machine_state(i, MachineState::Up, "what failed there fails everywhere");
            }
        }
    }

    /// Moves assigned tasks of a machine into orders.
    pub(super) fn collect_starts(
        &mut self,
        i: MachineIndex,
        route: Route,
        orders: &mut Vec<Command>,
    ) {
        for task in self.machine(i).tasks.clone() {
            if orders.len() >= COMMANDS_PER_MESSAGE {
                self.outbox.insert(i);
                return;
            }
            let Some(a) = self.attempt(task).copied() else {
                continue;
            };
            if a.phase == Phase::Assigned && a.logged {
                let name = self.task_name(task);
                let (machine, epoch) = (&self.machine(i).name, self.epoch);
                let token = self.token(self.machine(i));
                let direct = route == Route::Direct;
                tracing::info!(job = %self.job(task.job).record.spec.id, task = task.number, %machine, epoch, direct, "start");
                orders.push(Command::Start {
                    task: name,
                    attempt: a.attempt,
                });
                self.apply_event(task, TaskEvent::Send { route, token });
            }
        }
    }

    /// Stops of a machine that were not sent yet. A late one does no harm: it names its attempt.
    pub(super) fn collect_stops(&mut self, i: MachineIndex, orders: &mut Vec<Command>) {
        for task in self.machine(i).tasks.clone() {
            if orders.len() >= COMMANDS_PER_MESSAGE {
                self.outbox.insert(i);
                return;
            }
            let job = &mut self.jobs[task.job];
            let Some(a) = job.active.get_mut(&task.number) else {
                continue;
            };
            if let (Phase::Stopping { save }, false) = (a.phase, a.stop_sent) {
                a.stop_sent = true;
                let grace_s = if save { job.record.spec.save_s } else { 0.0 };
                let name = format!("{}/{}", job.record.spec.id, task.number);
                orders.push(Command::Stop {
                    task: name,
                    attempt: a.attempt,
                    grace_s,
                });
            }
        }
    }
}
