//! Amounts of CPUs, GPUs and memory. Amounts are integers, so that sums and differences are exact.

#[cfg(test)]
mod tests;

use std::ops::{AddAssign, SubAssign};

/// Amounts of all resources: the request of a task, or the capacity or load of a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Resources {
    /// CPUs in thousandths.
    pub cpu_milli: u64,
    /// GPUs in thousandths.
    pub gpu_milli: u64,
    /// Memory in MB.
    pub memory_mb: u64,
}

/// Amounts of the resources that quotas limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct QuotaResources {
    /// CPUs in thousandths.
    pub cpu_milli: u64,
    /// GPUs in thousandths.
    pub gpu_milli: u64,
}

impl Resources {
    /// No resources.
    pub const ZERO: Resources = Resources {
        cpu_milli: 0,
        gpu_milli: 0,
        memory_mb: 0,
    };

    /// One unit, which is the smallest amount, of every resource.
    pub const ONE: Resources = Resources {
        cpu_milli: 1,
        gpu_milli: 1,
        memory_mb: 1,
    };

    /// Creates the resource request of a task. The amounts are rounded up, so that rounding never overstates what is left of a
    /// quota or a machine.
    #[must_use]
    pub fn requested(cpus: f64, gpus: f64, memory_gb: f64) -> Resources {
        Resources {
            cpu_milli: thousandths_rounded_up(cpus),
            gpu_milli: thousandths_rounded_up(gpus),
            memory_mb: thousandths_rounded_up(memory_gb),
        }
    }

    /// Creates the capacity of a machine. The amounts are rounded down.
    #[must_use]
    pub fn capacity(cpus: f64, gpus: f64, memory_gb: f64) -> Resources {
        Resources {
            cpu_milli: thousandths_rounded_down(cpus),
            gpu_milli: thousandths_rounded_down(gpus),
            memory_mb: thousandths_rounded_down(memory_gb),
        }
    }

    /// Returns how many times these resources fit into `available`. A resource whose amount is 0 does not limit the count.
    #[must_use]
    pub fn count_fitting(self, available: Resources) -> u32 {
        let Resources {
            cpu_milli,
            gpu_milli,
            memory_mb,
        } = self;
        let count = times_fitting(available.cpu_milli, cpu_milli)
            .min(times_fitting(available.gpu_milli, gpu_milli))
            .min(times_fitting(available.memory_mb, memory_mb));
        saturating_u32(count)
    }

    /// Reports whether these resources fit into `available`.
    #[must_use]
    pub fn fits(self, available: Resources) -> bool {
        self.count_fitting(available) > 0
    }

    /// Reports whether the amount of every resource is at least that in `other`.
    #[must_use]
    pub fn covers(self, other: Resources) -> bool {
        self.cpu_milli >= other.cpu_milli
            && self.gpu_milli >= other.gpu_milli
            && self.memory_mb >= other.memory_mb
    }

    /// Returns the sum for each resource.
    #[must_use]
    pub fn saturating_add(self, other: Resources) -> Resources {
        self.combine(other, u64::saturating_add)
    }

    /// Returns the difference for each resource, or 0 where `other` has more.
    #[must_use]
    pub fn saturating_sub(self, other: Resources) -> Resources {
        self.combine(other, u64::saturating_sub)
    }

    /// Returns the amount of each resource multiplied by `count`.
    #[must_use]
    pub fn saturating_mul(self, count: u32) -> Resources {
        let count = u64::from(count);
        Resources {
            cpu_milli: self.cpu_milli.saturating_mul(count),
            gpu_milli: self.gpu_milli.saturating_mul(count),
            memory_mb: self.memory_mb.saturating_mul(count),
        }
    }

    /// Returns the smaller amount of each resource.
    #[must_use]
    pub fn min(self, other: Resources) -> Resources {
        self.combine(other, u64::min)
    }

    /// Returns the larger amount of each resource.
    #[must_use]
    pub fn max(self, other: Resources) -> Resources {
        self.combine(other, u64::max)
    }

    /// Returns the resources that count towards quotas.
    #[must_use]
    pub fn quota(self) -> QuotaResources {
        QuotaResources {
            cpu_milli: self.cpu_milli,
            gpu_milli: self.gpu_milli,
        }
    }

    /// Applies `operation` to the amounts of each resource.
    fn combine(self, other: Resources, operation: impl Fn(u64, u64) -> u64) -> Resources {
        Resources {
            cpu_milli: operation(self.cpu_milli, other.cpu_milli),
            gpu_milli: operation(self.gpu_milli, other.gpu_milli),
            memory_mb: operation(self.memory_mb, other.memory_mb),
        }
    }
}

impl QuotaResources {
    /// No resources.
    pub const ZERO: QuotaResources = QuotaResources {
        cpu_milli: 0,
        gpu_milli: 0,
    };

    /// An amount that limits no resource.
    pub const UNLIMITED: QuotaResources = QuotaResources {
        cpu_milli: u64::MAX,
        gpu_milli: u64::MAX,
    };

    /// Creates a guarantee of CPUs and GPUs.
    #[must_use]
    pub fn guarantee(cpus: f64, gpus: f64) -> QuotaResources {
        QuotaResources {
            cpu_milli: whole_thousandths(cpus),
            gpu_milli: whole_thousandths(gpus),
        }
    }

    /// Creates a limit on CPUs and GPUs. An amount of 0 means unlimited.
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
            gpu_milli: limit(gpus),
        }
    }

    /// Returns how many times these resources fit into `available`. A resource whose amount is 0 does not limit the count.
    #[must_use]
    pub fn count_fitting(self, available: QuotaResources) -> u32 {
        let count = times_fitting(available.cpu_milli, self.cpu_milli)
            .min(times_fitting(available.gpu_milli, self.gpu_milli));
        saturating_u32(count)
    }

    /// Returns the sum for each resource.
    #[must_use]
    pub fn saturating_add(self, other: QuotaResources) -> QuotaResources {
        self.combine(other, u64::saturating_add)
    }

    /// Returns the difference for each resource, or 0 where `other` has more.
    #[must_use]
    pub fn saturating_sub(self, other: QuotaResources) -> QuotaResources {
        self.combine(other, u64::saturating_sub)
    }

    /// Returns the smaller amount of each resource.
    #[must_use]
    pub fn min(self, other: QuotaResources) -> QuotaResources {
        self.combine(other, u64::min)
    }

    /// Returns the amount of each resource multiplied by `count`.
    #[must_use]
    pub fn saturating_mul(self, count: u32) -> QuotaResources {
        let count = u64::from(count);
        QuotaResources {
            cpu_milli: self.cpu_milli.saturating_mul(count),
            gpu_milli: self.gpu_milli.saturating_mul(count),
        }
    }

    /// Applies `operation` to the amounts of each resource.
    fn combine(self, other: QuotaResources, operation: impl Fn(u64, u64) -> u64) -> QuotaResources {
        QuotaResources {
            cpu_milli: operation(self.cpu_milli, other.cpu_milli),
            gpu_milli: operation(self.gpu_milli, other.gpu_milli),
        }
    }
}

impl AddAssign for QuotaResources {
    fn add_assign(&mut self, other: QuotaResources) {
        self.cpu_milli += other.cpu_milli;
        self.gpu_milli += other.gpu_milli;
    }
}

impl SubAssign for QuotaResources {
    fn sub_assign(&mut self, other: QuotaResources) {
        self.cpu_milli -= other.cpu_milli;
        self.gpu_milli -= other.gpu_milli;
    }
}

/// Returns how many times `amount` of a resource fits into `available`. An amount of 0 fits without limit.
fn times_fitting(available: u64, amount: u64) -> u64 {
    available.checked_div(amount).unwrap_or(u64::MAX)
}

fn saturating_u32(count: u64) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}

/// Largest rounding error, in thousandths, by which a floating-point amount may miss a whole number.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// Converts a requested amount to thousandths, rounded up. A value that exceeds a whole number only by a rounding error is not
/// rounded up.
fn thousandths_rounded_up(amount: f64) -> u64 {
    saturating_u64((amount * 1000.0 - ROUNDING_TOLERANCE).ceil())
}

/// Converts the amount of a quota to thousandths, rounded down. A value that is below a whole number only by a rounding error is
/// not rounded down.
fn whole_thousandths(amount: f64) -> u64 {
    saturating_u64((amount * 1000.0 + ROUNDING_TOLERANCE).floor())
}

/// Converts the capacity of a machine to thousandths, rounded down.
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
