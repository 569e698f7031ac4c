//! Loading the replica from the store, page by page.

use super::{
    concat, record_count, CATALOGUE, EPOCH, JOB_RECORD_PREFIX, JOB_RECORD_SUFFIX, LEADER,
    RENTAL_UNANSWERED, SPEC,
};
use hollowswitch::store::StoreClient;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Responds to each request on one connection with the next page, and returns the request lines.
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

/// Returns the responses to all requests, in order: one page for each key family, and two for the bitmaps of finished tasks.
fn pages() -> Vec<Vec<u8>> {
    let page = |header: &[u8], rows: &[u8], more: &[u8]| {
        concat(&[header, b"\x64rows", rows, b"\x67hasNext", more])
    };
    // The revision of the first page is 100, that of all later pages is 101.
    let (first, later) = (
        b"\xa3\x66ledger\x18\x64".as_slice(),
        b"\xa3\x66ledger\x18\x65".as_slice(),
    );
    let row = |key: &[u8], record: &[u8]| {
        concat(&[b"\x81\xa3\x64path", key, b"\x61v", record, b"\x65stamp\x09"])
    };
    let live = concat(&[JOB_RECORD_PREFIX, SPEC, JOB_RECORD_SUFFIX]);
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
        page(
            later,
            &row(b"\x75hollowswitch/hire/r-1", RENTAL_UNANSWERED),
            last,
        ),
        page(later, &row(b"\x73hollowswitch/leader", LEADER), last),
        page(later, &row(b"\x76hollowswitch/live/wk-1", &live), last),
        page(later, &row(b"\x75hollowswitch/starts/3", b"\x60"), last),
        page(later, b"\x80", last),
    ]
}

#[test]
fn the_store_is_loaded_page_by_page_in_the_order_of_families() {
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
    // Changes made while the pages were read must not be missed: the watch begins at the revision of the first page.
    assert_eq!(replica.revision.as_u64(), 100);
    assert_eq!(record_count(&replica), 6);
    assert!(replica.initialized && replica.epoch.is_some() && replica.catalogue.is_some());
}
