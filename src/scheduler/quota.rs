//! The quota ledger: the resources that each team uses, the part of them that belongs to tasks being stopped, and the team's
//! limit and guarantee.
//!
//! A task is charged to its team from its assignment until it is proven gone.

use super::params::TeamQuota;
use crate::resources::QuotaResources;

/// Index of a team.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct TeamIndex(usize);

/// A team's quota and resource usage.
#[derive(Debug)]
struct TeamAccount {
    quota: TeamQuota,
    in_use: QuotaResources,
    /// The part of `in_use` that belongs to tasks being stopped.
    being_stopped: QuotaResources,
}

/// Quotas and resource usage of all teams.
#[derive(Debug)]
pub(super) struct QuotaLedger {
    teams: Vec<TeamAccount>,
}

/// An amount of resources for each team.
#[derive(Debug, Clone)]
pub(super) struct AmountByTeam(Vec<QuotaResources>);

impl QuotaLedger {
    /// Returns a ledger in which no team uses any resources.
    pub(super) fn new(quotas: &[TeamQuota]) -> QuotaLedger {
        let account = |quota: &TeamQuota| TeamAccount {
            quota: quota.clone(),
            in_use: QuotaResources::ZERO,
            being_stopped: QuotaResources::ZERO,
        };
        QuotaLedger {
            teams: quotas.iter().map(account).collect(),
        }
    }

    /// Returns the team with a name, if the settings have one.
    pub(super) fn team(&self, name: &str) -> Option<TeamIndex> {
        let position = self.teams.iter().position(|team| team.quota.name == name)?;
        Some(TeamIndex(position))
    }

    /// Returns the resources that a team uses.
    #[cfg(test)]
    pub(super) fn in_use(&self, team: TeamIndex) -> QuotaResources {
        self.teams[team.0].in_use
    }

    /// Returns the resources of a team's tasks that are being stopped.
    #[cfg(test)]
    pub(super) fn being_stopped(&self, team: TeamIndex) -> QuotaResources {
        self.teams[team.0].being_stopped
    }

    /// Returns a team's guaranteed resources.
    pub(super) fn guarantee(&self, team: TeamIndex) -> QuotaResources {
        self.teams[team.0].quota.guarantee
    }

    /// Returns the resources that a team may use in addition; zero for a resource that is at or over its limit.
    pub(super) fn available(&self, team: TeamIndex) -> QuotaResources {
        let TeamAccount { quota, in_use, .. } = &self.teams[team.0];
        quota.limit.saturating_sub(*in_use)
    }

    /// Returns the resources that a team would have to free to use `more` in addition. After a change of its limit a team may
    /// be over it, and then has to free that excess as well.
    pub(super) fn shortfall(&self, team: TeamIndex, more: QuotaResources) -> QuotaResources {
        let TeamAccount { quota, in_use, .. } = &self.teams[team.0];
        in_use.saturating_add(more).saturating_sub(quota.limit)
    }

    /// Charges a task's resources to a team.
    pub(super) fn charge(&mut self, team: TeamIndex, amount: QuotaResources) {
        self.teams[team.0].in_use += amount;
    }

    /// Releases the resources of a task that is proven gone.
    pub(super) fn release(&mut self, team: TeamIndex, amount: QuotaResources) {
        self.teams[team.0].in_use -= amount;
    }

    /// Counts the resources of a task that is now being stopped.
    pub(super) fn begin_stop(&mut self, team: TeamIndex, amount: QuotaResources) {
        self.teams[team.0].being_stopped += amount;
    }

    /// Stops counting the resources of a task that was being stopped and is gone.
    pub(super) fn end_stop(&mut self, team: TeamIndex, amount: QuotaResources) {
        self.teams[team.0].being_stopped -= amount;
    }

    /// Returns a zero amount for each team.
    pub(super) fn zero_by_team(&self) -> AmountByTeam {
        AmountByTeam(vec![QuotaResources::ZERO; self.teams.len()])
    }

    /// Returns the resources that each team may use in addition.
    pub(super) fn available_by_team(&self) -> AmountByTeam {
        let available = |position| self.available(TeamIndex(position));
        AmountByTeam((0..self.teams.len()).map(available).collect())
    }

    /// Returns the resources of each team's tasks that are being stopped.
    pub(super) fn being_stopped_by_team(&self) -> AmountByTeam {
        AmountByTeam(self.teams.iter().map(|team| team.being_stopped).collect())
    }
}

impl AmountByTeam {
    /// Returns a mutable reference to the amount of a team.
    pub(super) fn get_mut(&mut self, team: TeamIndex) -> &mut QuotaResources {
        &mut self.0[team.0]
    }
}
