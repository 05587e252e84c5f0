"""Small HTTP/1.1 pieces for the stand-ins; standard library only."""

import asyncio


class Message:
    """Head and body of one request or answer; header names in lower case."""

    def __init__(self, first, headers, body=b''):
        self.first = first
        self.headers = headers
        self.body = body


async def read_head(reader):
    """Return first line and headers; None if the channel ended before."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw[:-4].split(b'\r\n')
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(b':')
        headers[name.strip().lower().decode('latin-1')] = (
            value.strip().decode('latin-1')
        )
    return Message(lines[0].decode('latin-1'), headers)


async def read_chunks(reader):
    """Yield the chunks of a chunked body; raise if it breaks off."""
    while True:
        size = int((await reader.readline()).split(b';')[0].strip() or b'x', 16)
        if not size:
            await reader.readline()
            return
        yield await reader.readexactly(size)
        await reader.readexactly(2)


async def read_request(reader):
    """Return a whole request; None if the channel ended before."""
    message = await read_head(reader)
    if message is None:
        return None
    headers = message.headers
    try:
        if 'chunked' in headers.get('transfer-encoding', ''):
            parts = [part async for part in read_chunks(reader)]
            message.body = b''.join(parts)
        elif int(headers.get('content-length', 0)):
            message.body = await reader.readexactly(
                int(headers['content-length'])
            )
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return message


def answer(status, body=b'', headers=(), *, close=False):
    """Return the bytes of an answer with a length."""
    lines = [f'HTTP/1.1 {status} X', f'Content-Length: {len(body)}']
    lines += [f'{name}: {value}' for name, value in headers]
    if close:
        lines.append('Connection: close')
    return '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + body
