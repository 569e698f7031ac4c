//! The quota ledger: what each team uses, how much of that is being evicted, and what it may use.
//!
//! A task counts for its team from its assignment until it is proven gone.

use super::params::TeamQuota;
use crate::resources::QuotaResources;

/// Index of a team.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct TeamIndex(usize);

/// A team's quota and what it uses.
#[derive(Debug)]
struct TeamAccount {
    quota: TeamQuota,
    in_use: QuotaResources,
    /// What of it is being evicted.
    being_evicted: QuotaResources,
}

/// The quotas of all teams and what they use.
#[derive(Debug)]
pub(super) struct QuotaLedger {
    teams: Vec<TeamAccount>,
}

/// An amount for each team.
#[derive(Debug, Clone)]
pub(super) struct AmountByTeam(Vec<QuotaResources>);

impl QuotaLedger {
    /// A ledger of teams that use nothing.
    pub(super) fn new(quotas: &[TeamQuota]) -> QuotaLedger {
        let account = |quota: &TeamQuota| TeamAccount {
            quota: quota.clone(),
            in_use: QuotaResources::ZERO,
            being_evicted: QuotaResources::ZERO,
        };
        QuotaLedger {
            teams: quotas.iter().map(account).collect(),
        }
    }

    /// The team with a name.
    pub(super) fn team(&self, name: &str) -> Option<TeamIndex> {
        let position = self.teams.iter().position(|team| team.quota.name == name)?;
        Some(TeamIndex(position))
    }

    /// What a team uses.
    #[cfg(test)]
    pub(super) fn in_use(&self, team: TeamIndex) -> QuotaResources {
        self.teams[team.0].in_use
    }

    /// What of a team's use is being evicted.
    #[cfg(test)]
    pub(super) fn being_evicted(&self, team: TeamIndex) -> QuotaResources {
        self.teams[team.0].being_evicted
    }

    /// A team's guarantee.
    pub(super) fn guarantee(&self, team: TeamIndex) -> QuotaResources {
        self.teams[team.0].quota.guarantee
    }

    /// What a team may use in addition.
    pub(super) fn available(&self, team: TeamIndex) -> QuotaResources {
        let TeamAccount { quota, in_use, .. } = &self.teams[team.0];
        quota.limit.saturating_sub(*in_use)
    }

    /// What a team would have to free to use `more` in addition. Where limits are lifted or lowered the team may be over its
    /// limit; then nothing of this helps.
    pub(super) fn shortfall(&self, team: TeamIndex, more: QuotaResources) -> QuotaResources {
        let TeamAccount { quota, in_use, .. } = &self.teams[team.0];
        in_use.saturating_add(more).saturating_sub(quota.limit)
    }

    /// A task counts from now on.
    pub(super) fn charge(&mut self, team: TeamIndex, amount: QuotaResources) {
        self.teams[team.0].in_use += amount;
    }

    /// A task is gone.
    pub(super) fn release(&mut self, team: TeamIndex, amount: QuotaResources) {
        self.teams[team.0].in_use -= amount;
    }

    /// A task is being stopped.
    pub(super) fn begin_eviction(&mut self, team: TeamIndex, amount: QuotaResources) {
        self.teams[team.0].being_evicted += amount;
    }

    /// A task that was being stopped is gone.
    pub(super) fn end_eviction(&mut self, team: TeamIndex, amount: QuotaResources) {
        self.teams[team.0].being_evicted -= amount;
    }

    /// Nothing for each team.
    pub(super) fn zero_by_team(&self) -> AmountByTeam {
        AmountByTeam(vec![QuotaResources::ZERO; self.teams.len()])
    }

    /// What each team may use in addition.
    pub(super) fn available_by_team(&self) -> AmountByTeam {
        let available = |position| self.available(TeamIndex(position));
        AmountByTeam((0..self.teams.len()).map(available).collect())
    }

    /// What is being evicted of each team.
    pub(super) fn being_evicted_by_team(&self) -> AmountByTeam {
        AmountByTeam(self.teams.iter().map(|team| team.being_evicted).collect())
    }
}

impl AmountByTeam {
    /// A team's amount.
    pub(super) fn of(&mut self, team: TeamIndex) -> &mut QuotaResources {
        &mut self.0[team.0]
    }
}
