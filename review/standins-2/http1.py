"""HTTP/1.1 with CBOR bodies over asyncio, server and client."""
import asyncio
import urllib.parse

import cbor2lite

REASONS = {200: "OK", 201: "Created", 400: "Bad Request", 404: "Not Found", 409: "Conflict",
           410: "Gone", 429: "Too Many Requests", 503: "Service Unavailable"}


class Drop(Exception):
    """Raised by a handler: the connection is reset without an answer."""


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, text = line.partition(":")
            fields[name.strip().lower()] = text.strip()
    return lines[0], fields


async def read_body(reader, fields, until_close=False):
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    if "content-length" in fields:
        return await reader.readexactly(int(fields["content-length"]))
    return await reader.read() if until_close else b""


async def serve(port, handler):
    """Serves `handler(method, path, query, body)`, which returns a status and a value, or None for an empty body."""
    async def connection(reader, writer):
        try:
            while True:
                line, fields = await read_head(reader)
                method, target, _ = line.split(" ", 2)
                raw = await read_body(reader, fields)
                path, _, query = target.partition("?")
                query = dict(urllib.parse.parse_qsl(query))
                body = None
                if raw:
                    try:
                        body = cbor2lite.loads(raw)
                    except Exception:
                        body = None
                status, value = await handler(method, path, query, body)
                data = b"" if value is None else cbor2lite.dumps(value)
                head = "HTTP/1.1 %d %s\r\nContent-Type: application/cbor\r\nContent-Length: %d\r\n\r\n" % (
                    status, REASONS.get(status, "Status"), len(data))
                writer.write(head.encode() + data)
                await writer.drain()
                if fields.get("connection", "").lower() == "close":
                    break
        except (asyncio.IncompleteReadError, ConnectionError, Drop, asyncio.LimitOverrunError):
            pass
        finally:
            try:
                writer.transport.abort() if writer.transport else writer.close()
            except Exception:
                pass

    return await asyncio.start_server(connection, "127.0.0.1", port)


class Client:
    """A connection to one address that is kept open while it can be."""

    def __init__(self, address):
        host, port = address.rsplit(":", 1)
        self.host, self.port, self.reader, self.writer = host, int(port), None, None

    def close(self):
        if self.writer:
            self.writer.transport.abort()
        self.reader = self.writer = None

    async def request(self, method, target, value=None, timeout=5.0):
        """Returns status, fields and decoded body; raises OSError or asyncio.TimeoutError."""
        try:
            return await asyncio.wait_for(self._request(method, target, value), timeout)
        except (asyncio.IncompleteReadError, ConnectionError, OSError, asyncio.LimitOverrunError, ValueError) as error:
            self.close()
            raise OSError(str(error))
        except BaseException:
            self.close()
            raise

    async def _request(self, method, target, value):
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(self.host, self.port)
        data = b"" if value is None else cbor2lite.dumps(value)
        head = "%s %s HTTP/1.1\r\nHost: %s:%d\r\nContent-Type: application/cbor\r\nContent-Length: %d\r\n\r\n" % (
            method, target, self.host, self.port, len(data))
        self.writer.write(head.encode() + data)
        await self.writer.drain()
        line, fields = await read_head(self.reader)
        status = int(line.split(" ")[1])
        raw = await read_body(self.reader, fields, until_close="content-length" not in fields)
        if fields.get("connection", "").lower() == "close":
            self.close()
        try:
            body = cbor2lite.loads(raw) if raw else None
        except Exception:
            body = None
        return status, fields, body
