"""HTTP/1.1 on asyncio streams, as far as the stand-ins need it (RFC 9112)."""
import asyncio
from dataclasses import dataclass, field

MAX_LINE = 64 * 1024


class Ended(Exception):
    """The connection ended before a byte of the message."""


class Truncated(Exception):
    """The connection ended, or broke off, within the message."""


@dataclass
class Message:
    """A request or a response that has been read whole."""

    start: str
    fields: dict = field(default_factory=dict)
    body: bytes = b""

    @property
    def status(self):
        return int(self.start.split(" ")[1])

    @property
    def keeps_connection(self):
        return self.fields.get("connection", "").lower() != "close"


async def read_message(reader):
    """Reads one message. Raises Ended or Truncated."""
    try:
        first = await reader.readline()
    except (ConnectionError, ValueError) as error:
        raise Ended(repr(error)) from error
    if not first:
        raise Ended("end of the stream")
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


def encode(start, fields, body=b""):
    """The bytes of a message with a length."""
    lines = [start, *(f"{name}: {value}" for name, value in fields.items()), f"Content-Length: {len(body)}"]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


async def read_following(address, path, within=2.0):
    """A GET that follows two redirections, as callers of the control API do. Raises as `call` does."""
    for _ in range(2):
        answer = await call(address, f"GET {path} HTTP/1.1", {}, within=within)
        if answer.status != 307:
            return answer
        host, _, path = answer.fields["location"].removeprefix("http://").partition("/")
        address, path = (host.split(":")[0], int(host.split(":")[1])), f"/{path}"
    return await call(address, f"GET {path} HTTP/1.1", {}, within=within)


async def call(address, start, fields, body=b"", within=5.0):
    """One exchange on a connection of its own. Raises OSError, Ended, Truncated or TimeoutError."""
    async with asyncio.timeout(within):
        reader, writer = await asyncio.open_connection(*address, limit=MAX_LINE)
        try:
            writer.write(encode(start, {"Host": f"{address[0]}:{address[1]}", "Connection": "close", **fields}, body))
            await writer.drain()
            return await read_message(reader)
        finally:
            writer.close()
