//! Tests of the client.

use crate::protocol::{encode, Change, ErrorReply, Txn};
use crate::store::{put, Revision, StoreClient, StoreError, TxnSize};
use std::time::Duration;

/// Runs a transaction against a service that answers with status 400 and this body.
fn transact_with_bad_request(txn: &Txn, body: Vec<u8>) -> StoreError {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    actix::System::new().block_on(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        actix::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            let _ = stream.read(&mut [0; 4096]).await;
            let head = format!(
                "HTTP/1.1 400 Bad Request\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            let _ = stream.write_all(head.as_bytes()).await;
            let _ = stream.write_all(&body).await;
            std::future::pending::<()>().await;
        });
        StoreClient::new(crate::clients::http::http_client(1), address)
            .txn(txn)
            .await
            .unwrap_err()
    })
}

fn write_with_lease(lease: Option<u64>) -> Txn {
    Txn {
        guards: Vec::new(),
        apply: vec![
            put("a".into(), &"12345678", lease),
            Change::Delete { key: "b".into() },
        ],
    }
}

/// A transaction that exceeds a limit was once reported like one whose lease has ended, and repeated unchanged.
#[test]
fn a_transaction_refused_for_its_size_is_not_reported_as_an_ended_lease() {
    let size = TxnSize {
        changes: 2,
        guards: 0,
        largest_value: 10,
        total: r#"{"guards":[],"apply":[{"put":"a","v":"12345678"},{"drop":"b"}]}"#.len(),
    };
    let too_large = encode(&ErrorReply {
        error: "too large".into(),
    });
    let refused = transact_with_bad_request(&write_with_lease(None), too_large.clone());
    assert_eq!(refused, StoreError::TransactionRefused(size));
    let without_reason = transact_with_bad_request(&write_with_lease(None), Vec::new());
    assert_eq!(without_reason, StoreError::TransactionRefused(size));
    // The lease is not the reason, although the transaction has one.
    let leased = transact_with_bad_request(&write_with_lease(Some(7)), too_large);
    assert!(matches!(leased, StoreError::TransactionRefused(_)));
}

#[test]
fn a_transaction_whose_lease_has_ended_is_reported_as_such() {
    let ended = encode(&ErrorReply {
        error: ErrorReply::NO_SUCH_LEASE.into(),
    });
    let refused = transact_with_bad_request(&write_with_lease(Some(7)), ended);
    assert_eq!(refused, StoreError::NotFound);
    let without_reason = transact_with_bad_request(&write_with_lease(Some(7)), Vec::new());
    assert_eq!(without_reason, StoreError::NotFound);
}

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
