//! The actor: it owns the handles that the loops share, spawns the loops and hands every message to what handles it.

use super::clock::Clock;
use super::handles::Handles;
use super::messages::{
    Cancel, Health, Heartbeat, HeartbeatResponse, JobOutcome, PeerCancelled, PeerView, Poll, Submit,
};
use super::state::ControllerState;
use crate::clients::cloud::CloudClient;
use crate::clients::http::http_client;
use crate::config::Settings;
use crate::store::{Revision, StoreClient};
use actix::prelude::*;
use rand::Rng;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::sync::{watch, Notify};

/// A controller. All of its state is in one thread; its loops and handlers take turns.
pub struct Controller {
    handles: Handles,
}

impl Controller {
    /// A controller that has yet to be started.
    pub(crate) fn new(settings: Settings) -> Controller {
        let limits = &settings.platform.deployment.machine_limits;
        let http = http_client((limits.max_connections / 8).clamp(8, 100));
        let incarnation = rand::thread_rng().gen::<u64>() >> 1;
        let external = settings.platform.external.clone();
        let state = ControllerState::new(settings, incarnation, Clock::start());
        let handles = Handles {
            state: Rc::new(RefCell::new(state)),
            store: StoreClient::new(http.clone(), external.state),
            cloud: CloudClient::new(http.clone(), external.cloud),
            http,
            replica_revision: Rc::new(watch::channel(Revision::ZERO).0),
            campaign_requested: Rc::new(Notify::new()),
            read_requested: Rc::new(Notify::new()),
            cancellation_recorded: Rc::new(Notify::new()),
            round_requested: Rc::new(Notify::new()),
            start_log_requested: Rc::new(Notify::new()),
            leadership_acquired: Rc::new(Notify::new()),
        };
        Controller { handles }
    }
}

impl Actor for Controller {
    type Context = Context<Self>;

    /// Spawns the loops. This is the one place where they start, and none of them returns: they are cancelled when the runtime
    /// of [`crate::service::run`] is dropped, at the end of the process. Nothing has to be cleaned up then, since everything
    /// that must survive is in the store.
    fn started(&mut self, _: &mut Self::Context) {
        let handles = || self.handles.clone();
        actix::spawn(handles().run_watch_loop());
        actix::spawn(handles().run_read_barrier_loop());
        actix::spawn(handles().run_election_loop());
        actix::spawn(handles().run_scheduling_loop());
        actix::spawn(handles().run_start_log_loop());
        actix::spawn(handles().run_flush_loop());
        actix::spawn(handles().run_cloud_loop());
        actix::spawn(handles().run_peer_view_loop());
        actix::spawn(handles().run_cancellation_broadcast());
    }
}

impl Handler<Submit> for Controller {
    type Result = ResponseFuture<JobOutcome>;
    fn handle(&mut self, message: Submit, _: &mut Self::Context) -> Self::Result {
        let handles = self.handles.clone();
        Box::pin(async move { handles.submit(message.0).await })
    }
}

impl Handler<Poll> for Controller {
    type Result = ResponseFuture<JobOutcome>;
    fn handle(&mut self, message: Poll, _: &mut Self::Context) -> Self::Result {
        let handles = self.handles.clone();
        Box::pin(async move { handles.poll(&message.0).await })
    }
}

impl Handler<Cancel> for Controller {
    type Result = ResponseFuture<JobOutcome>;
    fn handle(&mut self, message: Cancel, _: &mut Self::Context) -> Self::Result {
        let handles = self.handles.clone();
        Box::pin(async move { handles.cancel(&message.0).await })
    }
}

impl Handler<Health> for Controller {
    type Result = bool;
    fn handle(&mut self, _: Health, _: &mut Self::Context) -> bool {
        self.handles.read_state(ControllerState::is_healthy)
    }
}

impl Handler<Heartbeat> for Controller {
    type Result = MessageResult<Heartbeat>;
    fn handle(&mut self, message: Heartbeat, _: &mut Self::Context) -> Self::Result {
        let (response, needs_round) = self.handles.with_state(|state| {
            let response = HeartbeatResponse {
                outcome: state.handle_heartbeat(&message.0),
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

impl Handler<PeerView> for Controller {
    type Result = MessageResult<PeerView>;
    fn handle(&mut self, message: PeerView, _: &mut Self::Context) -> Self::Result {
        MessageResult(self.handles.with_state(|state| {
            state.receive_view(message.0);
            state.own_view()
        }))
    }
}

impl Handler<PeerCancelled> for Controller {
    type Result = MessageResult<PeerCancelled>;
    fn handle(&mut self, message: PeerCancelled, _: &mut Self::Context) -> Self::Result {
        self.handles.round_requested.notify_one();
        self.handles.cancellation_recorded.notify_one();
        MessageResult(
            self.handles
                .with_state(|state| state.receive_cancellations(&message.0)),
        )
    }
}
