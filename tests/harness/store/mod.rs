//! A simulated state service: an in-memory key-value store that speaks its protocol, with leases that expire, watches with a
//! bounded history, and limits on rates and sizes that may change while it runs. Each controller has an address of its own, by which the service tells them apart.

mod content;
mod handlers;
mod limits;

pub(crate) use limits::{ExceededLimit, Limits, TransactionLoss};

use crate::harness::history::lock;
use crate::harness::topology::{ControllerId, Topology};
use actix_web::{web, App, HttpServer};
use content::{Committed, Content};
use hollowswitch::protocol::{Revision, Txn};
use limits::{Refusal, Troubles};
use serde::de::DeserializeOwned;
use std::io;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// Interval at which expired leases are ended. A lease may end 100 ms late.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// The simulated store. Clones share the content.
#[derive(Clone)]
pub(crate) struct SimulatedStore {
    content: Arc<Mutex<Content>>,
    troubles: Arc<Mutex<Troubles>>,
    changed: Arc<watch::Sender<Revision>>,
}

impl SimulatedStore {
    /// Creates an empty store whose watches can catch up with `history` changes.
    pub(crate) fn new(limits: Limits, history: usize) -> SimulatedStore {
        SimulatedStore {
            content: Arc::new(Mutex::new(Content::new(history))),
            troubles: Arc::new(Mutex::new(Troubles::new(limits))),
            changed: Arc::new(watch::channel(Revision::ZERO).0),
        }
    }

    /// Starts a server for each controller, and the expiry of leases.
    ///
    /// # Errors
    ///
    /// Returns an error if a server cannot listen on its address.
    pub(crate) fn start(&self, topology: &Topology) -> io::Result<()> {
        for controller in ControllerId::all() {
            let store = web::Data::new(self.clone());
            let app = move || {
                App::new()
                    .app_data(store.clone())
                    .app_data(web::Data::new(controller))
                    .app_data(web::PayloadConfig::new(1 << 20))
                    .configure(handlers::routes)
            };
            let server = HttpServer::new(app)
                .workers(1)
                .disable_signals()
                .bind(topology.store_address(controller))?;
            actix_web::rt::spawn(server.run());
        }
        actix_web::rt::spawn(self.clone().run_lease_expiry());
        Ok(())
    }

    /// Changes the troubles of the service.
    pub(crate) fn disturb(&self, change: impl FnOnce(&mut Troubles)) {
        change(&mut lock(&self.troubles));
    }

    /// Returns the record of a key, if it exists.
    pub(crate) fn read<T: DeserializeOwned>(&self, key: &str) -> Option<T> {
        let item = lock(&self.content).get(key)?;
        item.value.deserialized().ok()
    }

    /// Returns the keys with a prefix.
    pub(crate) fn keys(&self, prefix: &str) -> Vec<String> {
        lock(&self.content).keys(prefix)
    }

    async fn run_lease_expiry(self) {
        loop {
            tokio::time::sleep(LEASE_CHECK_INTERVAL).await;
            let outage_end = lock(&self.troubles).outage_end();
            if let Some(end) = outage_end {
                tokio::time::sleep_until(end.into()).await;
                lock(&self.content).renew_all_leases();
                continue;
            }
            self.change_content(Content::end_expired_leases);
        }
    }

    /// Changes the content and wakes the watches.
    fn change_content<T>(&self, change: impl FnOnce(&mut Content) -> T) -> T {
        let mut content = lock(&self.content);
        let result = change(&mut content);
        let revision = content.revision();
        self.changed.send_if_modified(|known| {
            let is_newer = revision > *known;
            *known = revision;
            is_newer
        });
        result
    }

    /// Admits a request of a controller.
    fn admit(&self, controller: ControllerId, changes: usize) -> Result<(), Refusal> {
        lock(&self.troubles).admit(controller, changes)
    }

    /// Checks the size of a transaction.
    fn check_size(&self, txn: &Txn) -> Result<(), ExceededLimit> {
        lock(&self.troubles).check_size(txn)
    }

    /// Returns the number of transactions that were refused for their size.
    pub(crate) fn refused_for_size(&self) -> u64 {
        lock(&self.troubles).refused_for_size()
    }

    fn unavailable_until(&self, controller: ControllerId) -> Instant {
        lock(&self.troubles).unavailable_until(controller)
    }

    fn latency(&self) -> Duration {
        lock(&self.troubles).latency()
    }

    /// Commits a transaction. Returns `None` if its answer is lost.
    fn commit(&self, txn: Txn) -> Option<Committed> {
        let loss = if txn.apply.is_empty() {
            None
        } else {
            lock(&self.troubles).next_loss()
        };
        match loss {
            None => Some(self.change_content(|content| content.commit(txn))),
            Some(TransactionLoss::RequestLost) => None,
            Some(TransactionLoss::AnswerLost) => {
                self.change_content(|content| content.commit(txn));
                None
            }
            Some(TransactionLoss::Late(delay)) => {
                self.commit_later(txn, delay);
                None
            }
            Some(TransactionLoss::Repeated(delay)) => {
                self.commit_later(txn.clone(), delay);
                Some(self.change_content(|content| content.commit(txn)))
            }
        }
    }

    fn commit_later(&self, txn: Txn, delay: Duration) {
        let store = self.clone();
        actix_web::rt::spawn(async move {
            tokio::time::sleep(delay).await;
            store.change_content(|content| content.commit(txn));
        });
    }
}
