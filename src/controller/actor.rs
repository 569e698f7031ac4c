//! The controller actor: owns the shared handles, spawns the loops and dispatches messages to their handlers.

use super::handles::Handles;
use super::messages::{
    Cancel, Health, Heartbeat, HeartbeatResponse, JobOutcome, PeerCancelled, PeerView, Poll, Submit,
};
use super::state::ControllerState;
use super::status::GetStatus;
use crate::config::Settings;
use actix::prelude::*;
use prometheus_client::registry::Registry;

/// The controller actor. All of its state belongs to one thread, on which its loops and handlers run cooperatively.
pub struct Controller {
    handles: Handles,
}

impl Controller {
    /// Creates a controller that is not started yet.
    pub(crate) fn new(settings: Settings) -> Controller {
        Controller {
            handles: Handles::new(settings),
        }
    }

    /// Registers the metrics of this controller and of its client of the state service.
    pub(crate) fn register_metrics(&self, registry: &mut Registry) {
        self.handles.metrics.register(registry);
        self.handles.store.metrics().register(registry);
    }
}

impl Actor for Controller {
    type Context = Context<Self>;

    /// Spawns the loops. They start nowhere else and never return: they are cancelled when the runtime of
    /// [`crate::service::run`] is dropped, at the end of the process. No cleanup is needed then, since everything that must
    /// survive is in the store.
    fn started(&mut self, _: &mut Self::Context) {
        self.handles.read_state(|state| {
            let identity = state.identity();
            tracing::info!(node = %identity.node, incarnation = identity.incarnation, "controller started");
        });
        let handles = || self.handles.clone();
        actix::spawn(handles().run_watch_loop());
        actix::spawn(handles().run_read_barrier_loop());
        actix::spawn(handles().run_election_loop());
        actix::spawn(handles().run_scheduling_loop());
        actix::spawn(handles().run_start_log_loop());
        actix::spawn(handles().run_flush_loop());
        actix::spawn(handles().run_cloud_loop());
        actix::spawn(handles().run_peer_view_loop());
        actix::spawn(handles().run_cancellation_broadcast_loop());
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
        self.handles.update_state(ControllerState::report_health)
    }
}

impl Handler<GetStatus> for Controller {
    type Result = MessageResult<GetStatus>;
    fn handle(&mut self, _: GetStatus, _: &mut Self::Context) -> Self::Result {
        MessageResult(self.handles.status())
    }
}

impl Handler<Heartbeat> for Controller {
    type Result = MessageResult<Heartbeat>;
    fn handle(&mut self, message: Heartbeat, _: &mut Self::Context) -> Self::Result {
        let (response, needs_round) = self.handles.update_state(|state| {
            let response = HeartbeatResponse {
                outcome: state.handle_heartbeat(&message.0),
                valid_until: state.reply_valid_until(),
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
        MessageResult(self.handles.update_state(|state| {
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
                .update_state(|state| state.receive_cancellations(&message.0)),
        )
    }
}
