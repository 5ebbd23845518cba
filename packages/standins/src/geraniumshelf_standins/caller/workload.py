"""Open-loop load of several streams of jobs for a limited time."""

import asyncio
import math
from collections.abc import Sequence
from random import Random

from attrs import define, field, frozen

from geraniumshelf_core.units import MILLISECOND_NS
from geraniumshelf_standins.caller.client import Caller, Job, Outcome


@frozen
class JobStream:
    """A job that is sent again and again, with Poisson arrivals.

    Attributes:
        name: Name in samples and reports.
        caller: Caller that sends the job.
        job: Job to send.
        rate_per_s: Mean arrivals per second.
    """

    name: str
    caller: Caller
    job: Job
    rate_per_s: float


@frozen
class Sample:
    """Outcome of one job.

    Attributes:
        stream: Name of the stream.
        outcome: Result of the job.
    """

    stream: str
    outcome: Outcome


@define
class Workload:
    """Runs streams for a limited time and records the outcome of each job.

    Attributes:
        streams: Streams that run at the same time.
        random: Source of the random generators of the streams.
        samples: Outcomes, in order of completion.
    """

    streams: Sequence[JobStream]
    random: Random
    samples: list[Sample] = field(factory=list)
    _running: set[asyncio.Task[None]] = field(factory=set)

    async def run(self, seconds: float) -> None:
        """Send jobs for a number of seconds, then wait for those in flight."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        await asyncio.gather(
            *(
                self._send_stream(stream, end, Random(self.random.random()))
                for stream in self.streams
            )
        )
        while self._running:
            await asyncio.wait(self._running)

    def outcomes(self, stream: str) -> list[Outcome]:
        """Return the outcomes of a stream by name, in order of completion."""
        return [
            sample.outcome for sample in self.samples if sample.stream == stream
        ]

    async def _send_stream(
        self, stream: JobStream, end: float, random: Random
    ) -> None:
        loop = asyncio.get_running_loop()
        send_at = loop.time()
        while True:
            send_at += random.expovariate(stream.rate_per_s)
            if send_at >= end:
                return
            await asyncio.sleep(max(0, send_at - loop.time()))
            task = loop.create_task(self._run_job(stream))
            self._running.add(task)
            task.add_done_callback(self._running.discard)

    async def _run_job(self, stream: JobStream) -> None:
        try:
            outcome = await stream.caller.run(stream.job)
        except OSError as error:
            outcome = Outcome(0, 0, 'not-run', '', '', 0, detail=repr(error))
        self.samples.append(Sample(stream.name, outcome))


def percentile_ms(latencies_ns: Sequence[int], fraction: float) -> float:
    """Return a percentile of latencies in milliseconds, NaN if empty.

    Args:
        latencies_ns: Latencies, nanoseconds.
        fraction: Percentile as a fraction, 0 to 1.

    >>> percentile_ms([1_000_000, 2_000_000, 3_000_000], 0.5)
    2.0
    """
    if not latencies_ns:
        return math.nan
    ordered = sorted(latencies_ns)
    index = min(len(ordered) - 1, int(fraction * len(ordered)))
    return ordered[index] / MILLISECOND_NS
