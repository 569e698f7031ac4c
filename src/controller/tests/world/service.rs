//! The state service of the scripted world.

use super::*;

/// The state service.
#[derive(Default)]
pub(crate) struct Service {
    pub keys: BTreeMap<String, (Value, u64, Option<u64>)>,
    pub(super) events: Vec<Event>,
    pub revision: u64,
    pub(super) leases: BTreeMap<u64, (u64, u64)>,
    pub(super) next_lease: u64,
    pub down: bool,
    pub(super) refused: BTreeSet<usize>,
    /// Share of transactions that get no answer and are carried out later, and their number as they come.
    pub late_share: f64,
}

impl Service {
    pub(super) fn reach(&self, node: usize) -> Result<(), StoreError> {
        if self.down || self.refused.contains(&node) {
            return Err(StoreError::Refused);
        }
        Ok(())
    }

    pub(crate) fn decide(&mut self, txn: &Txn) -> Decided {
        let version = |g: &&Guard| self.keys.get(&g.key).map_or(0, |k| k.1) != g.version;
        let failed: Vec<String> = txn
            .guards
            .iter()
            .filter(version)
            .map(|g| g.key.clone())
            .collect();
        if !failed.is_empty() {
            return Decided::Failed(failed);
        }
        let leases = &self.leases;
        let lost =
            |c: &Change| matches!(c, Change::Put { lease: Some(h), .. } if !leases.contains_key(h));
        if txn.apply.iter().any(lost) {
            return Decided::Failed(vec!["hold".into()]);
        }
        if !txn.apply.is_empty() {
            self.revision += 1;
        }
        for change in &txn.apply {
            match change {
                Change::Put { put, value, lease } => {
                    self.keys
                        .insert(put.clone(), (value.clone(), self.revision, *lease));
                    self.events.push(Event::Put {
                        put: put.clone(),
                        value: value.clone(),
                        version: self.revision,
                    });
                }
                Change::Delete { key } => self.remove(key.clone()),
            }
        }
        Decided::Applied(self.revision)
    }

    pub(super) fn remove(&mut self, key: String) {
        if self.keys.remove(&key).is_some() {
            self.events.push(Event::Delete {
                key,
                version: self.revision,
            });
        }
    }

    pub(super) fn end_lease(&mut self, lease: u64) {
        if self.leases.remove(&lease).is_some() {
            let keys: Vec<String> = self
                .keys
                .iter()
                .filter(|(_, v)| v.2 == Some(lease))
                .map(|(k, _)| k.clone())
                .collect();
            for key in keys {
                self.revision += 1;
                self.remove(key);
            }
        }
    }

    pub(super) fn tick(&mut self, now: u64) {
        if !self.down {
            let ended: Vec<u64> = self
                .leases
                .iter()
                .filter(|(_, (end, _))| now > *end)
                .map(|(h, _)| *h)
                .collect();
            ended.into_iter().for_each(|h| self.end_lease(h));
        }
    }

    /// An outage is over: every leader lease has its full time again.
    pub(super) fn up(&mut self, now: u64) {
        self.down = false;
        self.leases
            .values_mut()
            .for_each(|(end, ttl)| *end = now + *ttl);
    }

    pub(super) fn get<T: serde::de::DeserializeOwned>(&self, key: &str) -> Option<Versioned<T>> {
        let (value, version, _) = self.keys.get(key)?;
        Some(Versioned {
            record: value.deserialized().ok()?,
            version: *version,
        })
    }

    pub(super) fn load(&self) -> Mirror {
        let (mut m, mut seen) = (Mirror::default(), Vec::new());
        for (key, (value, version, _)) in self.keys.iter().filter(|(k, _)| !k.contains("/over/")) {
            m.put(key, value, *version, &mut seen);
        }
        (m.revision, m.loaded) = (self.revision, true);
        m
    }
}
