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
    message, complete = await read_partial_message(reader)
    if not complete:
        raise Truncated("end within the body")
    return message


async def read_head(reader):
    """Reads the head of a message. Raises ConnectionEnded or Truncated."""
    try:
        first = await reader.readline()
    except (ConnectionError, ValueError) as error:
        raise ConnectionEnded(repr(error)) from error
    if not first:
        raise ConnectionEnded("end of the stream")
    try:
        message = Message(first.decode("latin-1").strip())
        while line := (await required_line(reader)).decode("latin-1"):
            name, _, value = line.partition(":")
            message.fields[name.lower()] = value.strip()
    except (ConnectionError, ValueError) as error:
        raise Truncated(repr(error)) from error
    return message


async def chunks(reader):
    """The data of a chunked body, as it is received."""
    while remaining := int(await required_line(reader), 16):
        while remaining:
            part = await reader.read(remaining)
            if not part:
                raise ConnectionError("end within a chunk")
            remaining -= len(part)
            yield part
        await required_line(reader)
    await required_line(reader)


async def required_line(reader):
    line = await reader.readline()
    if not line.endswith(b"\n"):
        raise ConnectionError("end within a line")
    return line.strip()


async def read_partial_message(reader):
    """Reads a message as far as it comes. Returns it, and whether its body is complete. Raises ConnectionEnded, or Truncated
    if it ends within the head.

    Bytes that were received before the connection ended are in the body.
    """
    message = await read_head(reader)
    body = bytearray()
    try:
        if message.fields.get("transfer-encoding", "").lower() == "chunked":
            async for part in chunks(reader):
                body += part
        else:
            remaining = int(message.fields.get("content-length", 0))
            while remaining and (part := await reader.read(remaining)):
                body += part
                remaining -= len(part)
            if remaining:
                return Message(message.start_line, message.fields, bytes(body)), False
    except (ConnectionError, ValueError, asyncio.IncompleteReadError):
        return Message(message.start_line, message.fields, bytes(body)), False
    return Message(message.start_line, message.fields, bytes(body)), True


def encode(start_line, fields, body=b""):
    """Encodes a message with a Content-Length."""
    return encode_head(start_line, fields, len(body)) + body


def encode_head(start_line, fields, length=None, chunked=False):
    """Encodes a head; without a length and not chunked, the body ends with the connection."""
    lines = [start_line, *(f"{name}: {value}" for name, value in fields.items())]
    if length is not None:
        lines.append(f"Content-Length: {length}")
    if chunked:
        lines.append("Transfer-Encoding: chunked")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n"


def encode_chunk(part):
    """Encodes a chunk; an empty one is the last."""
    return f"{len(part):x}\r\n".encode() + part + b"\r\n"


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
