//! Validation of the settings. Errors name a field by its path in the file.

use super::{
    CloudLimits, Deployment, InvalidValue, NextStateLimits, OperatorSettings, PlatformSettings,
    Problem, StateLimits, Team, WorkerTimings,
};
use std::ops::RangeInclusive;

/// Minimum of the limit on changes per transaction. Transactions of the leader need this many changes.
const MIN_TRANSACTION_CHANGES: usize = 4;
/// Minimum of the announced limit on changes per transaction, which a cancellation needs.
const MIN_ANNOUNCED_TRANSACTION_CHANGES: usize = 3;
/// Allowed range of the time to live of the leader lease, in seconds.
const LEADER_LEASE_RANGE_S: RangeInclusive<f64> = 0.5..=60.0;

impl PlatformSettings {
    pub(super) fn validate(&self) -> Result<(), InvalidValue> {
        self.deployment.validate()?;
        let contains_this_controller = self.peers.iter().any(|peer| peer.node == self.node);
        ensure(
            !contains_this_controller,
            "peers",
            Problem::ContainsThisController,
        )
    }
}

impl Deployment {
    fn validate(&self) -> Result<(), InvalidValue> {
        self.workers.validate()?;
        self.state.validate()?;
        self.cloud.validate()?;
        self.teams.iter().try_for_each(Team::validate)
    }
}

impl WorkerTimings {
    fn validate(&self) -> Result<(), InvalidValue> {
        const LEASE: &str = "deployment.workers.lease_s";
        const CANCEL: &str = "deployment.workers.cancel_s";
        ensure_positive(self.report_s, "deployment.workers.report_s")?;
        ensure_positive(self.lease_s, LEASE)?;
        ensure_positive(self.cancel_s, CANCEL)?;
        ensure(self.lease_s > self.report_s, LEASE, Problem::LeaseTooShort)?;
        ensure(
            self.cancel_s > self.lease_s,
            CANCEL,
            Problem::CancellationTooShort,
        )
    }
}

impl StateLimits {
    fn validate(&self) -> Result<(), InvalidValue> {
        ensure_positive(self.rps, "deployment.state.rps")?;
        ensure_positive(self.write_rps, "deployment.state.write_rps")?;
        ensure_positive(self.value_kb, "deployment.state.value_kb")?;
        ensure(
            self.txn_ops >= MIN_TRANSACTION_CHANGES,
            "deployment.state.txn_ops",
            Problem::TooFewChanges(MIN_TRANSACTION_CHANGES),
        )?;
        self.next.map_or(Ok(()), NextStateLimits::validate)
    }
}

impl NextStateLimits {
    fn validate(self) -> Result<(), InvalidValue> {
        let fields = [
            (self.rps, "deployment.state.next.rps"),
            (self.write_rps, "deployment.state.next.write_rps"),
            (self.value_kb, "deployment.state.next.value_kb"),
        ];
        for (value, field) in fields {
            value.map_or(Ok(()), |value| ensure_positive(value, field))?;
        }
        let enough_changes = |changes| changes >= MIN_ANNOUNCED_TRANSACTION_CHANGES;
        ensure(
            self.txn_ops.is_none_or(enough_changes),
            "deployment.state.next.txn_ops",
            Problem::TooFewChanges(MIN_ANNOUNCED_TRANSACTION_CHANGES),
        )
    }
}

impl CloudLimits {
    fn validate(&self) -> Result<(), InvalidValue> {
        ensure_positive(self.rps, "deployment.cloud.rps")
    }
}

impl Team {
    fn validate(&self) -> Result<(), InvalidValue> {
        const TEAMS: &str = "deployment.teams";
        for (guarantee, limit) in [(self.cpus, self.cpus_max), (self.gpus, self.gpus_max)] {
            let valid_amounts = is_finite_non_negative(guarantee) && is_finite_non_negative(limit);
            ensure(valid_amounts, TEAMS, Problem::InvalidQuota)?;
            let has_limit = limit > 0.0;
            let within_limit = !has_limit || guarantee <= limit;
            ensure(within_limit, TEAMS, Problem::GuaranteeAboveLimit)?;
        }
        Ok(())
    }
}

impl OperatorSettings {
    pub(super) fn validate(&self) -> Result<(), InvalidValue> {
        let valid_group_factor = self.group_factor.is_finite() && self.group_factor >= 1.0;
        ensure(valid_group_factor, "group_factor", Problem::BelowOne)?;
        let valid_fetch_rate = is_finite_positive(self.fetch_gb_per_s);
        ensure(valid_fetch_rate, "fetch_gb_per_s", Problem::NotAboveZero)?;
        let valid_idle_timeout = is_finite_non_negative(self.idle_timeout_s);
        ensure(valid_idle_timeout, "idle_return_s", Problem::Negative)?;
        let valid_leader_lease = LEADER_LEASE_RANGE_S.contains(&self.leader_lease_s);
        ensure(valid_leader_lease, "hold_s", Problem::LeaderLeaseOutOfRange)
    }
}

fn ensure(valid: bool, field: &'static str, problem: Problem) -> Result<(), InvalidValue> {
    if valid {
        Ok(())
    } else {
        Err(InvalidValue { field, problem })
    }
}

fn ensure_positive(value: f64, field: &'static str) -> Result<(), InvalidValue> {
    ensure(is_finite_positive(value), field, Problem::NotPositive)
}

fn is_finite_positive(value: f64) -> bool {
    value.is_finite() && value > 0.0
}

fn is_finite_non_negative(value: f64) -> bool {
    value.is_finite() && value >= 0.0
}
