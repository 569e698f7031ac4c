//! The HTTP server: it accepts, reads and answers in the thread of the rest of the node.
//!
//! `actix-web`'s own server has one thread that accepts and another one for each worker. Here a request that crossed threads
//! cost more than everything else that is done for an unchanged report.

#[cfg(test)]
mod tests;

use actix_http::HttpService;
use actix_service::{map_config, IntoServiceFactory, Service, ServiceFactory, ServiceFactoryExt};
use actix_web::body::MessageBody;
use actix_web::dev::{AppConfig, ServiceRequest, ServiceResponse};
use actix_web::{App, Error};
use std::cell::Cell;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// How long an idle connection is kept.
const KEEP_ALIVE: Duration = Duration::from_secs(75);
/// Time allowed for a request's head.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Time until the next try after a connection could not be accepted.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// Open connections, and how many may be.
#[derive(Clone)]
pub struct Connections {
    open: Rc<Cell<usize>>,
    most: usize,
    closed: Rc<Notify>,
}

/// A connection, counted until it closes.
pub struct Connection(Connections);

impl Connections {
    /// None yet, and `most` at a time.
    #[must_use]
    pub fn new(most: usize) -> Self {
        Connections {
            open: Rc::default(),
            most,
            closed: Rc::default(),
        }
    }

    /// Counts a connection.
    #[must_use]
    pub fn enter(&self) -> Connection {
        self.open.set(self.open.get() + 1);
        Connection(self.clone())
    }

    /// Whether a worker's connection may be kept after its answer. Workers keep theirs between reports; where there are
    /// more of them than sockets, those kept would leave none for the others, nor for users, checks and peers.
    #[must_use]
    pub fn keep(&self) -> bool {
        self.open.get() * 4 <= self.most * 3
    }

    /// Waits until another connection may be accepted.
    async fn room(&self) {
        while self.open.get() >= self.most {
            self.closed.notified().await;
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
        self.0.closed.notify_one();
    }
}

/// Serves an application on an address until the process ends.
pub async fn serve<T, B>(
    address: SocketAddr,
    app: App<T>,
    connections: Connections,
) -> io::Result<()>
where
    T: ServiceFactory<
            ServiceRequest,
            Config = (),
            Response = ServiceResponse<B>,
            Error = Error,
            InitError = (),
        > + 'static,
    B: MessageBody + 'static,
{
    let listener = TcpListener::bind(address).await?;
    let app = app
        .into_factory()
        .map_err(|error: Error| error.error_response());
    let service = HttpService::build()
        .keep_alive(KEEP_ALIVE)
        .client_request_timeout(REQUEST_TIMEOUT)
        .local_addr(address)
        .finish(map_config(app, |()| AppConfig::default()))
        .tcp()
        .new_service(())
        .await
        .map_err(|()| io::Error::other("the application cannot be set up"))?;
    loop {
        connections.room().await;
        let stream = accept(&listener).await;
        let connection = connections.enter();
        if poll_fn(|context| service.poll_ready(context))
            .await
            .is_err()
        {
            return Err(io::Error::other("the application has ended"));
        }
        let served = service.call(stream);
        actix::spawn(async move {
            // A connection that ends with an error is its client's matter.
            let _ = served.await;
            drop(connection);
        });
    }
}

async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => {
                tracing::info!(%error, "connection not accepted");
                tokio::time::sleep(ACCEPT_RETRY).await;
            }
        }
    }
}
