"""Guards responses to many callers while backend servers fail at random."""

import asyncio
from collections import Counter
from hashlib import sha256
from random import Random

import pytest
from tests.daemon.front.harness import (
    FrontHarness,
    Response,
    front_harness,
    run,
)

from geraniumshelf_daemon.clock import current_time

_CALLERS = 16
_REQUESTS = 25
_FAULTS = (
    {'shed': True},
    {'cut_after': 1000},
    {'late_ms': 30},
    {'late_ms': 700},
    {'silence': 1},
    {'silence': 2},
    {},
    {},
)


@pytest.mark.parametrize('seed', [1, 2])
def test_answers_are_true_whatever_the_servers_do(seed: int) -> None:
    """Guarantees 4, 7, 8 and 9 while all faults occur at once.

    The records of the backend servers show which requests ran.
    """

    async def scenario() -> None:
        async with front_harness(
            servers=3, slots=4, progress_ms=400
        ) as harness:
            random = Random(seed)
            injection = asyncio.ensure_future(_inject_faults(harness, random))
            responses: dict[str, Response] = {}
            await asyncio.gather(
                *(
                    _call(harness, n, Random(n), responses)
                    for n in range(_CALLERS)
                )
            )
            injection.cancel()
            await harness.front.drain(current_time())
            ran = Counter(
                record.request_id
                for record in harness.records
                if record.outcome != 'shed'
            )
            sales = {name for name in responses if 'sale' in name}
            assert all(ran[name] <= 1 for name in sales)
            for name, response in responses.items():
                if response.ran == 'not-run':
                    assert not ran[name], response
                elif response.status == 200 and response.is_complete:
                    digest = sha256(response.body).hexdigest()
                    assert response.headers['body-digest'] == digest
                    response_id = response.headers['geraniumshelf-request-id']
                    assert response_id == name
                    assert ran[name]
            complete = sum(
                a.status == 200 and a.is_complete for a in responses.values()
            )
            assert complete > len(responses) / 3
            states = harness.dispatcher.state.servers.values()
            assert all(state.in_flight == 0 for state in states)

    run(scenario)


async def _inject_faults(harness: FrontHarness, random: Random) -> None:
    no_faults = {'shed': False, 'cut_after': None, 'late_ms': 0}
    while True:
        index = random.randrange(3)
        fault = dict(random.choice(_FAULTS))
        if 'silence' in fault:
            faults = harness.servers[index].backend.faults
            fault['silence'] = faults.silence + 1
        harness.set_faults(index, **{**no_faults, **fault})
        await asyncio.sleep(0.02)


async def _call(
    harness: FrontHarness,
    number: int,
    random: Random,
    responses: dict[str, Response],
) -> None:
    for turn in range(_REQUESTS):
        is_sale = random.random() < 0.5
        kind = 'sale' if is_sale else 'list'
        name = f'{harness.id_prefix()}{kind}-{number}-{turn}'
        headers = [f'Geraniumshelf-Request-Id: {name}']
        if random.random() < 0.3:
            headers.append('Geraniumshelf-Deadline-Ms: 300')
        size = 16 * random.randrange(1, 9000)
        path = f'/desk/{kind}?size={size}'
        method = 'POST' if is_sale else 'PUT'
        responses[name] = await _request(harness, method, path, headers)


async def _request(
    harness: FrontHarness, method: str, path: str, headers: list[str]
) -> Response:
    try:
        return await harness.request(
            method, path, headers=headers, body=b'x' * 5000
        )
    except (asyncio.IncompleteReadError, ConnectionError):
        return Response(0, {}, b'', False)
