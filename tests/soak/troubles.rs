//! Carries out the troubles of a schedule.

use crate::controllers::Controllers;
use crate::harness::cloud::SimulatedCloud;
use crate::harness::network::{LinkCondition, Network};
use crate::harness::process::ControllerProcess;
use crate::harness::store::SimulatedStore;
use crate::harness::topology::ControllerId;
use crate::harness::worker::{Worker, WorkerCondition};
use crate::run::LOWERED_LIMITS;
use crate::schedule::{LinkTrouble, Planned, Schedule, Target, Trouble, WorkerTrouble, Workers};
use crate::workload::Workload;
use hollowswitch::store::{leader_key, LeaderRecord};
use std::time::Duration;
use tokio::time::{sleep, sleep_until, Instant};

/// What the troubles concern.
#[derive(Clone)]
pub(crate) struct Surroundings {
    /// The controllers.
    pub(crate) controllers: Controllers,
    /// The links between controllers and services.
    pub(crate) network: Network,
    /// The state service.
    pub(crate) store: SimulatedStore,
    /// The cloud.
    pub(crate) cloud: SimulatedCloud,
    /// The users.
    pub(crate) workload: Workload,
}

impl Surroundings {
    /// Carries out a schedule. Returns when the last trouble is over.
    pub(crate) async fn trouble(&self, schedule: &Schedule) {
        let begin = Instant::now();
        for planned in &schedule.troubles {
            sleep_until(begin + planned.at).await;
            self.start(planned);
        }
        sleep_until(begin + schedule.end()).await;
        self.controllers.wait_until_all_run().await;
    }

    /// Starts a trouble, which ends by itself.
    fn start(&self, planned: &Planned) {
        let duration = planned.duration;
        match planned.trouble {
            Trouble::Kill(target) => self.for_each(target, duration, |controllers, controller| {
                controllers.kill(controller);
            }),
            Trouble::Pause(target) => self.for_each(target, duration, |controllers, controller| {
                controllers.with_process(controller, ControllerProcess::pause);
            }),
            Trouble::Link(link, trouble) => self.network.disturb(link, |condition| {
                trouble_link(condition, trouble, duration);
            }),
            Trouble::StoreOutage => self.store.disturb(|it| it.start_outage(duration)),
            Trouble::StoreRefuses(target) => {
                for controller in self.controllers_of(target) {
                    self.store.disturb(|it| it.refuse(controller, duration));
                }
            }
            Trouble::StoreSlow(latency) => {
                self.store.disturb(|it| it.slow_down(latency, duration));
            }
            Trouble::StoreLoses(loss, every) => {
                self.store
                    .disturb(|it| it.lose_transactions(loss, every, duration));
            }
            Trouble::StoreLowersLimits => self.store.disturb(|it| it.set_limits(LOWERED_LIMITS)),
            Trouble::CloudOutage => self.cloud.start_outage(duration),
            Trouble::Workers(trouble, workers) => {
                for worker in self.workers_of(workers) {
                    trouble_worker(&worker, trouble, duration);
                }
            }
            Trouble::MachinesDie(count) => {
                for worker in self.cloud.workers().iter().take(count) {
                    worker.die();
                }
            }
            Trouble::CancelNow(count) => self.workload.cancel_now(count),
            Trouble::PollStorm => self.workload.start_poll_storm(duration),
        }
    }

    /// Stops controllers in some way, and starts or resumes them after the duration.
    fn for_each(
        &self,
        target: Target,
        duration: Duration,
        stop: impl Fn(&Controllers, ControllerId),
    ) {
        for controller in self.controllers_of(target) {
            stop(&self.controllers, controller);
            let controllers = self.controllers.clone();
            actix_web::rt::spawn(async move {
                sleep(duration).await;
                controllers.start_if_killed(controller);
                controllers.with_process(controller, ControllerProcess::resume);
            });
        }
    }

    fn controllers_of(&self, target: Target) -> Vec<ControllerId> {
        match target {
            Target::One(controller) => vec![controller],
            Target::Leader => self.leader().into_iter().collect(),
            Target::All => ControllerId::all().collect(),
        }
    }

    /// Returns the leader that the state service knows.
    fn leader(&self) -> Option<ControllerId> {
        let record: LeaderRecord = self.store.read(&leader_key())?;
        ControllerId::all().find(|controller| controller.name() == record.node)
    }

    fn workers_of(&self, workers: Workers) -> Vec<Worker> {
        let all = self.cloud.workers();
        match workers {
            Workers::OneOf { every, first } => all.into_iter().skip(first).step_by(every).collect(),
            Workers::Zone(zone) => all
                .into_iter()
                .filter(|worker| worker.zone() == zone)
                .collect(),
        }
    }
}

fn trouble_link(condition: &mut LinkCondition, trouble: LinkTrouble, duration: Duration) {
    let until = Instant::now() + duration;
    match trouble {
        LinkTrouble::HoldRequests => condition.requests_held_until = until,
        LinkTrouble::HoldResponses => condition.responses_held_until = until,
        LinkTrouble::Hold => {
            condition.requests_held_until = until;
            condition.responses_held_until = until;
        }
        LinkTrouble::Refuse => condition.refused_until = until,
        LinkTrouble::Slow(delay) => {
            condition.slow_until = until;
            condition.delay = delay;
        }
    }
}

fn trouble_worker(worker: &Worker, trouble: WorkerTrouble, duration: Duration) {
    let until = Instant::now() + duration;
    match trouble {
        WorkerTrouble::Hang => worker.hang(duration),
        WorkerTrouble::Mute => worker.disturb(|it| it.reports_lost_until = until),
        WorkerTrouble::Deaf => worker.disturb(|it| it.answers_lost_until = until),
        WorkerTrouble::CutOff => worker.disturb(|it| it.cut_off(duration)),
        WorkerTrouble::CutOffFrom(controller) => {
            worker.disturb(|it| it.cut_until[controller.0] = until);
        }
        WorkerTrouble::LateReports(delay) => worker.disturb(|it: &mut WorkerCondition| {
            it.late_reports_until = until;
            it.report_delay = delay;
        }),
        WorkerTrouble::LateCommands(delay) => worker.disturb(|it| {
            it.late_commands_until = until;
            it.command_delay = delay;
        }),
    }
}
