//! A minimal HTTP/1.1 implementation for the simulated workers and users. It supports one message at a time, whose body has a
//! `Content-Length`.

use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Maximum size of the head and of the body of a message, in bytes.
const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// Returns the bytes of a request.
pub(crate) fn request_bytes(method: &str, path: &str, to: SocketAddr, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/cbor\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}

/// Writes a request.
pub(crate) async fn write_request(
    stream: &mut TcpStream,
    method: &str,
    path: &str,
    to: SocketAddr,
    body: &[u8],
) -> Option<()> {
    let message = request_bytes(method, path, to, body);
    stream.write_all(&message).await.ok()
}

/// Writes a response with the header `Connection: close`.
pub(crate) async fn write_response(stream: &mut TcpStream, status: u16, body: &[u8]) -> Option<()> {
    let head = format!(
        "HTTP/1.1 {status} OK\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream
        .write_all(&[head.as_bytes(), body].concat())
        .await
        .ok()
}

/// Reads a message. Returns its head in lower case and its body, or `None` if the connection ended or the message is too large
/// or malformed.
pub(crate) async fn read_message(stream: &mut TcpStream) -> Option<(String, Vec<u8>)> {
    let mut bytes = Vec::new();
    loop {
        if let Some(head_end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&bytes[..head_end]).to_lowercase();
            let length = content_length(&head).filter(|length| *length <= MAX_MESSAGE_BYTES)?;
            let mut body = bytes.split_off(head_end + 4);
            let missing = length.checked_sub(body.len())?;
            let received = body.len();
            body.resize(received + missing, 0);
            stream.read_exact(&mut body[received..]).await.ok()?;
            return Some((head, body));
        }
        let byte_count = stream.read_buf(&mut bytes).await.ok()?;
        if byte_count == 0 || bytes.len() > MAX_MESSAGE_BYTES {
            return None;
        }
    }
}

/// Returns the content length in a head, which is 0 if the header is missing.
fn content_length(head: &str) -> Option<usize> {
    let line = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length:"));
    line.map_or(Some(0), |length| length.trim().parse().ok())
}

/// Returns the status code in the head of a response.
pub(crate) fn status_code(head: &str) -> Option<u16> {
    head.split_whitespace().nth(1)?.parse().ok()
}

/// Reports whether the sender closes the connection after a message with this head.
pub(crate) fn closes_connection(head: &str) -> bool {
    head.lines().any(|line| line.trim() == "connection: close")
}
