//! Metrics of the HTTP API.

use crate::controller::{HeartbeatOutcome, JobOutcome};
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// The answer to a user's request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub(super) enum UserAnswer {
    /// The job was accepted.
    Accepted,
    /// The state of the job.
    Known,
    /// No such job.
    NotFound,
    /// The job can never run.
    Rejected,
    /// The user was told when to come back.
    RetryLater,
    /// The concurrency limit refused the request.
    OverLimit,
}

impl From<&JobOutcome> for UserAnswer {
    fn from(outcome: &JobOutcome) -> Self {
        match outcome {
            JobOutcome::Accepted(_) => UserAnswer::Accepted,
            JobOutcome::Known(_) => UserAnswer::Known,
            JobOutcome::NotFound => UserAnswer::NotFound,
            JobOutcome::Rejected(_) => UserAnswer::Rejected,
            JobOutcome::RetryAfter(_) => UserAnswer::RetryLater,
        }
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct UserAnswerLabels {
    answer: UserAnswer,
}

/// The answer to a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub(super) enum HeartbeatAnswer {
    /// The leader's reply.
    Replied,
    /// The leader's reply was withheld, because the authority under which it was decided had ended.
    Withheld,
    /// The worker was told who leads.
    Redirected,
    /// This controller does not lead and knows of no leader.
    NoLeader,
}

impl HeartbeatAnswer {
    /// Returns the answer that an outcome leads to.
    pub(super) fn to(outcome: &HeartbeatOutcome, reply_is_valid: bool) -> HeartbeatAnswer {
        match outcome {
            HeartbeatOutcome::Reply(_) if reply_is_valid => HeartbeatAnswer::Replied,
            HeartbeatOutcome::Reply(_) => HeartbeatAnswer::Withheld,
            HeartbeatOutcome::Redirect(_) => HeartbeatAnswer::Redirected,
            HeartbeatOutcome::NoLeader => HeartbeatAnswer::NoLeader,
        }
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct HeartbeatLabels {
    answer: HeartbeatAnswer,
}

/// Counters of the API.
#[derive(Default)]
pub(super) struct ApiMetrics {
    user_answers: Family<UserAnswerLabels, Counter>,
    heartbeats: Family<HeartbeatLabels, Counter>,
    /// Users' requests that are being handled.
    waiting_users: Gauge,
    /// Users' requests whose client closed the connection before the answer.
    abandoned_requests: Counter,
}

/// Counts a user's request as waiting until it is dropped.
pub(super) struct WaitingUser<'a> {
    metrics: &'a ApiMetrics,
    is_answered: bool,
}

impl ApiMetrics {
    /// Registers the counters.
    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register(
            "user_answers",
            "Answers to users' requests",
            self.user_answers.clone(),
        );
        registry.register(
            "heartbeats",
            "Answers to workers' heartbeats",
            self.heartbeats.clone(),
        );
        registry.register(
            "users_waiting",
            "Users' requests that wait for their answer",
            self.waiting_users.clone(),
        );
        registry.register(
            "abandoned_user_requests",
            "Users' requests whose connection was lost before the answer",
            self.abandoned_requests.clone(),
        );
    }

    /// Counts an answer to a user.
    pub(super) fn record_user_answer(&self, answer: UserAnswer) {
        self.user_answers
            .get_or_create(&UserAnswerLabels { answer })
            .inc();
    }

    /// Returns the number of answers to users of one kind.
    pub(super) fn user_answers(&self, answer: UserAnswer) -> u64 {
        self.user_answers
            .get_or_create(&UserAnswerLabels { answer })
            .get()
    }

    /// Counts an answer to a heartbeat.
    pub(super) fn record_heartbeat(&self, answer: HeartbeatAnswer) {
        self.heartbeats
            .get_or_create(&HeartbeatLabels { answer })
            .inc();
    }

    /// Returns the number of answers to heartbeats of one kind.
    pub(super) fn heartbeats(&self, answer: HeartbeatAnswer) -> u64 {
        self.heartbeats
            .get_or_create(&HeartbeatLabels { answer })
            .get()
    }

    /// Counts a user's request as waiting until the guard is dropped.
    pub(super) fn track_waiting_user(&self) -> WaitingUser<'_> {
        self.waiting_users.inc();
        WaitingUser {
            metrics: self,
            is_answered: false,
        }
    }

    /// Returns the number of users' requests that wait for their answer.
    pub(super) fn waiting_users(&self) -> i64 {
        self.waiting_users.get()
    }

    /// Returns the number of users' requests that were abandoned.
    pub(super) fn abandoned_requests(&self) -> u64 {
        self.abandoned_requests.get()
    }
}

impl WaitingUser<'_> {
    /// Records that the request has its answer.
    pub(super) fn answered(mut self) {
        self.is_answered = true;
    }
}

impl Drop for WaitingUser<'_> {
    fn drop(&mut self) {
        self.metrics.waiting_users.dec();
        if !self.is_answered {
            self.metrics.abandoned_requests.inc();
        }
    }
}
