"""The rest of a chunked upload is replaced by its end after an early answer."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins-2'))

from kit import (  # noqa: E402
    HOST,
    KEY,
    Client,
    Server,
    path,
    read_head,
    run,
)

UPLOADS = 40
# Uploads begin one after the other, all within the time of the disruption.
UPLOAD_GAP_S = 0.1
# Two of three servers (a share of at most 0.7) answer two of five uploads (0.4)
# early, for 6 s at most.
SERVERS = 3
EARLY_SERVERS = 2
EARLY_OF_FIVE = 2
PIECES = 12
PIECE = bytes(range(256)) * 20
# The pieces of an upload follow each other like those of a slow link.
PIECE_GAP_S = 0.05
# The server answers after this many pieces, and reads on later.
EARLY_AFTER = 3
READS_ON_AFTER_S = 0.3


class EarlyServer(Server):
    """Answers an upload before it has read the body, and reads on later.

    It runs an upload as its body arrives, and keeps the connection.
    """

    is_faulty = False

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.taken = 0
        # (id, number of bytes, how the body ended) of each upload.
        self.bodies = []

    async def _serve(self, reader, writer):
        try:
            while True:
                first, headers = await read_head(reader)
                await self._take_upload(first, headers, reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _take_upload(self, first, headers, reader, writer):
        method, target, _ = first.split(' ')
        request_id = headers.get('x-request-id', '')
        if target == '/health':
            await self._send(writer, 200, '', b'', '')
            return
        if headers.get('x-expect-instance', self.name) != self.name:
            await self._send(writer, 421, request_id, b'', '')
            return
        self.record.say(
            f'server {self.name} runs {request_id} {method} {target}'
        )
        is_early = self.is_faulty and self.taken % 5 >= 5 - EARLY_OF_FIVE
        # A rejection, or a success, as our users saw it.
        status = 500 if self.taken % 2 else 200
        self.taken += 1
        size = 0
        end = 'cut off'
        is_answered = False
        try:
            while True:
                length = int((await reader.readuntil(b'\r\n')).strip(), 16)
                content = (await reader.readexactly(length + 2))[:-2]
                if not length:
                    end = 'complete'
                    break
                size += len(content)
                is_due = is_early and size >= EARLY_AFTER * len(PIECE)
                if is_due and not is_answered:
                    is_answered = True
                    await self._answer_upload(writer, request_id, status)
                    await asyncio.sleep(READS_ON_AFTER_S)
            if not is_answered:
                await self._answer_upload(writer, request_id, 200)
        finally:
            self.bodies.append((request_id, size, end))
            self.record.say(
                f'server {self.name} got {size} bytes of {request_id}; the '
                f'body was {end}'
            )

    async def _answer_upload(self, writer, request_id, status):
        await self._send(
            writer,
            status,
            request_id,
            b'taken',
            f'X-Response-Signature: s-{request_id}\r\n',
        )
        self.record.say(f'server {self.name} answered {request_id} with {status}')


async def upload(record, address, request_id):
    """Send one upload in chunks to its end; return the answer."""
    client = Client(record, address, request_id)
    await client.connect()
    client.writer.write(
        (
            f'POST /photo/{request_id} HTTP/1.1\r\nHost: {HOST}\r\n'
            f'X-Request-Id: {request_id}\r\nX-Deadline-Ms: 2000\r\n'
            f'X-Api-Key: {KEY}\r\nTransfer-Encoding: chunked\r\n\r\n'
        ).encode()
    )
    record.say(
        f'client sends {request_id}, {PIECES * len(PIECE)} bytes in chunks'
    )
    try:
        for _ in range(PIECES):
            client.writer.write(b'%x\r\n' % len(PIECE) + PIECE + b'\r\n')
            await client.writer.drain()
            await asyncio.sleep(PIECE_GAP_S)
        client.writer.write(b'0\r\n\r\n')
        await client.writer.drain()
        record.say(f'client has sent all of {request_id}')
    except ConnectionError:
        record.say(f'client: connection closed while sending {request_id}')
    answer = await client.receive(request_id, 4)
    client.close()
    return answer


async def scenario(deployment, record, trouble):
    servers = [
        EarlyServer(record, f'i-box-{number}', 'ledger-box', 'z-a')
        for number in range(SERVERS)
    ]
    for server in servers[:EARLY_SERVERS]:
        server.is_faulty = trouble
    if not await deployment.start(
        [path('/photo/', 'upload', 'ledger-box')],
        servers,
        [('front-a-1', 'z-a', '127.0.0.11')],
    ):
        return None
    await asyncio.sleep(4)
    address = deployment.daemons[0].front
    uploads = []
    for number in range(UPLOADS):
        uploads.append(
            asyncio.create_task(upload(record, address, f'u{number}'))
        )
        await asyncio.sleep(UPLOAD_GAP_S)
    answers = await asyncio.gather(*uploads)
    await asyncio.sleep(2.5)
    whole = PIECES * len(PIECE)
    served = sum(not isinstance(one, str) and one[0] == 200 for one in answers)
    record.say(f'{served} of {UPLOADS} uploads were answered 200')
    violations = 0
    for server in servers:
        for request_id, size, end in server.bodies:
            if end == 'complete' and size != whole:
                violations += 1
                record.say(
                    f'{server.name} got the end of the body of {request_id} '
                    f'after {size} of {whole} bytes: UNASKED'
                )
    return violations if served or violations else None


run(FOLDER, scenario)
