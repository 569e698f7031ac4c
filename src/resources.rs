//! Amounts of CPU, accelerators and memory, in whole numbers, so that sums and differences are exact.

#[cfg(test)]
mod tests;

use std::ops::{AddAssign, SubAssign};

/// Amounts of all resources: what a task takes, or what a machine has.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Resources {
    /// CPUs in thousandths.
    pub cpu_milli: u64,
    /// Accelerators in thousandths.
    pub accelerator_milli: u64,
    /// Memory in MB.
    pub memory_mb: u64,
}

/// The resources that quotas limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct QuotaResources {
    /// CPUs in thousandths.
    pub cpu_milli: u64,
    /// Accelerators in thousandths.
    pub accelerator_milli: u64,
}

impl Resources {
    /// Nothing of anything.
    pub const ZERO: Resources = Resources {
        cpu_milli: 0,
        accelerator_milli: 0,
        memory_mb: 0,
    };

    /// The smallest amount of everything.
    pub const ONE: Resources = Resources {
        cpu_milli: 1,
        accelerator_milli: 1,
        memory_mb: 1,
    };

    /// What a task asks for. Rounded up, so that rounding can never make a quota or a machine look roomier than it is.
    #[must_use]
    pub fn requested(cpus: f64, gpus: f64, memory_gb: f64) -> Resources {
        Resources {
            cpu_milli: thousandths_rounded_up(cpus),
            accelerator_milli: thousandths_rounded_up(gpus),
            memory_mb: thousandths_rounded_up(memory_gb),
        }
    }

    /// What a machine has, rounded down.
    #[must_use]
    pub fn capacity(cpus: f64, gpus: f64, memory_gb: f64) -> Resources {
        Resources {
            cpu_milli: thousandths_rounded_down(cpus),
            accelerator_milli: thousandths_rounded_down(gpus),
            memory_mb: thousandths_rounded_down(memory_gb),
        }
    }

    /// How many times this fits into `available`. A resource of which this takes nothing does not limit it.
    #[must_use]
    pub fn count_fitting(self, available: Resources) -> u32 {
        let Resources {
            cpu_milli,
            accelerator_milli,
            memory_mb,
        } = self;
        let count = times(available.cpu_milli, cpu_milli)
            .min(times(available.accelerator_milli, accelerator_milli))
            .min(times(available.memory_mb, memory_mb));
        saturating_u32(count)
    }

    /// Whether this fits into `available` at least once.
    #[must_use]
    pub fn fits(self, available: Resources) -> bool {
        self.count_fitting(available) > 0
    }

    /// Whether this is at least as much as `other` of each resource.
    #[must_use]
    pub fn covers(self, other: Resources) -> bool {
        self.cpu_milli >= other.cpu_milli
            && self.accelerator_milli >= other.accelerator_milli
            && self.memory_mb >= other.memory_mb
    }

    /// This and `other`.
    #[must_use]
    pub fn saturating_add(self, other: Resources) -> Resources {
        self.combined(other, u64::saturating_add)
    }

    /// What is left of this without `other`, at least nothing.
    #[must_use]
    pub fn saturating_sub(self, other: Resources) -> Resources {
        self.combined(other, u64::saturating_sub)
    }

    /// This a number of times.
    #[must_use]
    pub fn saturating_mul(self, count: u32) -> Resources {
        let count = u64::from(count);
        Resources {
            cpu_milli: self.cpu_milli.saturating_mul(count),
            accelerator_milli: self.accelerator_milli.saturating_mul(count),
            memory_mb: self.memory_mb.saturating_mul(count),
        }
    }

    /// The lesser amount of each resource.
    #[must_use]
    pub fn min(self, other: Resources) -> Resources {
        self.combined(other, u64::min)
    }

    /// The larger amount of each resource.
    #[must_use]
    pub fn max(self, other: Resources) -> Resources {
        self.combined(other, u64::max)
    }

    /// What counts for a quota.
    #[must_use]
    pub fn quota(self) -> QuotaResources {
        QuotaResources {
            cpu_milli: self.cpu_milli,
            accelerator_milli: self.accelerator_milli,
        }
    }

    fn combined(self, other: Resources, operation: impl Fn(u64, u64) -> u64) -> Resources {
        Resources {
            cpu_milli: operation(self.cpu_milli, other.cpu_milli),
            accelerator_milli: operation(self.accelerator_milli, other.accelerator_milli),
            memory_mb: operation(self.memory_mb, other.memory_mb),
        }
    }
}

impl QuotaResources {
    /// Nothing of anything.
    pub const ZERO: QuotaResources = QuotaResources {
        cpu_milli: 0,
        accelerator_milli: 0,
    };

    /// No limit.
    pub const UNLIMITED: QuotaResources = QuotaResources {
        cpu_milli: u64::MAX,
        accelerator_milli: u64::MAX,
    };

    /// A guarantee of CPUs and accelerators.
    #[must_use]
    pub fn guarantee(cpus: f64, gpus: f64) -> QuotaResources {
        QuotaResources {
            cpu_milli: whole_thousandths(cpus),
            accelerator_milli: whole_thousandths(gpus),
        }
    }

    /// A limit of CPUs and accelerators, where 0 means none.
    #[must_use]
    pub fn limit(cpus: f64, gpus: f64) -> QuotaResources {
        let limit = |amount: f64| {
            if amount > 0.0 {
                whole_thousandths(amount)
            } else {
                u64::MAX
            }
        };
        QuotaResources {
            cpu_milli: limit(cpus),
            accelerator_milli: limit(gpus),
        }
    }

    /// How many times this fits into `available`. A resource of which this takes nothing does not limit it.
    #[must_use]
    pub fn count_fitting(self, available: QuotaResources) -> u32 {
        let count = times(available.cpu_milli, self.cpu_milli)
            .min(times(available.accelerator_milli, self.accelerator_milli));
        saturating_u32(count)
    }

    /// This and `other`.
    #[must_use]
    pub fn saturating_add(self, other: QuotaResources) -> QuotaResources {
        self.combined(other, u64::saturating_add)
    }

    /// What is left of this without `other`, at least nothing.
    #[must_use]
    pub fn saturating_sub(self, other: QuotaResources) -> QuotaResources {
        self.combined(other, u64::saturating_sub)
    }

    /// The lesser amount of each resource.
    #[must_use]
    pub fn min(self, other: QuotaResources) -> QuotaResources {
        self.combined(other, u64::min)
    }

    /// This a number of times.
    #[must_use]
    pub fn saturating_mul(self, count: u32) -> QuotaResources {
        let count = u64::from(count);
        QuotaResources {
            cpu_milli: self.cpu_milli.saturating_mul(count),
            accelerator_milli: self.accelerator_milli.saturating_mul(count),
        }
    }

    fn combined(
        self,
        other: QuotaResources,
        operation: impl Fn(u64, u64) -> u64,
    ) -> QuotaResources {
        QuotaResources {
            cpu_milli: operation(self.cpu_milli, other.cpu_milli),
            accelerator_milli: operation(self.accelerator_milli, other.accelerator_milli),
        }
    }
}

impl AddAssign for QuotaResources {
    fn add_assign(&mut self, other: QuotaResources) {
        self.cpu_milli += other.cpu_milli;
        self.accelerator_milli += other.accelerator_milli;
    }
}

impl SubAssign for QuotaResources {
    fn sub_assign(&mut self, other: QuotaResources) {
        self.cpu_milli -= other.cpu_milli;
        self.accelerator_milli -= other.accelerator_milli;
    }
}

/// How many times an amount of one resource is available.
fn times(available: u64, amount: u64) -> u64 {
    available.checked_div(amount).unwrap_or(u64::MAX)
}

fn saturating_u32(count: u64) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}

/// The difference by which the rounding of floats may miss a whole number.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// For what is asked for. What is whole but for the rounding of floats is not rounded up.
fn thousandths_rounded_up(amount: f64) -> u64 {
    saturating_u64((amount * 1000.0 - ROUNDING_TOLERANCE).ceil())
}

/// For quotas. What is whole but for the rounding of floats is not rounded down.
fn whole_thousandths(amount: f64) -> u64 {
    saturating_u64((amount * 1000.0 + ROUNDING_TOLERANCE).floor())
}

/// For what machines have.
fn thousandths_rounded_down(amount: f64) -> u64 {
    saturating_u64(amount * 1000.0)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "float to integer casts saturate, which is what is wanted"
)]
fn saturating_u64(amount: f64) -> u64 {
    amount as u64
}
