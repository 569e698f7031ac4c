//! A load balancer for users: it checks the controllers' health, sends users to healthy ones, and resets the connections of
//! those that stay unhealthy.

use super::topology::{ControllerId, CONTROLLER_COUNT};
use super::user::User;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep, Instant};

/// Interval and timeout of health checks.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Number of failed checks in a row after which a controller is unhealthy.
const FAILURES: u32 = 2;
/// Number of successful checks in a row after which a controller is healthy again.
const SUCCESSES: u32 = 2;
/// Minimum time for which a controller is unhealthy.
const MIN_UNHEALTHY: Duration = Duration::from_secs(3);
/// Time after which the connections of an unhealthy controller are reset.
const RESET_AFTER: Duration = Duration::from_secs(5);

/// The standing of a controller.
#[derive(Debug, Clone, Copy)]
enum Standing {
    /// No check has succeeded so far.
    New,
    Healthy,
    Unhealthy {
        since: Instant,
        /// Whether its connections have been reset.
        is_reset: bool,
    },
}

/// The health of a controller as seen from outside.
#[derive(Debug, Clone, Copy)]
struct Health {
    standing: Standing,
    /// Number of checks in a row that contradict the standing.
    contradictions: u32,
}

/// The load balancer. Clones share the health.
#[derive(Clone)]
pub(crate) struct Balancer {
    health: Rc<RefCell<[Health; CONTROLLER_COUNT]>>,
    resets: Rc<[watch::Sender<u64>; CONTROLLER_COUNT]>,
}

impl Balancer {
    /// Creates a balancer that knows no healthy controller yet.
    pub(crate) fn new() -> Balancer {
        let unknown = Health {
            standing: Standing::New,
            contradictions: 0,
        };
        Balancer {
            health: Rc::new(RefCell::new([unknown; CONTROLLER_COUNT])),
            resets: Rc::new([(); CONTROLLER_COUNT].map(|()| watch::channel(0).0)),
        }
    }

    /// Checks the controllers until the run ends.
    pub(crate) async fn run(self, user: User) {
        loop {
            for controller in ControllerId::all() {
                let (balancer, user) = (self.clone(), user.clone());
                actix_web::rt::spawn(async move {
                    let is_up = user.is_healthy(controller, CHECK_INTERVAL).await;
                    balancer.record_check(controller, is_up);
                });
            }
            sleep(CHECK_INTERVAL).await;
        }
    }

    fn record_check(&self, controller: ControllerId, is_up: bool) {
        let mut health = self.health.borrow_mut();
        let needs_reset = health[controller.0].record(is_up, Instant::now());
        if needs_reset {
            self.resets[controller.0].send_modify(|count| *count += 1);
        }
    }

    /// Returns the healthy controllers.
    pub(crate) fn healthy(&self) -> Vec<ControllerId> {
        let health = self.health.borrow();
        ControllerId::all()
            .filter(|controller| matches!(health[controller.0].standing, Standing::Healthy))
            .collect()
    }

    /// Returns a receiver that changes when the connections to a controller are reset.
    pub(crate) fn resets(&self, controller: ControllerId) -> watch::Receiver<u64> {
        self.resets[controller.0].subscribe()
    }
}

impl Health {
    /// Records a check. Returns whether the connections of the controller have to be reset now.
    fn record(&mut self, is_up: bool, now: Instant) -> bool {
        let contradicts = is_up != matches!(self.standing, Standing::Healthy);
        self.contradictions = if contradicts {
            self.contradictions + 1
        } else {
            0
        };
        let contradictions = self.contradictions;
        match &mut self.standing {
            Standing::New if is_up => self.enter(Standing::Healthy),
            Standing::Healthy if contradictions >= FAILURES => self.enter(Standing::Unhealthy {
                since: now,
                is_reset: false,
            }),
            Standing::New | Standing::Healthy => {}
            Standing::Unhealthy { since, is_reset } => {
                let duration = now.duration_since(*since);
                if contradictions >= SUCCESSES && duration >= MIN_UNHEALTHY {
                    self.enter(Standing::Healthy);
                } else if duration >= RESET_AFTER {
                    return !std::mem::replace(is_reset, true);
                }
            }
        }
        false
    }

    fn enter(&mut self, standing: Standing) {
        self.standing = standing;
        self.contradictions = 0;
    }
}
