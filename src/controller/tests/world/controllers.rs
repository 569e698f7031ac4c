//! The controllers of the scripted world: carries out what each `ControllerState` asks for, as the loops of `node` do.

use super::*;
use crate::time::{millis, Timestamp};

impl World {
    pub(super) fn drive(&mut self, n: usize) {
        let now = self.now();
        if self.nodes[n].controller.is_none() {
            if now < self.nodes[n].back_at || self.service.reach(n).is_err() {
                return;
            }
            let mut controller = ControllerState::new(
                settings(n, self.nodes.len(), self.limit),
                now + 1,
                Clock::Scripted(self.clock.clone()),
            );
            controller.set_machine_types(&[kind()]);
            let _ = controller.replace_replica(self.service.load());
            self.nodes[n].controller = Some(controller);
        }
        if now < self.nodes[n].frozen_until {
            return;
        }
        self.watch(n);
        self.lead(n);
        self.write_log(n);
        self.persist(n);
        self.pass(n);
        self.cloud(n);
    }

    /// A watch that was open when the service did not answer waits silently until its time is over.
    pub(super) fn watch(&mut self, n: usize) {
        let now = self.now();
        let (reach, stuck) = (self.service.reach(n).is_ok(), self.watches_stuck);
        let Controller {
            controller: Some(controller),
            watch,
            ..
        } = &mut self.nodes[n]
        else {
            return;
        };
        if let Some((opened, silent)) = watch {
            *silent |= !reach;
            let left_behind = now >= *opened + 500
                && controller
                    .leadership()
                    .lags_behind_read_sent_before(Timestamp::from_millis(now - 500));
            if (now > *opened + WATCH || (left_behind && reach)) && !(stuck && *silent) {
                *watch = None;
            }
        }
        if watch.is_none() && reach {
            *watch = Some((now, false));
        }
        if watch.is_some_and(|(_, silent)| !silent)
            && self.service.revision > controller.replica.revision
        {
            let from = controller.replica.revision;
            let newer = |e: &&Event| match e {
                Event::Put { version, .. } | Event::Delete { version, .. } => *version > from,
            };
            let events: Vec<Event> = self.service.events.iter().filter(newer).cloned().collect();
            let _ = controller.apply_watch_events(self.service.revision, &events);
            *watch = Some((now, false));
        }
    }

    pub(super) fn lead(&mut self, n: usize) {
        let now = self.now();
        let reach = self.service.reach(n);
        let revision = self.service.revision;
        let awaits = self.nodes[n].awaits;
        let controller = self.nodes[n].controller.as_mut().unwrap();
        if let Some((epoch, version, sent, until)) = awaits {
            if controller.replica.revision >= version && controller.term().is_some() {
                controller.apply_leadership_event(LeadershipEvent::RevisionRead {
                    requested_at: Timestamp::from_millis(sent),
                    revision: version,
                });
                controller.start_epoch(epoch);
                self.nodes[n].awaits = None;
            } else if now > until {
                controller.apply_leadership_event(LeadershipEvent::TermEnded);
                self.nodes[n].awaits = None;
            }
            return;
        }
        if let Some(Term { lease, .. }) = controller.term() {
            if now < self.nodes[n].renew_at {
                return;
            }
            self.nodes[n].renew_at = now + 500;
            let controller = self.nodes[n].controller.as_mut().unwrap();
            match (reach, self.service.leases.get_mut(&lease)) {
                (Ok(()), Some((end, ttl))) => {
                    *end = now + *ttl;
                    controller.apply_leadership_event(LeadershipEvent::RevisionRead {
                        requested_at: Timestamp::from_millis(now),
                        revision,
                    });
                    controller.apply_leadership_event(LeadershipEvent::LeaseRenewed {
                        requested_at: Timestamp::from_millis(now),
                    });
                    if controller.scheduler.is_some() && controller.authority() == Authority::None {
                        self.give_up(n);
                    }
                }
                (Ok(()), None) => controller.apply_leadership_event(LeadershipEvent::TermEnded),
                _ if controller.authority() == Authority::None => {
                    controller.apply_leadership_event(LeadershipEvent::TermEnded);
                }
                _ => {}
            }
            return;
        }
        if reach.is_err() || !controller.may_campaign() {
            return;
        }
        let ttl = (controller.settings.operator.hold_s * 1000.0) as u64;
        controller.apply_leadership_event(LeadershipEvent::CampaignStarted);
        let lease = self.service.next_lease + 1;
        self.service.next_lease = lease;
        self.service.leases.insert(lease, (now + ttl, ttl));
        let controller = self.nodes[n].controller.as_mut().unwrap();
        let claim = controller.claim_epoch(lease);
        let won = claim.and_then(|claim| match self.txn(n, &claim.txn) {
            Ok(Decided::Applied(version)) => Some((claim.record.number, version)),
            _ => None,
        });
        let controller = self.nodes[n].controller.as_mut().unwrap();
        if let Some((epoch, version)) = won {
            controller.apply_leadership_event(LeadershipEvent::CampaignWon {
                term: Term {
                    epoch,
                    epoch_version: version,
                    lease,
                },
                lease_requested_at: Timestamp::from_millis(now),
            });
            self.nodes[n].awaits = Some((epoch, version, now, now + ttl * 3 / 4));
        } else {
            controller.apply_leadership_event(LeadershipEvent::CampaignLost);
            controller.back_off_campaigns(Duration::from_millis(200));
            self.service.end_lease(lease);
        }
    }

    pub(super) fn give_up(&mut self, n: usize) {
        let controller = self.nodes[n].controller.as_mut().unwrap();
        let lease = controller.term().map(|term| term.lease);
        controller.step_down(Duration::from_secs(10));
        if self.service.reach(n).is_ok() {
            lease.into_iter().for_each(|h| self.service.end_lease(h));
        }
    }

    pub(super) fn write_log(&mut self, n: usize) {
        let now = self.now();
        if self.nodes[n].writing.as_ref().is_some_and(|w| now < w.at) {
            return;
        }
        if let Some(w) = self.nodes[n].writing.take() {
            let key = store::starts_key(w.append.slot);
            let demand = !matches!(
                w.done,
                Ok(Decided::Applied(_)) | Err(StoreError::Busy | StoreError::Refused)
            );
            let found = if demand && self.service.reach(n).is_ok() {
                self.service.get::<String>(&key)
            } else {
                None
            };
            self.nodes[n]
                .controller
                .as_mut()
                .unwrap()
                .finish_start_log_write(w.term, w.append, &w.done, found.as_ref());
        }
        let controller = self.nodes[n].controller.as_mut().unwrap();
        let Some(StartLogWrite { append, term, txn }) = controller.next_start_log_write() else {
            return;
        };
        let done = self.txn(n, &txn);
        let unanswered = done == Err(StoreError::Unknown);
        self.nodes[n].writing = Some(Writing {
            append,
            term,
            done,
            at: now + if unanswered { 1500 } else { self.write_ms },
        });
    }

    pub(super) fn persist(&mut self, n: usize) {
        let now = self.now();
        if now < self.nodes[n].flush_at {
            return;
        }
        self.nodes[n].flush_at = now + 500;
        let Some(epoch) = self.nodes[n].controller.as_ref().unwrap().write_guard() else {
            return;
        };
        let controller = self.nodes[n].controller.as_mut().unwrap();
        for completion in controller.job_completions(&epoch) {
            if let Ok(Decided::Applied(_)) = self.txn(n, &completion.txn) {
                let controller = self.nodes[n].controller.as_mut().unwrap();
                controller.finish_job(&completion.job, completion.tasks);
            }
        }
        let controller = self.nodes[n].controller.as_mut().unwrap();
        if let Some(write) = controller.results_to_store(&epoch) {
            if let Ok(Decided::Applied(_)) = self.txn(n, &write.txn) {
                let controller = self.nodes[n].controller.as_mut().unwrap();
                controller.record_stored_results(&epoch, &write.chunks);
            }
        }
        let controller = self.nodes[n].controller.as_mut().unwrap();
        if let Some(cleanup) = controller.rental_cleanup(&epoch) {
            if let Ok(Decided::Applied(_)) = self.txn(n, &cleanup.txn) {
                let controller = self.nodes[n].controller.as_mut().unwrap();
                controller.finish_rental_cleanup(&cleanup.machines);
            }
        }
        let controller = self.nodes[n].controller.as_mut().unwrap();
        if let Some(txn) = controller.final_job_cleanup(&epoch) {
            let _ = self.txn(n, &txn);
        }
    }

    pub(super) fn pass(&mut self, n: usize) {
        let limits = SendLimits {
            messages: 16,
            probes: 8,
        };
        let controller = self.nodes[n].controller.as_mut().unwrap();
        let sends = match controller.run_scheduling_round(limits) {
            RoundOutcome::Send(sends) => sends,
            RoundOutcome::Idle => return,
            RoundOutcome::StepDown(_) => return self.give_up(n),
        };
        let (life, term) = (
            self.nodes[n].life,
            self.nodes[n].controller.as_ref().unwrap().term(),
        );
        let starts = |d: &Direct| d.orders.iter().any(|o| matches!(o, Command::Start { .. }));
        if self.stands_still_ms > 0 && sends.iter().any(starts) {
            let pause = std::mem::take(&mut self.stands_still_ms);
            self.nodes[n].frozen_until = self.now() + pause;
            for direct in sends {
                self.send(
                    pause,
                    Message::Decided {
                        node: n,
                        life,
                        term,
                        direct,
                    },
                );
            }
            return;
        }
        if self.slow_connections_ms > 0 {
            for direct in sends {
                self.send(
                    self.slow_connections_ms,
                    Message::Decided {
                        node: n,
                        life,
                        term,
                        direct,
                    },
                );
            }
            return;
        }
        self.send_direct(n, life, term, sends);
    }

    pub(super) fn send_direct(
        &mut self,
        n: usize,
        life: u64,
        term: Option<Term>,
        sends: Vec<Direct>,
    ) {
        for direct in sends {
            self.sent(&direct.orders);
            let held_up = self.held > 0.0 && self.rng.gen_bool(self.held);
            let delay = if held_up {
                self.rng.gen_range(self.held_ms..20_000)
            } else {
                STEP
            };
            let sent = self.now();
            if delay >= 2000 {
                let lost = Message::DirectAnswer {
                    node: n,
                    life,
                    term,
                    direct: direct.clone(),
                    report: None,
                };
                self.send(2000, lost);
            }
            self.send(
                delay,
                Message::Direct {
                    node: n,
                    life,
                    term,
                    direct,
                    sent,
                },
            );
        }
    }

    pub(super) fn cloud(&mut self, n: usize) {
        let now = self.now();
        if now < self.nodes[n].cloud_at || self.cloud_down {
            return;
        }
        self.nodes[n].cloud_at = now + 400;
        let Some(epoch) = self.nodes[n].controller.as_ref().unwrap().write_guard() else {
            return;
        };
        let controller = self.nodes[n].controller.as_mut().unwrap();
        let w = controller.settings.platform.deployment.workers.clone();
        let scheduler = controller.scheduler.as_mut().unwrap();
        let silent_ms = millis((2.0 * w.report_s + 2.0).max(0.4 * w.lease_s));
        for i in scheduler.silent(silent_ms, (4000.0 * w.lease_s) as u64) {
            scheduler.enter(i, MachineState::Releasing, "silent");
        }
        for name in scheduler.leaving(100) {
            scheduler.machine_gone(&name);
            controller.gone.insert(name.clone());
            controller.released.insert(name.clone(), now);
            self.workers.remove(&name);
        }
        if self.workers.len() < self.machines_wanted {
            self.made += 1;
            let in_a = self.workers.values().filter(|w| w.zone == ZONES[0]).count();
            let (name, zone) = (
                format!("n-{:04}", self.made),
                ZONES[usize::from(in_a * 2 > self.workers.len())],
            );
            let of = RentalRecord {
                machine_type: "m8".into(),
                zone: zone.into(),
                spot: false,
                count: 1,
                machines: None,
            };
            let record = RentalRecord {
                machines: Some(vec![name.clone()]),
                ..of
            };
            let txn = store::rental_txn(&epoch, &format!("r-{}", self.made), 0, &record);
            if let Ok(Decided::Applied(_)) = self.txn(n, &txn) {
                let controller = self.nodes[n].controller.as_mut().unwrap();
                let of = Hardware {
                    machine_type: "m8",
                    zone,
                    spot: false,
                };
                controller
                    .scheduler
                    .as_mut()
                    .unwrap()
                    .add_machine(&name, of, Origin::Rented);
                self.boot(name, zone);
            }
        }
    }

    pub(super) fn boot(&mut self, name: String, zone: &str) {
        let now = self.now();
        let worker = Worker {
            zone: zone.into(),
            token: FencingToken::ZERO,
            session: 1,
            seq: 0,
            lease_from: now + 3000,
            tasks: BTreeMap::new(),
            node: self.rng.gen_range(0..self.nodes.len()),
            report_at: now + 3000,
            waits: None,
            hung_until: 0,
            deaf_until: 0,
            mute_until: 0,
            hold_report: 0,
        };
        self.workers.insert(name, worker);
    }

    pub(super) fn peers(&mut self) {
        let now = self.now();
        if now < self.peers_cut_until {
            return;
        }
        for (a, b) in [(0, 1), (0, 2), (1, 0), (1, 2), (2, 0), (2, 1)] {
            let apart = self.island.is_some_and(|(_, n)| n == a || n == b)
                || self.without_peers.contains(&a)
                || self.without_peers.contains(&b)
                || self.paths_cut.contains(&(a, b));
            if apart || now < self.nodes[a].frozen_until.max(self.nodes[b].frozen_until) {
                continue;
            }
            let name = format!("drover-{b}");
            let Some(hint) = self.nodes[a]
                .controller
                .as_ref()
                .map(|c| c.cancellations.message_for(&name))
            else {
                continue;
            };
            let Some(other) = self.nodes[b].controller.as_mut() else {
                continue;
            };
            if let Some((message, last)) = hint {
                let revision = other.receive_cancellations(&message);
                let cancellations = &mut self.nodes[a].controller.as_mut().unwrap().cancellations;
                cancellations.acknowledged(&name, last);
                cancellations.peer_replica_reached(&name, revision);
            }
            if now % 900 < STEP {
                let view = self.nodes[b].controller.as_ref().unwrap().own_view();
                self.nodes[a]
                    .controller
                    .as_mut()
                    .unwrap()
                    .receive_view(view);
            }
        }
    }

    pub(super) fn answer_users(&mut self) {
        let now = self.now();
        for job in self.jobs.values_mut() {
            let Some((node, notice, since)) = job.answering else {
                continue;
            };
            let most = 2500 * 1001 / 1000;
            let known = match self.nodes[node].controller.as_ref() {
                Some(c) => c.is_cancellation_settled(notice) || now > since + most,
                // Its user hears nothing from it and asks another, to which the job is cancelled.
                None => now > since + 5000,
            };
            if known {
                (job.answering, job.told) = (None, Some(now));
            }
        }
    }

    pub(super) fn txn(&mut self, node: usize, txn: &Txn) -> Result<Decided, StoreError> {
        self.service.reach(node)?;
        if self.service.late_share > 0.0 && self.rng.gen_bool(self.service.late_share) {
            let delay = self.rng.gen_range(2000..12_000);
            self.send(delay, Message::Late(txn.clone()));
            return Err(StoreError::Unknown);
        }
        Ok(self.decide(txn))
    }

    /// The service decides; what users were told must stay true.
    pub(super) fn decide(&mut self, txn: &Txn) -> Decided {
        let before = self.service.keys.clone();
        let decided = self.service.decide(txn);
        if let Decided::Applied(_) = decided {
            for change in &txn.apply {
                let Change::Put { put, value, .. } = change else {
                    continue;
                };
                let Some(id) = put.split_once("/over/").map(|(_, id)| id.to_string()) else {
                    continue;
                };
                let over: OverRecord = value.deserialized().unwrap();
                if before.contains_key(put) {
                    self.breaks(format!("went_back: {id}"));
                }
                let truth = &self.jobs[&id];
                if over.cancelled != truth.asked && over.cancelled {
                    self.breaks(format!("went_back: {id} cancelled by nobody"));
                }
                if !over.cancelled && self.jobs[&id].done.len() < self.jobs[&id].spec.tasks as usize
                {
                    self.breaks(format!("not_done: {id}"));
                }
            }
        }
        decided
    }

    /// Orders leave a controller: none may start a task of a job whose user was told that it is cancelled.
    pub(super) fn sent(&mut self, orders: &[Command]) {
        let now = self.now();
        for o in orders {
            let Command::Start { task, .. } = o else {
                continue;
            };
            self.starts += 1;
            let id = split_task(task).unwrap().0;
            let job = self.jobs.get_mut(id).unwrap();
            job.placed_at = now;
            if job.told.is_some_and(|t| t < now) {
                self.breaks(format!(
                    "start of {task} sent after its confirmed cancellation"
                ));
            }
        }
    }
}
