"""HTTP/1.1 over loopback: a small server and a small client."""
import asyncio
import socket

from cbor import decode, encode

REASONS = {200: "OK", 201: "Created", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone",
           421: "Misdirected Request", 429: "Too Many Requests", 503: "Service Unavailable"}


async def read_message(reader):
    """Reads the head and the body of a request or response. Returns the first line, the headers and the body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += chunk[:-2]
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


class NoAnswer(Exception):
    """Raised by a handler to close the connection without an answer."""


async def serve(handler):
    """Serves `handler(method, path, message) -> (status, message)` on a free loopback port. Returns (server, address)."""

    async def connection(reader, writer):
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, path, _ = line.split(" ", 2)
                try:
                    message = decode(body) if body else None
                except Exception:
                    message = None
                status, reply = await handler(method, path, message)
                data = b"" if reply is None else encode(reply)
                writer.write(f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\ncontent-type: application/cbor\r\n"
                             f"content-length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    break
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, NoAnswer):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(connection, "127.0.0.1", 0)
    return server, "127.0.0.1:%d" % server.sockets[0].getsockname()[1]


async def call(address, method, path, message=None, timeout=5.0):
    """Sends one request on a connection of its own. Returns (status, headers, message); raises on failure."""

    async def exchange():
        host, port = address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            body = b"" if message is None else encode(message)
            writer.write(f"{method} {path} HTTP/1.1\r\nhost: {address}\r\ncontent-type: application/cbor\r\n"
                         f"content-length: {len(body)}\r\nconnection: close\r\n\r\n".encode() + body)
            await writer.drain()
            line, headers, data = await read_message(reader)
            try:
                reply = decode(data) if data else None
            except Exception:
                reply = None
            return int(line.split(" ")[1]), headers, reply
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), timeout)


def free_addresses(count):
    """Returns loopback addresses that were free a moment ago."""
    sockets = [socket.socket() for _ in range(count)]
    for held in sockets:
        held.bind(("127.0.0.1", 0))
    addresses = ["127.0.0.1:%d" % held.getsockname()[1] for held in sockets]
    for held in sockets:
        held.close()
    return addresses
