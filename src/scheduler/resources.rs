//! Amounts of CPU, accelerators and memory, in whole numbers.

/// CPUs in thousandths, accelerators in thousandths, memory in MB.
pub type Amounts = [u64; 3];

pub(super) fn amounts(cpus: f64, gpus: f64, memory_gb: f64) -> Amounts {
    // Rounded up, so that rounding can never make a quota or a machine look roomier than it is.
    [cpus, gpus, memory_gb].map(|x| (x * 1000.0 - 1e-6).ceil().max(0.0) as u64)
}

pub(super) fn fits(need: &Amounts, room: &Amounts) -> u32 {
    let times = |i: usize| room[i].checked_div(need[i]).unwrap_or(u64::MAX);
    (0..3)
        .map(times)
        .min()
        .unwrap_or(0)
        .min(u64::from(u32::MAX)) as u32
}

pub(super) fn less(a: &Amounts, b: &Amounts, n: u64) -> Amounts {
    std::array::from_fn(|i| a[i].saturating_sub(b[i].saturating_mul(n)))
}

pub(super) fn more(a: &Amounts, b: &Amounts, n: u64) -> Amounts {
    std::array::from_fn(|i| a[i].saturating_add(b[i].saturating_mul(n)))
}
