"""The part of HTTP/1.1 (RFC 9112) on asyncio streams that the soak test needs."""
import asyncio
from dataclasses import dataclass, field

MAX_LINE = 64 * 1024


class ConnectionEnded(Exception):
    """The connection ended before the first byte of a message."""


class Truncated(Exception):
    """The connection closed or failed in the middle of a message."""


@dataclass
class Message:
    """A complete request or response."""

    start_line: str
    fields: dict = field(default_factory=dict)
    body: bytes = b""

    @property
    def status(self):
        return int(self.start_line.split(" ")[1])

    @property
    def keeps_connection(self):
        return self.fields.get("connection", "").lower() != "close"


async def read_message(reader):
    """Reads one message. Raises ConnectionEnded or Truncated."""
    try:
        first = await reader.readline()
    except (ConnectionError, ValueError) as error:
        raise ConnectionEnded(repr(error)) from error
    if not first:
        raise ConnectionEnded("end of the stream")
    try:
        message = Message(first.decode("latin-1").strip())
        while line := (await reader.readline()).decode("latin-1").strip():
            name, _, value = line.partition(":")
            message.fields[name.lower()] = value.strip()
        message.body = await read_body(reader, message.fields)
    except (ConnectionError, ValueError, asyncio.IncompleteReadError) as error:
        raise Truncated(repr(error)) from error
    if not first.endswith(b"\n"):
        raise Truncated("end within the first line")
    return message


async def read_body(reader, fields):
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int(await required_line(reader), 16):
            body += await reader.readexactly(size)
            await required_line(reader)
        await required_line(reader)
        return body
    return await reader.readexactly(int(fields.get("content-length", 0)))


async def required_line(reader):
    line = await reader.readline()
    if not line.endswith(b"\n"):
        raise ConnectionError("end within a line")
    return line.strip()


def encode(start_line, fields, body=b""):
    """Encodes a message with a Content-Length."""
    lines = [start_line, *(f"{name}: {value}" for name, value in fields.items()), f"Content-Length: {len(body)}"]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


async def get_following_redirects(address, path, timeout_s=2.0):
    """Sends a GET and follows up to two 307 redirects, as clients of the control API do. Raises as `call` does."""
    for _ in range(2):
        response = await call(address, f"GET {path} HTTP/1.1", {}, timeout_s=timeout_s)
        if response.status != 307:
            return response
        host, _, path = response.fields["location"].removeprefix("http://").partition("/")
        address, path = (host.split(":")[0], int(host.split(":")[1])), f"/{path}"
    return await call(address, f"GET {path} HTTP/1.1", {}, timeout_s=timeout_s)


async def call(address, start_line, fields, body=b"", timeout_s=5.0):
    """Sends one request on a new connection and returns the response.

    Raises OSError, ConnectionEnded, Truncated or TimeoutError.
    """
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(*address, limit=MAX_LINE)
        try:
            fields = {"Host": f"{address[0]}:{address[1]}", "Connection": "close", **fields}
            writer.write(encode(start_line, fields, body))
            await writer.drain()
            return await read_message(reader)
        finally:
            writer.close()
