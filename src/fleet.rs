//! Which machines to rent and to return. Pure: needs and machines in, wishes out.

use crate::part::{MachineState, Need, Part};
use std::collections::HashMap;

/// An offer: machine type, zone, spot or not.
pub type Offer = (usize, usize, bool);

/// Machines to be rented.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Wish {
    /// What.
    pub offer: Offer,
    /// How many.
    pub count: u32,
}

#[derive(Debug, Clone, Copy)]
struct Backoff {
    until: u64,
    step_ms: u64,
}

/// The fleet's memory.
#[derive(Default)]
pub struct Fleet {
    refused: HashMap<Offer, Backoff>,
}

const FIRST_BACKOFF_MS: u64 = 8_000;
const LAST_BACKOFF_MS: u64 = 60_000;

impl Fleet {
    /// An offer was refused, or only partly filled.
    pub fn refused(&mut self, offer: Offer, now: u64) {
        let b = self.refused.entry(offer).or_insert(Backoff { until: 0, step_ms: FIRST_BACKOFF_MS / 2 });
        b.step_ms = (b.step_ms * 2).min(LAST_BACKOFF_MS);
        b.until = now + b.step_ms;
    }

    /// An offer was filled.
    pub fn filled(&mut self, offer: Offer) {
        self.refused.remove(&offer);
    }

    fn open(&self, offer: &Offer, now: u64) -> bool {
        self.refused.get(offer).is_none_or(|b| b.until <= now)
    }

    /// What to rent for these needs, the most urgent first.
    pub fn wishes(&self, part: &Part, needs: &[Need], now: u64) -> Vec<Wish> {
        let types = part.types();
        let whole = |t: usize| [types[t].cpus, types[t].gpus, types[t].memory_gb].map(|x| (x * 1000.0) as u64);
        // Room left on machines wished for already.
        let mut wished: Vec<(Offer, [u64; 3])> = Vec::new();
        for need in needs {
            let mut left = need.tasks;
            let allowed = |(t, z, spot): &Offer| {
                (need.spot || !spot)
                    && need.types.as_ref().is_none_or(|l| l.contains(t))
                    && need.zones.as_ref().is_none_or(|l| l.contains(z))
            };
            let fits = |room: &[u64; 3]| {
                (0..3).map(|i| room[i].checked_div(need.need[i]).unwrap_or(u64::MAX)).min().unwrap_or(0).min(1 << 20)
                    as u32
            };
            for (_, room) in wished.iter_mut().filter(|(o, _)| allowed(o)) {
                let n = fits(room).min(left);
                (0..3).for_each(|i| room[i] -= need.need[i] * n as u64);
                left -= n;
            }
            while left > 0 && wished.len() < 100 {
                let mut best: Option<(f64, Offer, u32)> = None;
                for (t, kind) in types.iter().enumerate() {
                    let n = fits(&whole(t));
                    if n == 0 {
                        continue;
                    }
                    // Price per useful CPU: room beyond this need counts half, since others may use it.
                    let useful = if left >= n { n as f64 } else { left as f64 + (n - left) as f64 / 2.0 };
                    for zone in kind.zones.iter().filter_map(|z| part.zone_index(z)) {
                        for spot in [true, false] {
                            let offer = (t, zone, spot);
                            if !allowed(&offer) || !self.open(&offer, now) {
                                continue;
                            }
                            let hourly = if spot { kind.spot_price } else { kind.price };
                            let price = hourly / useful;
                            if best.is_none_or(|(p, ..)| price < p) {
                                best = Some((price, offer, n));
                            }
                        }
                    }
                }
                let Some((_, offer, n)) = best else { break };
                let take = n.min(left);
                let mut room = whole(offer.0);
                (0..3).for_each(|i| room[i] -= need.need[i] * take as u64);
                wished.push((offer, room));
                left -= take;
            }
        }
        let mut out: Vec<Wish> = Vec::new();
        for (offer, _) in wished {
            match out.iter_mut().find(|w| w.offer == offer && w.count < crate::cloud::RENT_MOST) {
                Some(w) => w.count += 1,
                None => out.push(Wish { offer, count: 1 }),
            }
        }
        out
    }

    /// Moves machines that should go towards their release: stuck ones, drained ones, idle ones.
    pub fn returns(&self, part: &mut Part, idle_ms: u64, busy: bool, now: u64) {
        let mut go = Vec::new();
        for (i, m) in part.machines() {
            let idle = m.idle_since.is_some_and(|s| now > s + idle_ms);
            match m.state {
                MachineState::Waiting if part.overdue(m, 3.0) => go.push((i, "never came up")),
                MachineState::Draining if m.idle_since.is_some() => go.push((i, "drained")),
                MachineState::Up if idle && !busy => go.push((i, "idle")),
                _ => {}
            }
        }
        for (i, why) in go {
            part.enter(i, MachineState::Releasing, why);
        }
    }
}
