//! Where tasks should run, after DGNS: measured capability, fastest group first, holders first, the transfer test.

#[cfg(test)]
mod tests;

use crate::resources::Resources;
use std::collections::{HashMap, HashSet};

/// Number of classes: a job's dominant requested resource.
pub const CLASSES: usize = 3;
/// Weight of a new measurement in a running mean.
const MEASUREMENT_WEIGHT: f64 = 0.2;

/// A job's class: which of CPU, accelerators and memory it takes the largest share of.
#[must_use]
pub fn class_of(requested: Resources, largest: Resources) -> usize {
    let share = |amount: u64, largest: u64| amount as f64 / largest.max(1) as f64;
    let shares = [
        share(requested.cpu_milli, largest.cpu_milli),
        share(requested.accelerator_milli, largest.accelerator_milli),
        share(requested.memory_mb, largest.memory_mb),
    ];
    (0..CLASSES).fold(0, |best, i| if shares[i] > shares[best] { i } else { best })
}

/// Running means of a machine's task times over their jobs' means, per class.
#[derive(Debug, Clone, Copy, Default)]
pub struct Capability([Option<f64>; CLASSES]);

impl Capability {
    /// Takes in a finished task: its time here over its job's mean time across machines.
    pub fn measure(&mut self, class: usize, ratio: f64) {
        let ratio = ratio.clamp(0.05, 20.0);
        let mean = self.0[class].map_or(ratio, |old| old + MEASUREMENT_WEIGHT * (ratio - old));
        self.0[class] = Some(mean);
    }

    /// c, if measured.
    #[must_use]
    pub fn get(&self, class: usize) -> Option<f64> {
        self.0[class].map(|mean| 1.0 / mean)
    }
}

/// A machine on which a job's tasks may run.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// Index of the machine.
    pub machine: usize,
    /// Measured or assumed capability.
    pub c: f64,
    /// Whether it holds the image.
    pub holder: bool,
    /// How many tasks fit now.
    pub room: u32,
    /// If it is a holder without room: when its tasks are expected to end, one after the other, each making room for
    /// one more; what others wait for already is left out.
    pub ends_s: Vec<f64>,
    /// Order among equals, lowest first.
    pub order: u64,
}

/// What is known of a job's tasks.
#[derive(Debug, Clone, Copy)]
pub struct Ask {
    /// How many places to find.
    pub tasks: u32,
    /// How many tasks wait; fewer than places where a zone's cap may leave some unused.
    pub waiting: u32,
    /// Expected time on a machine with c = 1.
    pub time_s: f64,
    /// Image size over the fetch rate.
    pub transfer_s: f64,
    /// Group factor.
    pub group_factor: f64,
    /// Whether the transfer test applies.
    pub transfer_test: bool,
}

/// Where tasks go.
#[derive(Debug, Default, PartialEq)]
pub struct Plan {
    /// Machines, and how many tasks each gets now.
    pub now: Vec<(usize, u32)>,
    /// Holders, and how many tasks wait for each.
    pub later: Vec<(usize, u32)>,
}

/// Spreads tasks over machines: groups from the fastest on, in each the holders first, then others whose time with the
/// transfer beats waiting for a holder. A task that should wait for a holder takes the place that it waits for, so that
/// the next one has to look further: without that, a whole queue would wait for one place while machines stand idle.
#[must_use]
pub fn plan(mut candidates: Vec<Candidate>, ask: Ask) -> Plan {
    candidates.sort_by(|a, b| b.c.total_cmp(&a.c));
    // Places on holders: expected completion there, the machine, and whether it is free now; the soonest last. A holder in
    // a slower group may have room that beats a transfer in a faster one.
    let mut places: Vec<(f64, usize, bool)> = Vec::new();
    if ask.transfer_test {
        for h in candidates.iter().filter(|h| h.holder) {
            let free = h.room.min(ask.waiting) as usize;
            places.extend(std::iter::repeat_n(
                (ask.time_s / h.c, h.machine, true),
                free,
            ));
            places.extend(
                h.ends_s
                    .iter()
                    .map(|end| (ask.time_s / h.c + end, h.machine, false)),
            );
        }
        places.sort_by(|a, b| b.0.total_cmp(&a.0));
    }
    // What was taken of holders ahead of their group's turn, and whose turn has passed.
    let mut taken: HashMap<usize, u32> = HashMap::new();
    let mut done: HashSet<usize> = HashSet::new();
    let mut left = ask.tasks;
    let mut out = Plan::default();
    let mut from = 0;
    while from < candidates.len() && left > 0 {
        let floor = candidates[from].c / ask.group_factor;
        let to = from
            + candidates[from..]
                .iter()
                .take_while(|m| m.c >= floor)
                .count();
        let mut group: Vec<&Candidate> =
            candidates[from..to].iter().filter(|m| m.room > 0).collect();
        group.sort_by_key(|m| (!m.holder, m.order));
        for m in group {
            if !m.holder {
                // Equation (5) of the paper with its sides named.
                let here = ask.time_s / m.c + ask.transfer_s;
                while left > 0 && places.last().is_some_and(|(there, ..)| here >= *there) {
                    let Some((_, holder, free)) = places.pop() else {
                        break;
                    };
                    if !free {
                        out.later.push((holder, 1));
                    } else if done.contains(&holder) {
                        continue;
                    } else {
                        *taken.entry(holder).or_default() += 1;
                        out.now.push((holder, 1));
                    }
                    left -= 1;
                }
            }
            let n = (m.room - taken.get(&m.machine).copied().unwrap_or(0)).min(left);
            done.insert(m.machine);
            if n > 0 {
                out.now.push((m.machine, n));
                left -= n;
            }
        }
        from = to;
    }
    out
}
