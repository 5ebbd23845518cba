"""Guards the path of a request to a backend server and back."""

from hashlib import sha256

from tests.daemon.front.harness import KEY, front_harness, run


def test_bodies_stream_both_ways_over_kept_connections() -> None:
    """A buffer limit or a confusion of connections would corrupt bodies."""

    async def scenario() -> None:
        async with front_harness() as harness:
            caller = await harness.connect()
            body = b'photograph' * 500_000
            for _ in range(3):
                response = await caller.request(
                    'PUT', '/desk/list?size=4800000', body=body
                )
                assert (response.status, len(response.body)) == (200, 4_800_000)
                digest = sha256(response.body).hexdigest()
                assert response.headers['body-digest'] == digest
            caller.close()
            expected = sha256(body).hexdigest()
            assert [r.body_digest for r in harness.records] == [expected] * 3
            assert (
                harness.pool.idle_count(f'127.0.0.1:{harness.servers[0].port}')
                == 1
            )

    run(scenario)


def test_no_spelling_of_the_key_reaches_the_server() -> None:
    """A server that sees a key could act for the account."""

    async def scenario() -> None:
        async with front_harness() as harness:
            spellings = (
                f'Authorization: Bearer {KEY}',
                f'geraniumshelf_key: {KEY}',
                f'GERANIUMSHELF-KEY: {KEY}',
                f'Proxy-Authorization: Basic {KEY}',
                f'X-Copy: a {KEY} b',
                'Geraniumshelf-Account: bekele',
                'Geraniumshelf_Account: bekele',
                'Connection: keep-alive, X-Hop',
                'X-Hop: 1',
                'X-Kept: 2',
            )
            response = await harness.request(headers=spellings)
            assert response.status == 200
            (record,) = harness.records
            assert not [p for p in record.headers if KEY in p[1]]
            names = {name.lower() for name, _ in record.headers}
            assert 'x-kept' in names
            assert not names & {'x-hop', 'connection', 'authorization'}
            assert record.account == 'almaz'

    run(scenario)
