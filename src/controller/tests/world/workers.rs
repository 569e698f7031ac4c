//! The workers of the scripted world, and the messages between them and the controllers.

use super::*;

impl World {
    pub(super) fn report_of(&mut self, name: &str) -> Report {
        let w = self.workers.get_mut(name).unwrap();
        w.seq += 1;
        let line = |((task, attempt), t): (&(String, u64), &OnMachine)| TaskReport {
            task: task.clone(),
            attempt: *attempt,
            state: t.state,
            reason: t.reason,
            saved: None,
        };
        Report {
            machine: name.into(),
            address: "1.2.3.4:9".into(),
            machine_type: "m8".into(),
            zone: w.zone.clone(),
            spot: false,
            session: w.session,
            seq: w.seq,
            token: w.token,
            notice_s: None,
            tasks: w.tasks.iter().map(line).collect(),
        }
    }

    pub(super) fn work(&mut self, name: &str) {
        let now = self.now();
        let nodes = self.nodes.len();
        let jitter = self.rng.gen_range(1100..1900);
        let w = self.workers.get_mut(name).unwrap();
        if now > w.lease_from + 12_000 {
            // Also while it hangs: it goes on within its lease only.
            tracing::info!(
                now,
                name,
                session = w.session,
                tasks = w.tasks.len(),
                "worker's lease is over"
            );
            w.tasks.clear();
            w.session += 1;
            (w.lease_from, w.waits) = (now, None);
        }
        if now < w.hung_until {
            w.tasks
                .values_mut()
                .for_each(|t| (t.ready_at, t.ends_at) = (t.ready_at + STEP, t.ends_at + STEP));
            return;
        }
        let mut began = Vec::new();
        for ((task, _), t) in &mut w.tasks {
            if t.state == TaskState::Fetching && now >= t.ready_at {
                t.state = TaskState::Running;
                began.push(task.clone());
            }
            if t.state == TaskState::Running && now >= t.ends_at {
                (t.state, t.reason) = (TaskState::Exited, Some(ExitReason::Done));
                let (job, number) = split_task(task).unwrap();
                let job = self.jobs.get_mut(job).unwrap();
                job.done.insert(number);
                w.report_at = w.report_at.min(now + 100);
            }
        }
        let w = self.workers.get_mut(name).unwrap();
        if w.waits.is_some_and(|sent| now > sent + 4000) {
            w.waits = None;
            w.node = (w.node + 1) % nodes;
            w.report_at = now + 1000;
        }
        if w.waits.is_none() && now >= w.report_at {
            w.report_at = now + jitter;
            w.waits = Some(now);
            let (node, zone, mute) = (w.node, w.zone.clone(), now < w.mute_until);
            let mute = mute || !self.joined(&zone, node);
            let held_up = std::mem::take(&mut self.workers.get_mut(name).unwrap().hold_report);
            let report = self.report_of(name);
            if !mute {
                if self.copies > 0.0 && self.rng.gen_bool(self.copies) {
                    let (delay, node) = (
                        self.rng.gen_range(2000..20_000),
                        self.rng.gen_range(0..nodes),
                    );
                    self.send(
                        delay,
                        Message::Report {
                            node,
                            report: report.clone(),
                            copy: true,
                        },
                    );
                }
                self.send(
                    STEP + held_up,
                    Message::Report {
                        node,
                        report,
                        copy: held_up > 4000,
                    },
                );
            }
        }
        began.iter().for_each(|task| self.began(name, task));
    }

    pub(super) fn execute(&mut self, name: &str, orders: &[Command]) {
        let now = self.now();
        if !orders.is_empty() {
            tracing::info!(now, name, ?orders, "executes");
        }
        let fetch_ms = self.fetch_ms;
        for o in orders {
            let w = self.workers.get_mut(name).unwrap();
            match o {
                Command::Start { task, attempt } => {
                    let key = (task.clone(), *attempt);
                    if w.tasks.contains_key(&key) {
                        continue;
                    }
                    let (id, number) = split_task(task).unwrap();
                    let job = &self.jobs[id];
                    let busy = w
                        .tasks
                        .iter()
                        .any(|((t, _), s)| t == task && s.state != TaskState::Exited);
                    let cpus = w
                        .tasks
                        .values()
                        .filter(|s| s.state != TaskState::Exited)
                        .count() as f64
                        * 2.0;
                    let (state, reason) = match () {
                        () if busy => (TaskState::Exited, Some(ExitReason::Busy)),
                        () if cpus + 2.0 > 8.0 => (TaskState::Exited, Some(ExitReason::NoRoom)),
                        () => (TaskState::Fetching, None),
                    };
                    let ready_at = now + fetch_ms;
                    let run = job.run_ms + job.apart_ms * u64::from(number);
                    let run = if job.done.contains(&number) { 0 } else { run };
                    let ends_at = if job.spec.kind == Kind::Service {
                        u64::MAX / 2
                    } else {
                        ready_at + run
                    };
                    w.tasks.insert(
                        key,
                        OnMachine {
                            state,
                            reason,
                            ready_at,
                            ends_at,
                        },
                    );
                }
                Command::Stop { task, attempt, .. } => {
                    if let Some(t) = w.tasks.get_mut(&(task.clone(), *attempt)) {
                        if t.state != TaskState::Exited {
                            (t.state, t.reason) = (TaskState::Exited, Some(ExitReason::Stopped));
                        }
                    }
                }
                Command::Forget { task, attempt } => {
                    let key = (task.clone(), *attempt);
                    if w.tasks
                        .get(&key)
                        .is_some_and(|t| t.state == TaskState::Exited)
                    {
                        w.tasks.remove(&key);
                    }
                }
            }
            w.report_at = w.report_at.min(now + 500);
        }
    }

    pub(super) fn deliver(&mut self, message: Message) {
        let now = self.now();
        match message {
            Message::Late(txn) if self.service.down => self.send(1000, Message::Late(txn)),
            Message::Late(txn) => {
                self.decide(&txn);
            }
            Message::Report { node, report, copy } => {
                let (name, session, seq) = (report.machine.clone(), report.session, report.seq);
                let frozen = self.nodes[node].frozen_until;
                if now < frozen {
                    return self.send(frozen - now, Message::Report { node, report, copy });
                }
                let Some(controller) = self.nodes[node].controller.as_mut() else {
                    return;
                };
                let answer = controller.handle_heartbeat(&report);
                if let HeartbeatOutcome::Reply(ReportReply { orders, .. }) = &answer {
                    let orders = orders.clone();
                    if !copy {
                        self.sent(&orders);
                    }
                }
                let Some(w) = self.workers.get(&name) else {
                    return;
                };
                if copy
                    || w.session != session
                    || w.seq < seq
                    || now < w.deaf_until
                    || !self.joined(&w.zone, node)
                {
                    return;
                }
                let sent = w.waits.unwrap_or(0);
                self.send(
                    STEP,
                    Message::Reply {
                        worker: name,
                        session,
                        sent,
                        node,
                        answer,
                    },
                );
            }
            Message::Reply {
                worker,
                session,
                sent,
                node,
                answer,
            } => {
                let Some(w) = self.workers.get_mut(&worker) else {
                    return;
                };
                if now < w.hung_until
                    || w.waits != Some(sent)
                    || w.session != session
                    || now > sent + 4000
                {
                    return;
                }
                w.waits = None;
                match answer {
                    HeartbeatOutcome::Reply(r) if r.token >= w.token => {
                        if r.token > w.token {
                            w.report_at = w.report_at.min(now + 500);
                        }
                        (w.token, w.lease_from, w.node) = (r.token, sent, node);
                        self.execute(&worker, &r.orders);
                    }
                    // Dropped.
                    HeartbeatOutcome::Reply(_) => {}
                    HeartbeatOutcome::Redirect(to) => {
                        let to = to.and_then(|t| t.strip_prefix("drover-")?.parse::<usize>().ok());
                        w.node = to.unwrap_or((node + 1) % 3);
                        w.report_at = now + if to.is_some() { 300 } else { 1000 };
                    }
                    HeartbeatOutcome::NoLeader => {
                        w.node = (node + 1) % 3;
                        w.report_at = now + 1000;
                    }
                }
            }
            Message::Decided {
                node,
                life,
                term,
                direct,
            } => {
                if self.nodes[node].life != life {
                    return;
                }
                let Some(controller) = self.nodes[node].controller.as_mut() else {
                    return;
                };
                if controller.may_send_direct(term, &direct) {
                    self.send_direct(node, life, term, vec![direct]);
                } else {
                    controller.handle_direct_answer(term, &direct, None);
                }
            }
            Message::Direct {
                node,
                life,
                term,
                direct,
                sent,
            } => {
                let name = direct.machine.clone();
                let lost = |report| Message::DirectAnswer {
                    node,
                    life,
                    term,
                    direct: direct.clone(),
                    report,
                };
                let joined = self
                    .workers
                    .get(&name)
                    .is_some_and(|w| self.joined(&w.zone, node));
                let Some(w) = self.workers.get_mut(&name) else {
                    return self.send(2000, lost(None));
                };
                if now < w.deaf_until || !joined {
                    // Lost on its way.
                    return self.send(2000, lost(None));
                }
                if now < w.hung_until {
                    // Executed when the machine goes on, though nobody waits for the answer any more.
                    let rest = w.hung_until - now + STEP;
                    if now < sent + 2000 {
                        let none = lost(None);
                        self.send((sent + 2000) - now, none);
                    }
                    return self.send(
                        rest,
                        Message::Direct {
                            node,
                            life,
                            term,
                            direct,
                            sent: 0,
                        },
                    );
                }
                if direct.token >= w.token && direct.session == w.session {
                    w.token = direct.token;
                    self.execute(&name, &direct.orders);
                }
                let report = self.report_of(&name);
                if now < sent + 2000 {
                    self.send(
                        STEP,
                        Message::DirectAnswer {
                            node,
                            life,
                            term,
                            direct,
                            report: Some(report),
                        },
                    );
                }
            }
            Message::DirectAnswer {
                node,
                life,
                term,
                direct,
                report,
            } => {
                let n = &mut self.nodes[node];
                if n.life == life {
                    if let Some(controller) = n.controller.as_mut() {
                        controller.handle_direct_answer(term, &direct, report.as_ref());
                    }
                }
            }
        }
    }

    /// Whether a zone's machines and a controller reach each other.
    pub(super) fn joined(&self, zone: &str, node: usize) -> bool {
        !self.without_workers.contains(&node)
            && self.island.is_none_or(|(z, n)| (z == zone) == (n == node))
    }

    pub(super) fn send(&mut self, delay: u64, message: Message) {
        let at = self.now() + delay;
        self.queue.push((at, message));
    }
}
