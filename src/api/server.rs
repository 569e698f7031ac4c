//! The HTTP server: accepts connections and serves them in the same thread as the rest of the controller.
//!
//! The server of `actix-web` accepts connections in one thread and serves them in others. Handing a request over between
//! threads cost more than all other processing of a heartbeat without changes.

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

/// Time for which an idle connection is kept open.
const KEEP_ALIVE: Duration = Duration::from_secs(75);
/// Timeout for receiving the head of a request.
const REQUEST_HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay before the next attempt when accepting a connection has failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves an application at an address until the process ends.
///
/// # Errors
///
/// Returns an error if the server cannot listen on the address, or if the application cannot be initialized or has stopped.
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
    let activity = connections.activity().clone();
    let service = HttpService::build()
        .on_connect_ext(move |_: &TcpStream, extensions| activity.track(extensions))
        .keep_alive(KEEP_ALIVE)
        .client_request_timeout(REQUEST_HEAD_TIMEOUT)
        .local_addr(address)
        .finish(map_config(app, |()| AppConfig::default()))
        .tcp()
        .new_service(())
        .await
        .map_err(|()| io::Error::other("the HTTP application cannot be initialized"))?;
    loop {
        connections.wait_for_capacity().await;
        let stream = accept(&listener).await;
        let guard = connections.track();
        if poll_fn(|context| service.poll_ready(context))
            .await
            .is_err()
        {
            return Err(io::Error::other("the HTTP application has stopped"));
        }
        let served = service.call(stream);
        actix::spawn(async move {
            // An error on a connection affects only its client.
            let _ = served.await;
            drop(guard);
        });
    }
}

/// Accepts the next connection. Retries after errors.
async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => {
                tracing::info!(%error, "accepting a connection failed, retrying");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}
