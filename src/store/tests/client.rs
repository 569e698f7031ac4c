//! The client.

use crate::store::{Revision, StoreClient, StoreError};
use std::time::Duration;

/// A watch has no size limit. One that brings more than the process is ready to hold is told apart from one that brings
/// nothing, so that the keys are read page by page instead.
#[test]
fn an_answer_that_is_too_large_is_not_waited_for_again() {
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
