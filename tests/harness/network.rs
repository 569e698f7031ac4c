//! Proxies on the links between controllers and services, which can hold, delay and refuse what passes.

use super::topology::{Link, Topology};
use std::collections::HashMap;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep_until, Instant};

/// Size of the buffer for one direction of a connection, in bytes.
const BUFFER_BYTES: usize = 16 * 1024;

/// What happens to a link. Each trouble ends by itself.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LinkCondition {
    /// Until when bytes towards the service are held.
    pub(crate) requests_held_until: Instant,
    /// Until when bytes from the service are held.
    pub(crate) responses_held_until: Instant,
    /// Until when connections are refused. Open ones are reset.
    pub(crate) refused_until: Instant,
    /// Until when each chunk of bytes is delayed.
    pub(crate) slow_until: Instant,
    /// The delay of each chunk of bytes.
    pub(crate) delay: Duration,
}

impl LinkCondition {
    fn undisturbed() -> LinkCondition {
        let now = Instant::now();
        LinkCondition {
            requests_held_until: now,
            responses_held_until: now,
            refused_until: now,
            slow_until: now,
            delay: Duration::ZERO,
        }
    }
}

/// The direction of bytes on a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    Request,
    Response,
}

/// The links of a run. Clones share their conditions.
#[derive(Clone)]
pub(crate) struct Network {
    conditions: Arc<HashMap<Link, watch::Sender<LinkCondition>>>,
}

impl Network {
    /// Starts the proxies of all links.
    ///
    /// # Errors
    ///
    /// Returns an error if a proxy cannot listen on its address.
    pub(crate) async fn start(topology: &Topology) -> io::Result<Network> {
        let mut conditions = HashMap::new();
        for link in Link::all() {
            let (sender, receiver) = watch::channel(LinkCondition::undisturbed());
            conditions.insert(link, sender);
            let listener = TcpListener::bind(topology.link_entry(link)).await?;
            let target = topology.link_target(link);
            actix_web::rt::spawn(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    let condition = receiver.clone();
                    actix_web::rt::spawn(async move {
                        // Both ends notice the end of the connection.
                        let _ = forward(stream, target, condition).await;
                    });
                }
            });
        }
        Ok(Network {
            conditions: Arc::new(conditions),
        })
    }

    /// Changes the condition of a link.
    pub(crate) fn disturb(&self, link: Link, change: impl FnOnce(&mut LinkCondition)) {
        if let Some(condition) = self.conditions.get(&link) {
            condition.send_modify(change);
        }
    }
}

/// Forwards a connection until one of its ends closes it or the link refuses connections.
async fn forward(
    client: TcpStream,
    target: std::net::SocketAddr,
    condition: watch::Receiver<LinkCondition>,
) -> io::Result<()> {
    // Without lingering, dropping the connection resets it.
    client.set_zero_linger()?;
    if Instant::now() < condition.borrow().refused_until {
        return Ok(());
    }
    let service = TcpStream::connect(target).await?;
    client.set_nodelay(true)?;
    service.set_nodelay(true)?;
    let (client_read, client_write) = client.into_split();
    let (service_read, service_write) = service.into_split();
    let requests = pump(
        client_read,
        service_write,
        Direction::Request,
        condition.clone(),
    );
    let responses = pump(
        service_read,
        client_write,
        Direction::Response,
        condition.clone(),
    );
    let pumped = async { tokio::try_join!(requests, responses).map(|_| ()) };
    tokio::select! {
        result = pumped => result,
        () = wait_for_refusal(condition) => Ok(()),
    }
}

/// Copies the bytes of one direction. Bytes that were received are delivered even if their sender has closed the connection
/// meanwhile.
async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    direction: Direction,
    condition: watch::Receiver<LinkCondition>,
) -> io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let count = from.read(&mut buffer).await?;
        wait_until_passable(direction, condition.clone()).await;
        if count == 0 {
            return to.shutdown().await;
        }
        to.write_all(&buffer[..count]).await?;
    }
}

/// Waits for the delay of a slow link, and until a direction of the link is not held.
async fn wait_until_passable(direction: Direction, mut condition: watch::Receiver<LinkCondition>) {
    let received_at = Instant::now();
    loop {
        let current = *condition.borrow_and_update();
        let held_until = match direction {
            Direction::Request => current.requests_held_until,
            Direction::Response => current.responses_held_until,
        };
        let delayed_until = if received_at < current.slow_until {
            received_at + current.delay
        } else {
            received_at
        };
        let passable_at = held_until.max(delayed_until);
        if Instant::now() >= passable_at {
            return;
        }
        tokio::select! {
            () = sleep_until(passable_at) => {}
            // The link may have got into another trouble.
            _ = condition.changed() => {}
        }
    }
}

/// Waits until the link refuses connections.
async fn wait_for_refusal(mut condition: watch::Receiver<LinkCondition>) {
    let is_refusing = |condition: &LinkCondition| Instant::now() < condition.refused_until;
    // An error means that the run is over.
    let _ = condition.wait_for(is_refusing).await;
}
