//! The HTTP server: accepts connections and serves them in the thread of the rest of the controller.
//!
//! The server of `actix-web` has a thread that accepts and further threads that serve. Here a request that crossed threads
//! cost more than everything else that is done for a heartbeat without changes.

use super::connections::Connections;
use actix_http::HttpService;
use actix_service::{map_config, IntoServiceFactory, Service, ServiceFactory, ServiceFactoryExt};
use actix_web::body::MessageBody;
use actix_web::dev::{AppConfig, ServiceRequest, ServiceResponse};
use actix_web::{App, Error};
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// How long an idle connection is kept open.
const KEEP_ALIVE: Duration = Duration::from_secs(75);
/// Time allowed for the head of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Time until the next attempt after a connection could not be accepted.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// Serves an application on an address until the process ends.
///
/// # Errors
///
/// The address cannot be listened on, or the application cannot be set up.
pub(super) async fn serve<T, B>(
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
        connections.wait_for_capacity().await;
        let stream = accept(&listener).await;
        let connection = connections.open();
        if poll_fn(|context| service.poll_ready(context))
            .await
            .is_err()
        {
            return Err(io::Error::other("the application has ended"));
        }
        let served = service.call(stream);
        actix::spawn(async move {
            // A connection that ends with an error concerns its client only.
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
