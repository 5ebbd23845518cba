"""Pipelined requests are cut where a daemon passes connections on."""

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
STAGGER_S = 0.17
# Work for an object that the server has handled lately, and for another one;
# the mean of the site is 0.36 s, the maximum 1.08 s.
WARM_S = 0.11
COLD_S = 0.72
PAUSE_S = 0.1


async def keep_checking(client, index, state):
    """Send pairs of look-ups, the second before the first is answered."""
    await asyncio.sleep(STAGGER_S * index)
    number = 0
    is_kept = True
    while is_kept and not state['is_over']:
        number += 1
        ids = (
            f'{client.label}-{number}-warm',
            f'{client.label}-{number}-cold',
        )
        sent_at = now()
        for request_id in ids:
            client.send(request_id, 'GET', f'/check/{request_id}')
        for request_id in ids:
            answer = await client.receive(request_id, 4)
            if isinstance(answer, str):
                state['cuts'].append((request_id, sent_at, now(), answer))
                client.close()
                return
            is_kept = answer[1].get('connection') != 'close'
            if not is_kept:
                break
        await asyncio.sleep(PAUSE_S)
    client.close()


async def scenario(deployment, record, trouble):
    servers = [
        Server(record, f'i-desk-{zone}-{number}', 'stock-desk', zone)
        for zone in ('z-a', 'z-b')
        for number in (1, 2)
    ]
    for server in servers:
        server.work_s = lambda target: (
            COLD_S if target.endswith('cold') else WARM_S
        )
    is_up = await deployment.start(
        [path('/check/', 'safe', 'stock-desk')],
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
            keep_checking(client, index, state)
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
    await asyncio.wait(clients, timeout=5)
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
        # Not excused: cut before the last sixth of grace_s.
        is_early = 0 <= cut_at - stopped_at < GRACE_S * 5 / 6
        is_broken = server is not None and is_early
        record.say(
            f'{request_id}: sent {sent_at - stopped_at:.2f} s after SIGTERM, '
            f'{answer} {cut_at - sent_at:.2f} s later, run by '
            f'{server.name if server else "nobody"}'
            f'{": LOST" if is_broken else ""}'
        )
        violations += is_broken
    return violations


run(FOLDER, scenario)
