//! As much of HTTP/1.1 as the stand-ins for workers need: one message at a time, with a length.

use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Longest message taken.
const MESSAGE_LIMIT: usize = 1 << 20;

/// Sends a request.
pub(crate) async fn request(
    stream: &mut TcpStream,
    method: &str,
    path: &str,
    to: SocketAddr,
    body: &[u8],
) -> Option<()> {
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/cbor\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    let message = [head.as_bytes(), body].concat();
    stream.write_all(&message).await.ok()
}

/// Sends a response after which the connection is closed.
pub(crate) async fn respond(stream: &mut TcpStream, status: u16, body: &[u8]) -> Option<()> {
    let head = format!(
        "HTTP/1.1 {status} OK\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream
        .write_all(&[head.as_bytes(), body].concat())
        .await
        .ok()
}

/// Reads a message: its head in lower case, and its body.
pub(crate) async fn read(stream: &mut TcpStream) -> Option<(String, Vec<u8>)> {
    let mut bytes = Vec::new();
    loop {
        if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&bytes[..end]).to_lowercase();
            let length = length(&head).filter(|length| *length <= MESSAGE_LIMIT)?;
            let mut body = bytes.split_off(end + 4);
            let missing = length.checked_sub(body.len())?;
            let from = body.len();
            body.resize(from + missing, 0);
            stream.read_exact(&mut body[from..]).await.ok()?;
            return Some((head, body));
        }
        let read = stream.read_buf(&mut bytes).await.ok()?;
        if read == 0 || bytes.len() > MESSAGE_LIMIT {
            return None;
        }
    }
}

fn length(head: &str) -> Option<usize> {
    let line = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length:"));
    line.map_or(Some(0), |length| length.trim().parse().ok())
}

/// The status of a response.
pub(crate) fn status(head: &str) -> Option<u16> {
    head.split_whitespace().nth(1)?.parse().ok()
}

/// Whether the connection ends after this message.
pub(crate) fn closes(head: &str) -> bool {
    head.lines().any(|line| line.trim() == "connection: close")
}
