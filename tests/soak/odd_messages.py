"""Messages that a daemon has to survive, on each of its listeners."""

import asyncio
import math

# Sizes of the long part of a message, around the bounds of 16 and 64 KiB.
MIN_BYTES = 1_000
MAX_BYTES = 300_000
# No route has this host, as backend servers report requests of nobody.
HEAD = b"POST /odd HTTP/1.1\r\nHost: odd\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
# A message that is still being read ends with its connection after this time.
READ_S = 1.0


def long_text(random):
    size = math.exp(random.uniform(math.log(MIN_BYTES), math.log(MAX_BYTES)))
    return b"o" * int(size)


def long_field(random):
    return HEAD + b"Odd: " + long_text(random) + b"\r\n\r\n"


def long_name(random):
    return HEAD + long_text(random) + b": 1\r\n\r\n"


def long_target(random):
    return b"GET /" + long_text(random) + b" HTTP/1.1\r\nHost: odd\r\n\r\n"


def long_method(random):
    return long_text(random) + b" / HTTP/1.1\r\nHost: odd\r\n\r\n"


def many_fields(random):
    return HEAD + b"a:\r\n" * (len(long_text(random)) // 4) + b"\r\n"


def many_options(random):
    options = b"o," * (len(long_text(random)) // 4)
    return (HEAD + b"Connection: " + options + b"close\r\n" +
            b"o:\r\n" * (len(options) // 4) + b"\r\n")


def folded_field(random):
    return HEAD + b"Odd: 1\r\n " + long_text(random) + b"\r\n\r\n"


def long_trailer(random):
    return CHUNKED + b"1\r\nx\r\n0\r\nOdd: " + long_text(random) + b"\r\n\r\n"


def long_extension(random):
    return CHUNKED + b"1;" + long_text(random) + b"\r\nx\r\n0\r\n\r\n"


def large_chunk(random):
    size = len(long_text(random))
    return CHUNKED + b"%x\r\n" % size + b"x" * size + b"\r\n0\r\n\r\n"


def wrong_length(random):
    return HEAD + b"Content-Length: %d\r\n\r\n" % random.getrandbits(
        random.choice((8, 63, 64, 65))) + long_text(random)


def mutated(random):
    message = bytearray(random.choice(WHOLE_KINDS)(random))
    for _ in range(random.randint(1, 5)):
        message[random.randrange(min(len(message), 200))] = (
            random.getrandbits(8))
    return bytes(message)


def pipelined(random):
    return b"".join(random.choice(WHOLE_KINDS)(random) for _ in range(4))


WHOLE_KINDS = (long_field, long_name, long_target, long_method, many_fields,
               many_options, folded_field, long_trailer, long_extension,
               large_chunk, wrong_length)


async def send_odd_message(random, port):
    """Sends a message, whole or in pieces, and often only the start of it."""
    message = random.choice(WHOLE_KINDS + (mutated, pipelined))(random)
    if random.random() < 0.3:
        message = message[:random.randrange(1, len(message))]
    piece = random.choice((len(message), 9000, 1 + len(message) // 20))
    writer = None
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection("127.0.0.1", port), 1)
        for start in range(0, len(message), piece):
            writer.write(message[start:start + piece])
            await asyncio.sleep(random.choice((0, 0.01)))
        if random.random() < 0.8:
            await asyncio.wait_for(reader.read(), READ_S)
    except (OSError, asyncio.TimeoutError):
        pass  # The daemon is down, or waits for the rest.
    finally:
        if writer:
            writer.close()
