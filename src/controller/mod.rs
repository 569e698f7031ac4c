//! A controller: the actor that joins the pure parts to the state service, the cloud, the workers and the users.

mod election;
mod persistence;
mod provisioning;
mod state;
#[cfg(test)]
mod tests;
mod user_requests;

use self::state::{Clock, ControllerState, PASS_MS};
use crate::clients::cloud::CloudClient;
use crate::clients::worker;
use crate::config::Settings;
use crate::coordination::leadership::Event;
use crate::coordination::peers::{self, Cancelled, View};
use crate::protocol::{JobSpec, JobView, Report, ReportReply, Txn};
use crate::store::{self, guard, Decided, StoreClient, StoreError};
use actix::prelude::*;
use futures_util::future::{select, Either};
use rand::Rng;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::{oneshot, watch, Notify};

/// A user submits a job.
#[derive(Message)]
#[rtype(result = "Answer")]
pub struct Submit(pub JobSpec);
/// A user asks about a job.
#[derive(Message)]
#[rtype(result = "Answer")]
pub struct Poll(pub String);
/// A user cancels a job.
#[derive(Message)]
#[rtype(result = "Answer")]
pub struct Abort(pub String);
/// A health check.
#[derive(Message)]
#[rtype(result = "bool")]
pub struct Health;
/// A worker reports.
#[derive(Message)]
#[rtype(result = "WorkerResponse")]
pub struct WorkerReport(pub Report);
/// Another controller tells its view.
#[derive(Message)]
#[rtype(result = "View")]
pub struct PeerView(pub View);
/// Another controller tells of cancellations that are durable.
#[derive(Message)]
#[rtype(result = "u64")]
pub struct PeerCancelled(pub Cancelled);

/// What a user is told.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// A job's state, with the status.
    Job(u16, JobView),
    /// Never accepted.
    Unknown,
    /// Can never run.
    Never(&'static str),
    /// Ask again, in so many seconds.
    Later(u32),
}

/// What a worker is told.
#[derive(Debug, Clone, PartialEq)]
pub enum WorkerAnswer {
    /// Commands.
    Reply(ReportReply),
    /// Another node is in charge.
    Elsewhere(Option<String>),
    /// Nobody is known to be.
    Later,
}

/// What a worker is told, and until when that may be sent.
#[derive(Debug)]
pub struct WorkerResponse {
    /// The answer.
    pub answer: WorkerAnswer,
    /// When the authority under which it was decided ends.
    pub valid_until: Option<Instant>,
}

/// A connection that fails sooner was refused.
const REFUSED_MS: u128 = 500;

/// The handles that the loops share.
#[derive(Clone)]
struct Shared {
    controller: Rc<RefCell<ControllerState>>,
    store: StoreClient,
    cloud: CloudClient,
    http: awc::Client,
    revision: Rc<watch::Sender<u64>>,
    campaign: Rc<Notify>,
    reading: Rc<Notify>,
    /// `PeerHealth` have to be told of a cancellation.
    cancelled: Rc<Notify>,
    /// Something may have to be placed or sent at once.
    urgent: Rc<Notify>,
    /// Starts may wait for their lines in the log.
    logging: Rc<Notify>,
    /// This node has begun to lead.
    elected: Rc<Notify>,
}

/// How long a watch waits for a change.
const WATCH_MS: u64 = 4000;
/// How long the mirror may lag behind a read before its watch is opened anew; doubled while that does not help.
const SILENT_WATCH_MS: u64 = 500;

fn pause(ms: u64) -> tokio::time::Sleep {
    tokio::time::sleep(Duration::from_millis(ms))
}

impl Shared {
    /// Waits until this node leads. The leader's loops do not run on followers, where their timers were most of the wake-ups.
    async fn elected(&self) {
        while self.controller.borrow().scheduler.is_none() {
            self.elected.notified().await;
        }
    }

    /// Notes whether the state service answers.
    fn noted<T>(&self, r: Result<T, StoreError>) -> Result<T, StoreError> {
        if matches!(r, Ok(_) | Err(StoreError::Gone | StoreError::Busy)) {
            let mut controller = self.controller.borrow_mut();
            controller.state_ok_at = controller.now();
        }
        r
    }

    /// Runs a transaction of the leader; over the rate, tries again for a moment.
    async fn txn(&self, txn: &Txn) -> Result<Decided, StoreError> {
        let mut tries = 0;
        loop {
            {
                let mut controller = self.controller.borrow_mut();
                let now = controller.now();
                controller.own_changes.record(txn.apply.len(), now);
            }
            let r = self.noted(self.store.txn(txn).await);
            if r != Err(StoreError::Busy) || tries == 6 {
                return r;
            }
            tries += 1;
            pause(rand::thread_rng().gen_range(40..160)).await;
        }
    }

    async fn sync(self) {
        let (rps, nodes) = {
            let c = self.controller.borrow();
            (
                c.settings.platform.deployment.state.rps,
                c.settings.platform.peers.len() + 1,
            )
        };
        // A quarter of the request budget goes to watches, shared among the nodes.
        let pace = ((4000.0 * nodes as f64 / rps) as u64).clamp(20, 1000);
        let (mut loaded, mut patience) = (false, SILENT_WATCH_MS);
        loop {
            if !loaded {
                if let Ok(fresh) = self.noted(self.store.load().await) {
                    let revision = fresh.revision;
                    self.controller.borrow_mut().loaded(fresh);
                    self.revision.send_replace(revision);
                    loaded = true;
                    self.campaign.notify_one();
                } else {
                    pause(300).await;
                    continue;
                }
            }
            let after = self.controller.borrow().mirror.revision;
            let watch = Box::pin(self.store.watch(after, WATCH_MS));
            let watched = match select(watch, Box::pin(self.left_behind(patience))).await {
                Either::Left((watched, _)) => watched,
                Either::Right(_) => {
                    tracing::info!(after, "watch waits silently, opened anew");
                    patience = (patience * 2).min(WATCH_MS);
                    continue;
                }
            };
            match self.noted(watched) {
                Ok(w) => {
                    patience = SILENT_WATCH_MS;
                    let quiet = w.events.is_empty();
                    if self.controller.borrow_mut().watched(w.revision, &w.events) {
                        self.campaign.notify_one();
                    }
                    self.revision.send_replace(w.revision);
                    self.urgent.notify_one();
                    if !quiet {
                        pause(pace).await;
                    }
                }
                // A node that was kept from the store for long once asked for the same changes for ever, more than it
                // was ready to take at a time.
                Err(reason @ (StoreError::Gone | StoreError::TooLarge)) => {
                    tracing::info!(%reason, "too far behind for a watch, reading everything again");
                    loaded = false;
                }
                Err(_) => pause(250).await,
            }
        }
    }

    /// Returns when a read that was sent a while ago has told of changes that the mirror still lacks. A watch that was open
    /// when the state service refused this node, or was down, may wait on silently after it.
    async fn left_behind(&self, patience: u64) {
        loop {
            pause(patience).await;
            let controller = self.controller.borrow();
            if controller
                .lead
                .behind(controller.now().saturating_sub(patience))
            {
                return;
            }
        }
    }

    /// Answers readers: one compare-only transaction gives the revision that their answers must have reached.
    async fn read_barrier(self) {
        loop {
            self.reading.notified().await;
            pause(40).await;
            let (readers, txn, leads, sent) = {
                let mut controller = self.controller.borrow_mut();
                let (leads, sent) = (controller.term().is_some(), controller.now());
                let version = controller.mirror.epoch.as_ref().map_or(0, |e| e.version);
                let txn = Txn {
                    guards: vec![guard(store::epoch_key(), version)],
                    apply: Vec::new(),
                };
                (std::mem::take(&mut controller.readers), txn, leads, sent)
            };
            if readers.is_empty() && !leads {
                continue;
            }
            let http = self.clone();
            actix::spawn(async move {
                if let Ok(revision) = http.noted(http.store.barrier(&txn).await) {
                    http.controller
                        .borrow_mut()
                        .lead_event(Event::Read { sent, revision });
                    readers.into_iter().for_each(|r| {
                        let _ = r.send(revision);
                    });
                }
            });
            pause(60).await;
        }
    }

    /// Waits until the mirror is at least as new as this moment.
    async fn current(&self) -> bool {
        let (tx, rx) = oneshot::channel();
        self.controller.borrow_mut().readers.push(tx);
        self.reading.notify_one();
        let wait = async {
            let revision = rx.await.ok()?;
            let mut seen = self.revision.subscribe();
            seen.wait_for(|r| *r >= revision).await.ok()?;
            Some(())
        };
        matches!(
            tokio::time::timeout(Duration::from_millis(1500), wait).await,
            Ok(Some(()))
        )
    }

    /// Tells the others of cancellations, again until they know.
    async fn tell_cancelled(self) {
        let peers = self.controller.borrow().settings.platform.peers.clone();
        loop {
            let _ =
                tokio::time::timeout(Duration::from_millis(500), self.cancelled.notified()).await;
            for p in &peers {
                let (message, last) = {
                    let controller = self.controller.borrow();
                    let Some((jobs, last)) = controller.notices.unknown_to(&p.node) else {
                        continue;
                    };
                    (Cancelled { jobs }, last)
                };
                let (me, node, addr) = (self.clone(), p.node.clone(), p.peer_addr);
                actix::spawn(async move {
                    if let Some(revision) = peers::tell_cancelled(&me.http, addr, &message).await {
                        let notices = &mut me.controller.borrow_mut().notices;
                        notices.told(&node, last);
                        notices.mirrored(&node, revision);
                    }
                });
            }
            // What is called off at the same moment goes together.
            pause(PASS_MS).await;
        }
    }

    async fn peers(self) {
        let peers = self.controller.borrow().settings.platform.peers.clone();
        loop {
            pause(900).await;
            for p in &peers {
                let me = self.clone();
                let (addr, own) = (
                    p.peer_addr,
                    View {
                        counts: None,
                        ..self.controller.borrow().own_view()
                    },
                );
                actix::spawn(async move {
                    let from = Instant::now();
                    let answer = peers::ask(&me.http, addr, &own).await;
                    let mut controller = me.controller.borrow_mut();
                    let now = controller.now();
                    match answer {
                        Some(v) => controller.take_view(v),
                        None if from.elapsed().as_millis() < REFUSED_MS => {
                            controller.peer_health.refused(now);
                        }
                        None => {}
                    }
                });
            }
        }
    }
}

/// The actor.
pub struct Node {
    shared: Shared,
}

impl Node {
    /// A node that has yet to be started.
    fn new(settings: Settings) -> Node {
        let connections =
            (settings.platform.deployment.machine_limits.max_connections / 8).clamp(8, 100);
        let http = worker::http_client(connections);
        let incarnation = rand::thread_rng().gen::<u64>() >> 1;
        let external = settings.platform.external.clone();
        let controller = ControllerState::new(settings, incarnation, Clock::Steady(Instant::now()));
        let shared = Shared {
            controller: Rc::new(RefCell::new(controller)),
            store: StoreClient::new(http.clone(), external.state),
            cloud: CloudClient::new(http.clone(), external.cloud),
            http,
            revision: Rc::new(watch::channel(0).0),
            campaign: Rc::new(Notify::new()),
            reading: Rc::new(Notify::new()),
            cancelled: Rc::new(Notify::new()),
            urgent: Rc::new(Notify::new()),
            logging: Rc::new(Notify::new()),
            elected: Rc::new(Notify::new()),
        };
        Node { shared }
    }
}

impl Actor for Node {
    type Context = Context<Self>;

    fn started(&mut self, _: &mut Self::Context) {
        let s = &self.shared;
        actix::spawn(s.clone().sync());
        actix::spawn(s.clone().read_barrier());
        actix::spawn(s.clone().leadership());
        actix::spawn(s.clone().ticks());
        actix::spawn(s.clone().start_log());
        actix::spawn(s.clone().flush());
        actix::spawn(s.clone().fleet());
        actix::spawn(s.clone().peers());
        actix::spawn(s.clone().tell_cancelled());
    }
}

impl Handler<Submit> for Node {
    type Result = ResponseFuture<Answer>;
    fn handle(&mut self, m: Submit, _: &mut Self::Context) -> Self::Result {
        Box::pin(self.shared.clone().submit(m.0))
    }
}

impl Handler<Poll> for Node {
    type Result = ResponseFuture<Answer>;
    fn handle(&mut self, m: Poll, _: &mut Self::Context) -> Self::Result {
        Box::pin(self.shared.clone().poll(m.0))
    }
}

impl Handler<Abort> for Node {
    type Result = ResponseFuture<Answer>;
    fn handle(&mut self, m: Abort, _: &mut Self::Context) -> Self::Result {
        Box::pin(self.shared.clone().abort(m.0))
    }
}

impl Handler<Health> for Node {
    type Result = bool;
    fn handle(&mut self, _: Health, _: &mut Self::Context) -> bool {
        self.shared.controller.borrow().healthy()
    }
}

impl Handler<WorkerReport> for Node {
    type Result = MessageResult<WorkerReport>;
    fn handle(&mut self, m: WorkerReport, _: &mut Self::Context) -> Self::Result {
        let mut controller = self.shared.controller.borrow_mut();
        let answer = controller.report(&m.0);
        if controller.needs_pass() {
            self.shared.urgent.notify_one();
        }
        MessageResult(WorkerResponse {
            answer,
            valid_until: controller.answer_valid_until(),
        })
    }
}

impl Handler<PeerView> for Node {
    type Result = MessageResult<PeerView>;
    fn handle(&mut self, m: PeerView, _: &mut Self::Context) -> Self::Result {
        let mut controller = self.shared.controller.borrow_mut();
        controller.take_view(m.0);
        MessageResult(controller.own_view())
    }
}

impl Handler<PeerCancelled> for Node {
    type Result = MessageResult<PeerCancelled>;
    fn handle(&mut self, m: PeerCancelled, _: &mut Self::Context) -> Self::Result {
        self.shared.urgent.notify_one();
        self.shared.cancelled.notify_one();
        MessageResult(self.shared.controller.borrow_mut().take_cancelled(&m.0))
    }
}

/// Runs a controller until its process ends.
///
/// Everything runs in one thread: a request that crossed to another one and back cost two wake-ups and four more system
/// calls.
pub fn run(settings: Settings) -> std::io::Result<()> {
    let platform = settings.platform.clone();
    let connections = platform.deployment.machine_limits.server_connections();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let addresses = crate::api::Addresses {
        api: platform.api_addr,
        internal: platform.internal_addr,
    };
    System::with_tokio_rt(|| runtime).block_on(async move {
        let node = Node::new(settings).start();
        crate::api::serve(node, addresses, connections).await
    })
}
