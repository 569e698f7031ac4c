//! The catalogue of machine types: refreshed from the cloud periodically, and kept in the store.

use super::{Handles, Round};
use crate::coordination::leadership::Term;
use crate::protocol::{MachineType, Txn};
use crate::store::{self, guard, json_bytes, put, Revision};
use crate::time::Timestamp;
use std::time::Duration;

/// Time between two requests while the machine types are known.
const REFRESH_INTERVAL: Duration = Duration::from_secs(20);
/// Time between two requests while the machine types are unknown.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Time of the latest request for the machine types.
#[derive(Debug, Default)]
pub(super) struct MachineTypeRefresh {
    requested_at: Option<Timestamp>,
}

impl MachineTypeRefresh {
    fn is_due(&self, round: Round) -> bool {
        let interval = if round.lacks_machine_types {
            RETRY_INTERVAL
        } else {
            REFRESH_INTERVAL
        };
        (round.has_authority || round.lacks_machine_types)
            && self
                .requested_at
                .is_none_or(|requested_at| round.now > requested_at + interval)
    }
}

impl Handles {
    /// Requests the machine types from the cloud, if a request is due.
    pub(super) async fn refresh_machine_types(
        &self,
        refresh: &mut MachineTypeRefresh,
        round: Round,
    ) {
        if !refresh.is_due(round) {
            return;
        }
        refresh.requested_at = Some(round.now);
        self.wait_for_cloud_rate_limit().await;
        // Without a response the known types remain, and the request is repeated after the interval.
        if let Ok(types) = self.cloud.machine_types().await {
            self.update_state(|state| state.set_machine_types(&types));
            self.store_machine_types(&types).await;
        }
    }

    /// Stores the machine types, so that a controller that starts while the cloud is down knows them.
    async fn store_machine_types(&self, types: &[MachineType]) {
        let guards = self.read_state(|state| {
            let Term { epoch_version, .. } = state.term()?;
            let stored = state.replica().catalogue.as_ref();
            if stored.is_some_and(|stored| are_equivalent(&stored.record, types)) {
                return None;
            }
            let (bytes, limit) = (json_bytes(&types), state.write_limits().value_bytes());
            if bytes > limit {
                tracing::error!(
                    bytes,
                    limit,
                    "machine types not stored: a controller that starts while the cloud is down may not know them"
                );
                return None;
            }
            let version = stored.map_or(Revision::ZERO, |stored| stored.version);
            Some(vec![
                guard(store::epoch_key(), epoch_version),
                guard(store::catalogue_key(), version),
            ])
        });
        let Some(guards) = guards else {
            return;
        };
        let txn = Txn {
            guards,
            apply: vec![put(store::catalogue_key(), &types, None)],
        };
        // A failure costs nothing: the types are compared with the store again after the next refresh.
        let _ = self.leader_transaction(&txn).await;
    }
}

/// Reports whether two catalogues have the same types by name, whole CPUs and zones. Prices are ignored, since they change too
/// often for every change to be stored.
fn are_equivalent(a: &[MachineType], b: &[MachineType]) -> bool {
    let same = |(a, b): (&MachineType, &MachineType)| {
        a.name == b.name && a.cpus.trunc() == b.cpus.trunc() && a.zones == b.zones
    };
    a.len() == b.len() && a.iter().zip(b).all(same)
}
