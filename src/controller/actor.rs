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
use tokio::sync::{watch, Notify};

/// The actor.
pub struct Node {
    handles: Handles,
}

impl Node {
    /// A node that has yet to be started.
    pub(crate) fn new(settings: Settings) -> Node {
        let connections =
            (settings.platform.deployment.machine_limits.max_connections / 8).clamp(8, 100);
        let http = worker::http_client(connections);
        let incarnation = rand::thread_rng().gen::<u64>() >> 1;
        let external = settings.platform.external.clone();
        let controller = ControllerState::new(settings, incarnation, Clock::start());
        let handles = Handles {
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
        Node { handles }
    }
}

impl Actor for Node {
    type Context = Context<Self>;

    /// Spawns the loops. None of them returns: they run until the process ends, which keeps nothing that is not in the store,
    /// so that there is nothing to clean up. They are cancelled by the end of the runtime that [`crate::service::run`] owns,
    /// and nowhere else.
    fn started(&mut self, _: &mut Self::Context) {
        let handles = || self.handles.clone();
        actix::spawn(handles().run_watch_loop());
        actix::spawn(handles().run_read_barrier_loop());
        actix::spawn(handles().run_election_loop());
        actix::spawn(handles().run_scheduling_loop());
        actix::spawn(handles().run_start_log_loop());
        actix::spawn(handles().run_flush_loop());
        actix::spawn(handles().fleet());
        actix::spawn(handles().run_peer_view_loop());
        actix::spawn(handles().run_cancellation_broadcast());
    }
}

impl Handler<Submit> for Node {
    type Result = ResponseFuture<JobOutcome>;
    fn handle(&mut self, m: Submit, _: &mut Self::Context) -> Self::Result {
        let handles = self.handles.clone();
        Box::pin(async move { handles.submit(m.0).await })
    }
}

impl Handler<Poll> for Node {
    type Result = ResponseFuture<JobOutcome>;
    fn handle(&mut self, m: Poll, _: &mut Self::Context) -> Self::Result {
        let handles = self.handles.clone();
        Box::pin(async move { handles.poll(&m.0).await })
    }
}

impl Handler<Abort> for Node {
    type Result = ResponseFuture<JobOutcome>;
    fn handle(&mut self, m: Abort, _: &mut Self::Context) -> Self::Result {
        let handles = self.handles.clone();
        Box::pin(async move { handles.cancel(&m.0).await })
    }
}

impl Handler<Health> for Node {
    type Result = bool;
    fn handle(&mut self, _: Health, _: &mut Self::Context) -> bool {
        self.handles.read_state(ControllerState::is_healthy)
    }
}

impl Handler<WorkerReport> for Node {
    type Result = MessageResult<WorkerReport>;
    fn handle(&mut self, m: WorkerReport, _: &mut Self::Context) -> Self::Result {
        let (response, needs_round) = self.handles.with_state(|state| {
            let response = HeartbeatResponse {
                outcome: state.handle_heartbeat(&m.0),
                valid_until: state.answer_valid_until(),
            };
            (response, state.needs_round())
        });
        if needs_round {
            self.handles.round_requested.notify_one();
        }
        MessageResult(response)
    }
}

impl Handler<PeerView> for Node {
    type Result = MessageResult<PeerView>;
    fn handle(&mut self, m: PeerView, _: &mut Self::Context) -> Self::Result {
        MessageResult(self.handles.with_state(|state| {
            state.receive_view(m.0);
            state.own_view()
        }))
    }
}

impl Handler<PeerCancelled> for Node {
    type Result = MessageResult<PeerCancelled>;
    fn handle(&mut self, m: PeerCancelled, _: &mut Self::Context) -> Self::Result {
        self.handles.round_requested.notify_one();
        self.handles.cancellation_recorded.notify_one();
        MessageResult(
            self.handles
                .with_state(|state| state.receive_cancellations(&m.0)),
        )
    }
}
