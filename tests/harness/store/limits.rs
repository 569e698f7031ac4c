//! Limits and troubles of the simulated state service.

use crate::harness::rate_limit::RateLimit;
use crate::harness::topology::{ControllerId, CONTROLLER_COUNT};
use hollowswitch::protocol::{Change, Txn};
use serde::Serialize;
use std::time::{Duration, Instant};

/// Bursts of one second's worth of requests are allowed.
const BURST_S: f64 = 1.0;

/// Number of guards that a transaction may have for each change that it may have.
const GUARDS_PER_CHANGE: usize = 4;
/// Maximum size of a transaction, in bytes.
const MAX_TRANSACTION_BYTES: usize = 64 << 10;
/// Size of a KiB, in bytes.
const KIB: f64 = 1024.0;

/// The limits of the service, which may change while it runs. Sizes are measured in the form of JSON.
///
/// The names of the fields are those of the settings file.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub(crate) struct Limits {
    /// Requests per second.
    pub(crate) rps: f64,
    /// Changes per second.
    pub(crate) write_rps: f64,
    /// Maximum size of a value, in KiB.
    pub(crate) value_kb: f64,
    /// Maximum number of changes in a transaction.
    pub(crate) txn_ops: usize,
}

impl Limits {
    /// Limits that refuse nothing.
    pub(crate) const NONE: Limits = Limits {
        rps: f64::INFINITY,
        write_rps: f64::INFINITY,
        value_kb: f64::INFINITY,
        txn_ops: usize::MAX,
    };

    /// Returns the limit on the size of transactions that a transaction exceeds, if there is one.
    fn exceeded_by(&self, txn: &Txn) -> Option<ExceededLimit> {
        let is_too_large = |change: &Change| match change {
            Change::Put { value, .. } => json_bytes(value) as f64 > self.value_kb * KIB,
            Change::Delete { .. } => false,
        };
        if txn.apply.len() > self.txn_ops {
            Some(ExceededLimit::Changes)
        } else if txn.guards.len() > self.txn_ops.saturating_mul(GUARDS_PER_CHANGE) {
            Some(ExceededLimit::Guards)
        } else if txn.apply.iter().any(is_too_large) {
            Some(ExceededLimit::ValueBytes)
        } else if json_bytes(txn) > MAX_TRANSACTION_BYTES {
            Some(ExceededLimit::TransactionBytes)
        } else {
            None
        }
    }
}

/// A limit on the size of transactions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ExceededLimit {
    /// The number of changes.
    Changes,
    /// The number of guards.
    Guards,
    /// The size of a value.
    ValueBytes,
    /// The size of the whole transaction.
    TransactionBytes,
}

/// Returns the size of a message in the form of JSON, in bytes.
fn json_bytes(message: &impl Serialize) -> usize {
    let json =
        serde_json::to_vec(message).expect("messages of the protocol can be written as JSON");
    json.len()
}

/// Limits and troubles. Each trouble ends by itself.
pub(crate) struct Troubles {
    limits: Limits,
    refused_for_size: u64,
    requests: RateLimit,
    changes: RateLimit,
    outage_until: Instant,
    refused_until: [Instant; CONTROLLER_COUNT],
    slow_until: Instant,
    latency: Duration,
    lossy_until: Instant,
    loss: TransactionLoss,
    loss_every: u64,
    transactions: u64,
}

/// What happens to a transaction that gets no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TransactionLoss {
    /// It is carried out at once.
    AnswerLost,
    /// It is carried out after a delay.
    Late(Duration),
    /// It is never carried out.
    RequestLost,
    /// It is carried out and answered, and a copy is carried out after a delay.
    Repeated(Duration),
}

/// The reason why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// The rate limit is exceeded (429).
    RateLimited,
    /// The service has an outage, or refuses this controller (503).
    Unavailable,
}

impl Troubles {
    /// Creates the limits, without troubles.
    pub(crate) fn new(limits: Limits) -> Troubles {
        let now = Instant::now();
        Troubles {
            limits,
            refused_for_size: 0,
            requests: RateLimit::new(limits.rps, BURST_S),
            changes: RateLimit::new(limits.write_rps, BURST_S),
            outage_until: now,
            refused_until: [now; CONTROLLER_COUNT],
            slow_until: now,
            latency: Duration::ZERO,
            lossy_until: now,
            loss: TransactionLoss::AnswerLost,
            loss_every: 1,
            transactions: 0,
        }
    }

    /// Changes the limits from now on. What is stored stays readable.
    pub(crate) fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
        self.requests.set_rate(limits.rps);
        self.changes.set_rate(limits.write_rps);
    }

    /// Returns the number of transactions that were refused for their size.
    pub(crate) fn refused_for_size(&self) -> u64 {
        self.refused_for_size
    }

    /// Refuses all controllers for some time.
    pub(crate) fn start_outage(&mut self, duration: Duration) {
        self.outage_until = self.outage_until.max(Instant::now() + duration);
    }

    /// Refuses one controller for some time.
    pub(crate) fn refuse(&mut self, controller: ControllerId, duration: Duration) {
        let until = &mut self.refused_until[controller.0];
        *until = (*until).max(Instant::now() + duration);
    }

    /// Delays every answer for some time.
    pub(crate) fn slow_down(&mut self, latency: Duration, duration: Duration) {
        self.latency = latency;
        self.slow_until = Instant::now() + duration;
    }

    /// Loses one of `every` transactions for some time.
    pub(crate) fn lose_transactions(
        &mut self,
        loss: TransactionLoss,
        every: u64,
        duration: Duration,
    ) {
        self.loss = loss;
        self.loss_every = every.max(1);
        self.lossy_until = Instant::now() + duration;
    }

    /// Returns the end of the current outage, if there is one.
    pub(crate) fn outage_end(&self) -> Option<Instant> {
        (Instant::now() < self.outage_until).then_some(self.outage_until)
    }

    /// Returns until when a controller is refused.
    pub(crate) fn unavailable_until(&self, controller: ControllerId) -> Instant {
        self.outage_until.max(self.refused_until[controller.0])
    }

    /// Returns the current latency of answers.
    pub(crate) fn latency(&self) -> Duration {
        if Instant::now() < self.slow_until {
            self.latency
        } else {
            Duration::ZERO
        }
    }

    /// Admits a request with a number of changes.
    pub(crate) fn admit(
        &mut self,
        controller: ControllerId,
        changes: usize,
    ) -> Result<(), Refusal> {
        if Instant::now() < self.unavailable_until(controller) {
            return Err(Refusal::Unavailable);
        }
        let is_admitted = self.requests.try_take(1) && self.changes.try_take(changes);
        if is_admitted {
            Ok(())
        } else {
            Err(Refusal::RateLimited)
        }
    }

    /// Checks the size of a transaction.
    pub(crate) fn check_size(&mut self, txn: &Txn) -> Result<(), ExceededLimit> {
        let exceeded = self.limits.exceeded_by(txn);
        self.refused_for_size += u64::from(exceeded.is_some());
        exceeded.map_or(Ok(()), Err)
    }

    /// Returns what happens to the next transaction, if it is lost.
    pub(crate) fn next_loss(&mut self) -> Option<TransactionLoss> {
        if Instant::now() >= self.lossy_until {
            return None;
        }
        self.transactions += 1;
        self.transactions
            .is_multiple_of(self.loss_every)
            .then_some(self.loss)
    }
}
