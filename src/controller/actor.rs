//! The actor.

use super::clock::Clock;
use super::handles::Handles;
use super::messages::{
    Abort, Health, HeartbeatResponse, JobOutcome, PeerCancelled, PeerView, Poll, Submit,
    WorkerReport,
};
use super::state::ControllerState;
use crate::clients::cloud::CloudClient;
use crate::clients::worker;
use crate::config::Settings;
use crate::store::StoreClient;
use actix::prelude::*;
use rand::Rng;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Instant;
use tokio::sync::{watch, Notify};

/// The actor.
pub struct Node {
    shared: Handles,
}

impl Node {
    /// A node that has yet to be started.
    pub(crate) fn new(settings: Settings) -> Node {
        let connections =
            (settings.platform.deployment.machine_limits.max_connections / 8).clamp(8, 100);
        let http = worker::http_client(connections);
        let incarnation = rand::thread_rng().gen::<u64>() >> 1;
        let external = settings.platform.external.clone();
        let controller = ControllerState::new(settings, incarnation, Clock::Steady(Instant::now()));
        let shared = Handles {
            state: Rc::new(RefCell::new(controller)),
            store: StoreClient::new(http.clone(), external.state),
            cloud: CloudClient::new(http.clone(), external.cloud),
            http,
            replica_revision: Rc::new(watch::channel(0).0),
            campaign_requested: Rc::new(Notify::new()),
            read_requested: Rc::new(Notify::new()),
            cancellation_recorded: Rc::new(Notify::new()),
            round_requested: Rc::new(Notify::new()),
            start_log_requested: Rc::new(Notify::new()),
            leadership_acquired: Rc::new(Notify::new()),
        };
        Node { shared }
    }
}

impl Actor for Node {
    type Context = Context<Self>;

    fn started(&mut self, _: &mut Self::Context) {
        let s = &self.shared;
        actix::spawn(s.clone().sync());
        actix::spawn(s.clone().read_barrier_loop());
        actix::spawn(s.clone().leadership());
        actix::spawn(s.clone().ticks());
        actix::spawn(s.clone().start_log());
        actix::spawn(s.clone().flush());
        actix::spawn(s.clone().fleet());
        actix::spawn(s.clone().peers());
        actix::spawn(s.clone().tell_cancelled());
    }
}

impl Handler<Submit> for Node {
    type Result = ResponseFuture<JobOutcome>;
    fn handle(&mut self, m: Submit, _: &mut Self::Context) -> Self::Result {
        let handles = self.shared.clone();
        Box::pin(async move { handles.submit(m.0).await })
    }
}

impl Handler<Poll> for Node {
    type Result = ResponseFuture<JobOutcome>;
    fn handle(&mut self, m: Poll, _: &mut Self::Context) -> Self::Result {
        let handles = self.shared.clone();
        Box::pin(async move { handles.poll(&m.0).await })
    }
}

impl Handler<Abort> for Node {
    type Result = ResponseFuture<JobOutcome>;
    fn handle(&mut self, m: Abort, _: &mut Self::Context) -> Self::Result {
        let handles = self.shared.clone();
        Box::pin(async move { handles.cancel(&m.0).await })
    }
}

impl Handler<Health> for Node {
    type Result = bool;
    fn handle(&mut self, _: Health, _: &mut Self::Context) -> bool {
        self.shared.state.borrow().healthy()
    }
}

impl Handler<WorkerReport> for Node {
    type Result = MessageResult<WorkerReport>;
    fn handle(&mut self, m: WorkerReport, _: &mut Self::Context) -> Self::Result {
        let mut controller = self.shared.state.borrow_mut();
        let outcome = controller.report(&m.0);
        if controller.needs_pass() {
            self.shared.round_requested.notify_one();
        }
        MessageResult(HeartbeatResponse {
            outcome,
            valid_until: controller.answer_valid_until(),
        })
    }
}

impl Handler<PeerView> for Node {
    type Result = MessageResult<PeerView>;
    fn handle(&mut self, m: PeerView, _: &mut Self::Context) -> Self::Result {
        let mut controller = self.shared.state.borrow_mut();
        controller.take_view(m.0);
        MessageResult(controller.own_view())
    }
}

impl Handler<PeerCancelled> for Node {
    type Result = MessageResult<PeerCancelled>;
    fn handle(&mut self, m: PeerCancelled, _: &mut Self::Context) -> Self::Result {
        self.shared.round_requested.notify_one();
        self.shared.cancellation_recorded.notify_one();
        MessageResult(self.shared.state.borrow_mut().take_cancelled(&m.0))
    }
}
