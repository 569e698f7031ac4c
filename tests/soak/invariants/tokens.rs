//! The tokens that a worker accepts never go back.

use super::{Run, Violation};
use crate::harness::history::Observation;
use std::collections::HashMap;

pub(super) fn check(run: &Run, violations: &mut Vec<Violation>) {
    let mut highest: HashMap<&str, u64> = HashMap::new();
    for entry in run.history {
        let Observation::TokenAccepted { machine, token } = &entry.observation else {
            continue;
        };
        let highest = highest.entry(machine).or_default();
        if token < highest {
            violations.push(Violation::TokenWentBack(machine.clone()));
        }
        *highest = (*highest).max(*token);
    }
}
