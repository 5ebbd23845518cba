"""Connections that a starting daemon passed on are cut at its next stop."""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins-2'))

from kit import (  # noqa: E402
    GRACE_S,
    Server,
    calm_down,
    connect_all,
    now,
    path,
    restart_first,
    run,
)

CLIENTS = 4
WORK_S = 0.45
PAUSE_S = 0.05
STAGGER_S = 0.13
# Sent later than this after SIGTERM, a request that its upstream works on in
# the last sixth of grace_s counts.
EXCUSED_S = 3


async def keep_selling(client, index, state):
    """Send sale records one after the other on a kept connection."""
    # The clients don't send in step.
    await asyncio.sleep(STAGGER_S * index)
    number = 0
    while not state['is_over']:
        number += 1
        request_id = f'{client.label}-{number}'
        sent_at = now()
        client.send(request_id, 'POST', '/sale/1', b'candle', 2500)
        answer = await client.receive(request_id, 5)
        if isinstance(answer, str):
            state['cuts'].append((request_id, sent_at, now(), answer))
            break
        if answer[1].get('connection') == 'close':
            break
        await asyncio.sleep(PAUSE_S)
    client.close()


async def scenario(deployment, record, trouble):
    servers = [
        Server(record, f'i-sale-{zone}-{number}', 'sale-book', zone)
        for zone in ('z-a', 'z-b')
        for number in (1, 2)
    ]
    for server in servers:
        server.work_s = lambda target: WORK_S
    is_up = await deployment.start(
        [path('/sale/', 'unsafe', 'sale-book', timeout_s=2.5)],
        servers,
        [
            ('front-a-1', 'z-a', '127.0.0.11'),
            ('front-a-2', 'z-a', '127.0.0.12'),
            ('front-b-1', 'z-b', '127.0.0.13'),
        ],
    )
    if not is_up:
        return None
    first = deployment.daemons[0]
    began_at = await restart_first(deployment, record, trouble)
    if began_at is None:
        return None
    state = {'is_over': False, 'cuts': []}
    clients = [
        asyncio.create_task(
            keep_selling(client, index, state)
        )
        for index, client in enumerate(
            await connect_all(record, first.front, CLIENTS)
        )
    ]
    if not await calm_down(deployment, record, began_at):
        return None
    # Planned work again.
    first.signal(signal.SIGTERM)
    stopped_at = now()
    await first.wait_exit(GRACE_S + 1)
    state['is_over'] = True
    await asyncio.wait(clients, timeout=4)
    violations = 0
    for request_id, sent_at, cut_at, answer in state['cuts']:
        server = next(
            (
                server
                for server in servers
                if any(one[1] == request_id for one in server.runs)
            ),
            None,
        )
        late = sent_at - stopped_at
        is_planned = 0 <= cut_at - stopped_at <= GRACE_S + 1
        is_late = late > EXCUSED_S or cut_at - stopped_at < GRACE_S * 5 / 6
        is_broken = server is not None and is_planned and is_late
        record.say(
            f'{request_id}: sent {late:.2f} s after SIGTERM, '
            f'{answer} {cut_at - sent_at:.2f} s later, run by '
            f'{server.name if server else "nobody"}'
            f'{": LOST" if is_broken else ""}'
        )
        violations += is_broken
    return violations


run(FOLDER, scenario)
