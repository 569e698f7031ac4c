//! Tests of the client.

use crate::store::{Revision, StoreClient, StoreError};
use std::time::Duration;

/// The response to a watch can have any size. One above the limit must be reported as too large and not as missing, so that the
/// controller reads the keys page by page instead of repeating the watch.
#[test]
fn a_response_above_the_size_limit_is_reported_as_too_large() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let error = actix::System::new().block_on(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        actix::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            let _ = stream.read(&mut [0; 1024]).await;
            let _ = stream
                .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n")
                .await;
            std::future::pending::<()>().await;
        });
        StoreClient::new(crate::clients::http::http_client(1), address)
            .watch(Revision::new(1), Duration::ZERO)
            .await
            .unwrap_err()
    });
    assert_eq!(error, StoreError::ResponseTooLarge);
}
