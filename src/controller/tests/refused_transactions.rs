//! Transactions that the store refuses for their size are not repeated in a tight loop.

use crate::config::tests::settings;
use crate::controller::handles::Handles;
use crate::protocol::{encode, ErrorReply, Txn};
use crate::store::put;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Time in which a loop repeats a transaction, less than the delay after a refusal.
const TIME: Duration = Duration::from_secs(2);

/// A state service that answers every request with status 400, and counts them.
#[derive(Clone, Default)]
struct RefusingService(Rc<Cell<usize>>);

impl RefusingService {
    async fn start(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let service = self.clone();
        actix::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                actix::spawn(service.clone().refuse(stream));
            }
        });
        address
    }

    /// Answers a request when its head and the first part of its body have arrived, and closes the connection.
    async fn refuse(self, mut stream: TcpStream) {
        let _ = stream.read(&mut vec![0; 1 << 16]).await;
        self.0.set(self.0.get() + 1);
        let body = encode(&ErrorReply {
            error: "too large".into(),
        });
        let head = format!(
            "HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        let _ = stream.write_all(head.as_bytes()).await;
        let _ = stream.write_all(&body).await;
    }
}

/// Repeats a transaction that writes a value of this many bytes for [`TIME`], and returns the number of requests.
fn requests_of_a_loop(value_bytes: usize) -> usize {
    actix::System::new().block_on(async {
        let service = RefusingService::default();
        let mut settings = settings();
        settings.platform.external.state = service.start().await;
        let handles = Handles::new(settings);
        let txn = Txn {
            guards: Vec::new(),
            apply: vec![put("a".into(), &"x".repeat(value_bytes), None)],
        };
        let repeat = async {
            loop {
                let _ = handles.leader_transaction(&txn).await;
            }
        };
        let _: Result<(), _> = tokio::time::timeout(TIME, repeat).await;
        service.0.get()
    })
}

/// The leader once repeated a refused write nine times a second, for good.
#[test]
fn a_transaction_that_is_refused_and_built_the_same_again_is_delayed() {
    // It exceeds the known limits, so that nothing can be learned from the refusal.
    assert_eq!(requests_of_a_loop(40 << 10), 1);
    // The first refusal lowers the known limits; the second one does not, since the loop builds the same transaction again.
    assert_eq!(requests_of_a_loop(1 << 10), 2);
}
