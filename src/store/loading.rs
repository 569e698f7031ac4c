//! Loading of a replica from the state service, page by page.

use super::keys::KeyFamily;
use super::metrics::{LoadOutcome, RequestKind};
use super::{Replica, ReplicaChange, Revision, StoreClient, StoreError};
use crate::protocol::Page;
use std::time::{Duration, Instant};

/// Timeout of reading a page of keys.
const PAGE_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of keys on a page.
const PAGE_SIZE: usize = 200;

impl StoreClient {
    /// Loads a replica, family by family and page by page. Final states are not loaded.
    ///
    /// # Errors
    /// Returns an error if any page cannot be read.
    pub async fn load(&self) -> Result<Replica, StoreError> {
        let started_at = Instant::now();
        let loaded = self.load_families().await;
        let took_ms = started_at.elapsed().as_millis();
        match &loaded {
            Ok(replica) => {
                self.metrics.record_load(LoadOutcome::Completed);
                let (revision, jobs) = (replica.revision, replica.live.len());
                tracing::info!(%revision, jobs, took_ms, "replica loaded");
            }
            Err(reason) => {
                self.metrics.record_load(LoadOutcome::Failed);
                tracing::info!(%reason, took_ms, "replica not loaded, a page could not be read");
            }
        }
        loaded
    }

    async fn load_families(&self) -> Result<Replica, StoreError> {
        let mut replica = Replica::default();
        let mut first_revision = None;
        for family in KeyFamily::REPLICATED {
            let revision = self.load_family(&mut replica, family).await?;
            first_revision.get_or_insert(revision);
        }
        // Starting the watch at the revision of the first page makes it deliver the changes that were made between the pages.
        replica.revision = first_revision.unwrap_or_default();
        replica.initialized = true;
        Ok(replica)
    }

    /// Loads the keys of a family into a replica, and returns the revision of the first page.
    async fn load_family(
        &self,
        replica: &mut Replica,
        family: KeyFamily,
    ) -> Result<Revision, StoreError> {
        let prefix = family.prefix();
        let mut after = String::new();
        let mut first_revision = None;
        loop {
            let page = self.read_page(&prefix, &after).await?;
            let revision = *first_revision.get_or_insert(page.revision);
            apply_page(replica, &page);
            match page.items.last() {
                Some(last) if page.has_more => after.clone_from(&last.key),
                _ => return Ok(revision),
            }
        }
    }

    /// Reads a page of the keys with a prefix, in key order, starting after the key `after`.
    async fn read_page(&self, prefix: &str, after: &str) -> Result<Page, StoreError> {
        let path = format!("/keys?starts={prefix}&after={after}&limit={PAGE_SIZE}");
        self.read(RequestKind::Page, &path, PAGE_TIMEOUT).await
    }
}

/// Applies a page of keys to a replica that is being loaded. The changes are discarded, since the whole replica is new.
fn apply_page(replica: &mut Replica, page: &Page) {
    let mut changes: Vec<ReplicaChange> = Vec::new();
    for item in &page.items {
        replica.put(&item.key, &item.value, item.version, &mut changes);
    }
}
