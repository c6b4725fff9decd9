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


async def read_body(reader, fields, piece_pause_s=0.0, on_piece=None):
    """Reads a body with Content-Length or in chunked encoding.

    Pauses after each piece of PIECE_BYTES if `piece_pause_s` is not 0. Calls
    `on_piece`, if there is one, with the size of each piece.
    """
    if "chunked" in fields.get("transfer-encoding", ""):
        body = b""
        while True:
            line = await reader.readline()
            # A cut within the line is no reason to accept other bytes in it.
            size = int(line.split(b";")[0], 16) if line else 0
            if not line.endswith(b"\n"):
                raise asyncio.IncompleteReadError(line, None)
            body += await read_pieces(reader, size, piece_pause_s, on_piece)
            await reader.readexactly(2)
            if size == 0:
                return body
    return await read_pieces(reader, int(fields.get("content-length", 0)),
                             piece_pause_s, on_piece)


async def read_pieces(reader, size, pause_s, on_piece):
    if not pause_s and not on_piece:
        return await reader.readexactly(size)
    pieces = []
    while size > 0:
        piece = await reader.read(min(size, PIECE_BYTES))
        if not piece:
            raise asyncio.IncompleteReadError(b"".join(pieces), None)
        pieces.append(piece)
        size -= len(piece)
        if on_piece:
            on_piece(len(piece))
        await asyncio.sleep(pause_s * len(piece) / PIECE_BYTES)
    return b"".join(pieces)


async def read_message(reader, piece_pause_s=0.0, on_piece=None):
    message = await read_head(reader)
    if message is not None:
        message.body = await read_body(reader, message.fields, piece_pause_s,
                                       on_piece)
    return message


def encode_request(method, target, fields, body=b""):
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    if body or method in ("POST", "PUT"):
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def encode_response(status, body, fields=None, framing="length"):
    """Encodes a response.

    `framing`: what ends the body: its "length", the last chunk ("chunked") or
    the "close" of the connection.
    """
    lines = [f"HTTP/1.1 {status} -"]
    if framing == "length":
        lines.append(f"Content-Length: {len(body)}")
    elif framing == "close":
        lines.append("Connection: close")
    else:
        lines.append("Transfer-Encoding: chunked")
        pieces = [body[start:start + PIECE_BYTES]
                  for start in range(0, len(body), PIECE_BYTES)] + [b""]
        body = b"".join(b"%x\r\n%b\r\n" % (len(piece), piece)
                        for piece in pieces)
    lines += [f"{name}: {value}" for name, value in (fields or {}).items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body
