"""Requests hang where a daemon has passed on connections to a frozen one."""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins-2'))

from kit import (  # noqa: E402
    Server,
    calm_down,
    connect_all,
    now,
    path,
    restart_first,
    run,
)

CLIENTS = 12
STAGGER_S = 0.05
WORK_S = 0.4
PAUSE_S = 0.05
TIMEOUT_S = 2
# Longest freeze of the site file, of one machine.
FREEZE_S = 4.0
# A final answer is due this long after timeout_s.
LATE_S = 0.5
# CONFIG: eight or more, and over a quarter, without a final answer.
FEW = 8
FRACTION = 0.25


async def keep_reading(client, index, state):
    """Send readings one after the other on a kept connection."""
    await asyncio.sleep(STAGGER_S * index)
    number = 0
    is_kept = True
    while is_kept and not state['is_over']:
        number += 1
        request_id = f'{client.label}-{number}'
        sent_at = now()
        client.send(request_id, 'GET', f'/read/{request_id}', deadline_ms=8000)
        answer = await client.receive(request_id, 8)
        state['answers'].append((request_id, sent_at, now(), answer))
        is_kept = not isinstance(answer, str)
        is_kept = is_kept and answer[1].get('connection') != 'close'
        await asyncio.sleep(PAUSE_S)
    client.close()


async def scenario(deployment, record, trouble):
    servers = [
        Server(record, f'i-cal-{zone}-{number}', 'tazkar-cal', zone)
        for zone in ('z-a', 'z-b')
        for number in (1, 2)
    ]
    for server in servers:
        server.work_s = lambda target: WORK_S
    is_up = await deployment.start(
        [path('/read/', 'safe', 'tazkar-cal', timeout_s=TIMEOUT_S)],
        servers,
        [
            ('front-a-1', 'z-a', '127.0.0.11'),
            ('front-a-2', 'z-a', '127.0.0.12'),
            ('front-b-1', 'z-b', '127.0.0.13'),
        ],
    )
    if not is_up:
        return None
    first, second, _ = deployment.daemons
    began_at = await restart_first(deployment, record, trouble)
    if began_at is None:
        return None
    state = {'is_over': False, 'answers': []}
    clients = [
        asyncio.create_task(
            keep_reading(client, index, state)
        )
        for index, client in enumerate(
            await connect_all(record, first.front, CLIENTS)
        )
    ]
    if not await calm_down(deployment, record, began_at):
        return None
    frozen_at = now()
    if trouble:
        second.signal(signal.SIGSTOP)
    await asyncio.sleep(FREEZE_S)
    if trouble:
        second.signal(signal.SIGCONT)
    await asyncio.sleep(4)
    state['is_over'] = True
    await asyncio.wait(clients, timeout=9)
    # All of them were sent to the first daemon, which is in touch.
    overdue = unanswered = 0
    for request_id, sent_at, answered_at, answer in state['answers']:
        if sent_at < frozen_at - TIMEOUT_S or answered_at - sent_at < TIMEOUT_S:
            continue
        overdue += 1
        is_late = answered_at - sent_at > TIMEOUT_S + LATE_S
        unanswered += is_late
        kind = answer if isinstance(answer, str) else answer[0]
        record.say(
            f'{request_id}: {kind} {answered_at - sent_at:.2f} s after it was '
            f'sent{": no final answer in time" if is_late else ""}'
        )
    record.say(
        f'{overdue} requests lasted longer than timeout_s; {unanswered} had no '
        f'final answer {LATE_S} s later'
    )
    is_broken = unanswered >= FEW and unanswered > FRACTION * overdue
    return unanswered if is_broken else 0


run(FOLDER, scenario)
