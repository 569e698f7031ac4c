//! Reading the whole store.

use super::{bytes, entries, CATALOGUE, EPOCH, LEADER, LIVE_BEGIN, LIVE_END, RENTAL_OPEN, SPEC};
use hollowswitch::store::StoreClient;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Answers each request with the next body, and records the lines of the requests.
async fn serve_pages(listener: tokio::net::TcpListener, pages: Vec<Vec<u8>>) -> Vec<String> {
    let mut requests = Vec::new();
    let (mut stream, _) = listener.accept().await.unwrap();
    for page in pages {
        let mut request = Vec::new();
        while !request.ends_with(b"\r\n\r\n") {
            request.push(stream.read_u8().await.unwrap());
        }
        let request = String::from_utf8(request).unwrap();
        requests.push(request.lines().next().unwrap().to_string());
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", page.len());
        let _ = stream.write_all(head.as_bytes()).await;
        let _ = stream.write_all(&page).await;
    }
    requests
}

/// The answers to all requests in their order: one page of each family, two of the results.
fn pages() -> Vec<Vec<u8>> {
    let page = |begin: &[u8], rows: &[u8], more: &[u8]| {
        bytes(&[begin, b"\x64rows", rows, b"\x67hasNext", more])
    };
    let (first, later) = (
        b"\xa3\x66ledger\x18\x64".as_slice(),
        b"\xa3\x66ledger\x18\x65".as_slice(),
    );
    let row = |key: &[u8], record: &[u8]| {
        bytes(&[b"\x81\xa3\x64path", key, b"\x61v", record, b"\x65stamp\x09"])
    };
    let live = bytes(&[LIVE_BEGIN, SPEC, LIVE_END]);
    let (more, last) = (b"\xf5".as_slice(), b"\xf4".as_slice());
    vec![
        page(first, &row(b"\x76hollowswitch/catalogue", CATALOGUE), last),
        page(
            later,
            &row(b"\x78\x18hollowswitch/done/wk-1/2", b"\x620f"),
            more,
        ),
        page(
            later,
            &row(b"\x78\x18hollowswitch/done/wk-1/3", b"\x62f0"),
            last,
        ),
        page(later, &row(b"\x72hollowswitch/epoch", EPOCH), last),
        page(later, &row(b"\x75hollowswitch/hire/r-1", RENTAL_OPEN), last),
        page(later, &row(b"\x73hollowswitch/leader", LEADER), last),
        page(later, &row(b"\x76hollowswitch/live/wk-1", &live), last),
        page(later, &row(b"\x75hollowswitch/starts/3", b"\x60"), last),
        page(later, b"\x80", last),
    ]
}

#[test]
fn a_store_is_read_page_by_page_family_by_family() {
    let (replica, requests) = actix::System::new().block_on(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let server = actix::spawn(serve_pages(listener, pages()));
        let http = hollowswitch::clients::http::http_client(1);
        let replica = StoreClient::new(http, address).load().await.unwrap();
        (replica, server.await.unwrap())
    });
    let query = |family: &str, after: &str| {
        format!("GET /keys?starts=hollowswitch/{family}&after={after}&limit=200 HTTP/1.1")
    };
    assert_eq!(
        requests,
        [
            query("catalogue", ""),
            query("done/", ""),
            query("done/", "hollowswitch/done/wk-1/2"),
            query("epoch", ""),
            query("hire/", ""),
            query("leader", ""),
            query("live/", ""),
            query("starts/", ""),
            query("stopping/", ""),
        ]
    );
    // The watch begins at the first page's revision.
    assert_eq!(replica.revision.as_u64(), 100);
    assert_eq!(entries(&replica), 6);
    assert!(replica.initialized && replica.epoch.is_some() && replica.catalogue.is_some());
}
