"""Reads HTTP/1.1 messages from asyncio streams, and encodes them."""

import asyncio
import dataclasses

PIECE_BYTES = 16384


@dataclasses.dataclass
class Message:
    """A request or response. Names of fields are in lower case."""

    first_line: str
    fields: dict
    body: bytes = b""

    @property
    def method(self):
        return self.first_line.split(" ")[0]

    @property
    def target(self):
        return self.first_line.split(" ")[1]

    @property
    def status(self):
        return int(self.first_line.split(" ")[1])


async def read_head(reader):
    """Reads a message without its body; returns None at end of stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            fields[name.lower()] = value.strip()
    return Message(lines[0], fields)


async def read_body(reader, fields, piece_pause_s=0.0):
    """Reads a body with Content-Length or in chunked encoding.

    Pauses after each piece of PIECE_BYTES if `piece_pause_s` is not 0.
    """
    if "chunked" in fields.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await read_pieces(reader, size, piece_pause_s)
            await reader.readexactly(2)
            if size == 0:
                return body
    return await read_pieces(reader, int(fields.get("content-length", 0)),
                             piece_pause_s)


async def read_pieces(reader, size, pause_s):
    if not pause_s:
        return await reader.readexactly(size)
    pieces = []
    while size > 0:
        pieces.append(await reader.readexactly(min(size, PIECE_BYTES)))
        size -= len(pieces[-1])
        await asyncio.sleep(pause_s)
    return b"".join(pieces)


async def read_message(reader, piece_pause_s=0.0):
    message = await read_head(reader)
    if message is not None:
        message.body = await read_body(reader, message.fields, piece_pause_s)
    return message


def encode_request(method, target, fields, body=b""):
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    if body or method in ("POST", "PUT"):
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def encode_response(status, body, fields=None):
    lines = [f"HTTP/1.1 {status} -", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (fields or {}).items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body
