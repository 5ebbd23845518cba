"""Tests of the commands, their exit codes and what an apply preserves."""

import asyncio
import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from tests.cli.memory_platform import MemoryPlatform

from geraniumshelf_cli.exit_codes import ExitCode
from geraniumshelf_cli.main import main
from geraniumshelf_cli.runner import run_command
from geraniumshelf_cli.session import Session
from geraniumshelf_core.keys.digests import digest_key

Run = Callable[..., tuple[int, Any]]

_EXAMPLE_FOLDER = Path(__file__).parents[2] / 'examples/association'
_OVERLAYS = [str(path) for path in sorted(_EXAMPLE_FOLDER.glob('overlays/*'))]
_FILES = (str(_EXAMPLE_FOLDER / 'base.toml'), '--overlay', *_OVERLAYS)


@pytest.fixture
def platform() -> MemoryPlatform:
    """Return an empty platform."""
    return MemoryPlatform()


@pytest.fixture
def run(platform: MemoryPlatform, capsys: pytest.CaptureFixture[str]) -> Run:
    """Return a function that runs a command and decodes its JSON."""

    def run_json(*arguments: str) -> tuple[int, Any]:
        code = run_command(
            [*arguments, '--json'],
            {'GERANIUMSHELF_PLATFORM_URL': 'http://127.0.0.1:1'},
            lambda url: Session(url, lambda _: platform, retry_delay_s=0),
        )
        printed = capsys.readouterr()
        return code, json.loads(printed.out) if printed.out else printed.err

    return run_json


def _edit_base_file(folder: Path, old: str, new: str) -> tuple[str, ...]:
    text = Path(_FILES[0]).read_text().replace(old, new)
    (folder / 'base.toml').write_text(text)
    return (str(folder / 'base.toml'), *_FILES[1:])


def test_check_prints_text(capsys: pytest.CaptureFixture[str]) -> None:
    """Operators must be able to check files without a platform."""
    assert main(['check', *_FILES]) == ExitCode.DONE
    assert 'servers: 24' in capsys.readouterr().out
    assert main(['check', 'missing.toml']) == ExitCode.USAGE
    assert 'FILE_UNREADABLE' in capsys.readouterr().err
    assert main(['status']) == ExitCode.USAGE


def test_apply_needs_the_revision_in_force(run: Run) -> None:
    """Applying files based on an old revision would undo later changes."""
    assert run('apply', *_FILES, '--from-revision', '0')[0] == ExitCode.DONE
    code, answer = run('apply', *_FILES, '--from-revision', '0')
    assert (code, answer['name']) == (ExitCode.CONFLICT, 'APPLY_CONFLICT')
    code, answer = run('apply', *_FILES, '--from-revision', '1')
    assert (code, answer['revision']) == (ExitCode.DONE, 1)


def test_apply_keeps_what_commands_have_set(run: Run, tmp_path: Path) -> None:
    """A file must not silently undo a change made by command."""
    run('apply', *_FILES, '--from-revision', '0')
    _, added = run('key', 'add', 'auditors', 'second')
    run('limit', 'raise', 'auditors', '--rate', '9')
    run('drain', 'addis-a')
    code, answer = run('apply', *_FILES, '--from-revision', '4')
    assert (code, answer['name']) == (ExitCode.LIMIT, 'LIMIT_LOWERED')
    files = _edit_base_file(tmp_path, 'rate_per_s = 8\n', 'rate_per_s = 10\n')
    code, answer = run('apply', *files, '--from-revision', '4')
    assert (code, answer['changes'][0]['name']) == (0, 'auditors')
    _, answer = run('get')
    assert answer['configuration']['drained'] == ['addis-a']
    labels = {key['label'] for key in answer['configuration']['keys']}
    assert 'second' in labels
    assert added['key'] not in json.dumps(answer)


def test_lowering_needs_the_current_value(run: Run) -> None:
    """A limit must not be lowered by mistake: its value must be given."""
    run('apply', *_FILES, '--from-revision', '0')
    raising = ('limit', 'raise', 'auditors', '--rate', '7')
    assert run(*raising)[0] == ExitCode.LIMIT
    lower = ('limit', 'lower', 'auditors', '--rate', '7')
    assert run(*lower)[0] == ExitCode.USAGE
    assert run(*lower, '--current-rate', '9')[0] == ExitCode.CONFLICT
    assert run(*lower, '--current-rate', '8')[0] == ExitCode.DONE
    code, answer = run('apply', *_FILES, '--from-revision', '2')
    assert (code, answer['name']) == (ExitCode.LIMIT, 'LOWERED_LIMIT_RAISED')
    assert run('limit', 'raise', 'auditors', '--rate', '8')[0] == ExitCode.DONE
    assert run('apply', *_FILES, '--from-revision', '3')[0] == ExitCode.DONE


def test_account_cannot_be_dropped(run: Run, tmp_path: Path) -> None:
    """Removing an account from the files would remove its limits."""
    run('apply', *_FILES, '--from-revision', '0')
    files = _edit_base_file(tmp_path, '"auditors"', '"others"')
    code, answer = run('apply', *files, '--from-revision', '1')
    assert (code, answer['name']) == (ExitCode.LIMIT, 'LIMIT_LOWERED')


def test_withdrawn_key_cannot_return(run: Run) -> None:
    """A file that still lists a withdrawn key must not restore it."""
    run('apply', *_FILES, '--from-revision', '0')
    assert run('key', 'withdraw', 'auditors-trial')[0] == ExitCode.DONE
    code, answer = run('apply', *_FILES, '--from-revision', '2')
    assert code == ExitCode.REFUSED
    assert answer['name'] == 'WITHDRAWN_KEY_RESTATED'
    assert run('key', 'withdraw', 'unknown')[0] == ExitCode.NOT_FOUND


def test_key_is_stored_as_its_digest(
    run: Run, platform: MemoryPlatform
) -> None:
    """Read access to the store must not reveal keys."""
    run('apply', *_FILES, '--from-revision', '0')
    _, answer = run('key', 'add', 'auditors', 'second')
    stored = b''.join(o.content or b'' for o in platform.objects.values())
    assert answer['key'].encode() not in stored
    assert digest_key(answer['key']).encode() in stored


def test_slot_is_freed_once(run: Run, platform: MemoryPlatform) -> None:
    """Freeing a slot that is not claimed must report this."""
    asyncio.run(platform.put('slots/addis-a/0', b'claim', 0))
    assert run('slot', 'free', 'addis-a', '0')[0] == ExitCode.DONE
    assert run('slot', 'free', 'addis-a', '0')[0] == ExitCode.NOT_FOUND


def test_unreachable_platform_has_its_exit_code(
    run: Run, platform: MemoryPlatform
) -> None:
    """Scripts must be able to distinguish an outage from a rejected change."""
    platform.is_readable = False
    assert run('get')[0] == ExitCode.PLATFORM
    assert run('apply', *_FILES, '--from-revision', '0')[0] == ExitCode.PLATFORM


def test_interrupted_command_does_not_claim_an_outcome(
    platform: MemoryPlatform, capsys: pytest.CaptureFixture[str]
) -> None:
    """An update that was sent may take effect after the interruption."""

    def interrupt(url: str) -> MemoryPlatform:
        raise KeyboardInterrupt

    code = run_command(
        ['--platform-url', 'http://127.0.0.1:1', 'get'],
        {},
        lambda url: Session(url, interrupt),
    )
    assert code == ExitCode.UNKNOWN
    assert 'APPLY_UNKNOWN' in capsys.readouterr().err


def test_exit_codes_are_documented() -> None:
    """Scripts of operators rely on the table of exit codes."""
    text = (_EXAMPLE_FOLDER.parents[1] / 'docs/OPERATIONS.md').read_text()
    for code in ExitCode:
        assert f'| {code.value} | `{code.name}` |' in text
