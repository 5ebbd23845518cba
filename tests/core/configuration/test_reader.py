"""Tests of reading, merging and validating configuration files."""

from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from geraniumshelf_core.configuration.documents import SourceText
from geraniumshelf_core.configuration.reader import read_configuration
from geraniumshelf_core.errors import ConfigurationError, ResultCode

_EXAMPLES = Path(__file__).parents[3] / 'examples'
_MUTATION_VALUES = (
    *('[]', '{}', 'nan', '[[1]]', '["a", "a"]', '"é"', '1979-05-27'),
    f'0x{"f" * 5000}',
)
_BASE_LINES = (_EXAMPLES / 'association/base.toml').read_text().splitlines()


def example_sources(deployment: str) -> tuple[SourceText, list[SourceText]]:
    folder = _EXAMPLES / deployment
    overlays = sorted((folder / 'overlays').glob('*.toml'))
    return (
        SourceText('base.toml', (folder / 'base.toml').read_text()),
        [SourceText(path.name, path.read_text()) for path in overlays],
    )


def _read_error(
    base: SourceText, overlays: list[SourceText]
) -> ConfigurationError:
    with pytest.raises(ConfigurationError) as caught:
        read_configuration(base, overlays)
    return caught.value


@pytest.mark.parametrize('deployment', ['association', 'shrestha'])
def test_examples_have_the_stated_sizes(deployment: str) -> None:
    """The examples must be valid and have the sizes that they state."""
    configuration = read_configuration(*example_sources(deployment))
    assert sum(zone.slots for zone in configuration.zones) == 9
    assert len(configuration.servers) == 24
    assert len(configuration.accounts) == len(configuration.keys) == 8
    assert len(configuration.weights) == 36


@pytest.mark.parametrize(
    ('old', 'new', 'code'),
    [
        ('slots = 2', 'slots = "2"', ResultCode.WRONG_TYPE),
        ('slots = 2', 'slots = -1', ResultCode.OUT_OF_RANGE),
        ('slots = 2', 'slot = 2', ResultCode.UNKNOWN_KEY),
        ('slots = 2', '', ResultCode.MISSING_KEY),
        ('slots = 2', 'slots = true', ResultCode.WRONG_TYPE),
        ('zone = "addis-a"', 'zone = "x"', ResultCode.DANGLING_REFERENCE),
        ('127.20.1.1:', '127.20.1.2:', ResultCode.DUPLICATE_NAME),
        ('127.40.1.0/24', '127.40.1.1/24', ResultCode.OUT_OF_RANGE),
        ('127.40.1.0/24', '127.40.0.0/16', ResultCode.DUPLICATE_NAME),
        ('18080', '65536', ResultCode.OUT_OF_RANGE),
        ('"addis-b"', '"addis-a"', ResultCode.DUPLICATE_NAME),
        ('region = "addis"', 'region = "koshi"', ResultCode.DANGLING_REFERENCE),
        ('region = "addis"', 'region = "gondar"', ResultCode.OUT_OF_RANGE),
        ('zone = "addis-b"', 'zone = "gondar-b"', ResultCode.OUT_OF_RANGE),
        ('site = "addis"', 'site = [', ResultCode.CONFIGURATION_SYNTAX),
    ],
)
def test_overlay_fault_names_the_file(
    old: str, new: str, code: ResultCode
) -> None:
    """An operator must find the faulty file from the message."""
    base, overlays = example_sources('association')
    faulty = SourceText('addis.toml', overlays[0].text.replace(old, new))
    error = _read_error(base, [faulty, *overlays[1:]])
    assert error.code is code
    assert 'addis.toml: ' in error.detail


@pytest.mark.parametrize(
    ('old', 'new', 'code'),
    [
        ('share_ppm = 1000000', 'share_ppm = 9', ResultCode.OUT_OF_RANGE),
        ('rate_per_s = 5', 'rate_per_s = 0', ResultCode.OUT_OF_RANGE),
        ('burst = 12\n', 'burst = 0\n', ResultCode.OUT_OF_RANGE),
        ('"refuse"', '"perhaps"', ResultCode.OUT_OF_RANGE),
        ('["POST"]', '["BREW"]', ResultCode.OUT_OF_RANGE),
        (
            'account = "auditors"',
            'account = "x"',
            ResultCode.DANGLING_REFERENCE,
        ),
        ('deployment', 'drained = []\ndeployment', ResultCode.UNKNOWN_KEY),
    ],
)
def test_base_fault_has_its_code(old: str, new: str, code: ResultCode) -> None:
    """A fault that the reader does not detect would reach every daemon."""
    base, overlays = example_sources('association')
    error = _read_error(
        SourceText('base.toml', base.text.replace(old, new)), overlays
    )
    assert error.code is code
    assert 'base.toml: ' in error.detail


def test_overlay_may_restate_but_not_change_the_base() -> None:
    """An overlay of one site must not change values of all sites."""
    base, overlays = example_sources('association')
    restated = '[[accounts]]\nname = "auditors"\nburst = 12\n'
    extended = SourceText('a.toml', f'{overlays[0].text}\n{restated}')
    read_configuration(base, [extended, *overlays[1:]])
    changed = extended.text.replace('burst = 12', 'burst = 13')
    error = _read_error(base, [SourceText('a.toml', changed), *overlays[1:]])
    assert error.code is ResultCode.OVERLAY_CONTRADICTS_BASE
    assert 'a.toml: accounts[auditors]: burst: found 13' in error.detail


def test_forgotten_or_repeated_overlay_is_refused() -> None:
    """An apply without an overlay would remove all zones of a region."""
    base, overlays = example_sources('association')
    error = _read_error(base, overlays[1:])
    assert error.code is ResultCode.MISSING_KEY
    assert 'base.toml: regions[addis]: zones' in error.detail
    error = _read_error(base, [*overlays, overlays[0]])
    assert error.code is ResultCode.DUPLICATE_NAME


def test_overlay_cannot_add_an_account() -> None:
    """Accounts apply to all sites, so only the base file may define them."""
    base, overlays = example_sources('association')
    added = '[[accounts]]\nname = "new"\nrate_per_s = 1\nburst = 1\n'
    error = _read_error(base, [SourceText('a.toml', overlays[0].text + added)])
    assert error.code is ResultCode.OVERLAY_CONTRADICTS_BASE


def test_overlays_that_define_an_entry_differently_clash() -> None:
    """The order of the overlays must not decide a value."""
    base, overlays = example_sources('association')
    head, _, tail = base.text.partition('[[links]]')
    _, _, tail = tail.partition('[[links]]')
    link = '[[links]]\nbetween = ["gondar", "addis"]\none_way_ms = 35\n'
    texts = [
        SourceText(
            overlay.file, f'{overlay.text}\n{link}mbit_per_s = {280 + index}\n'
        )
        for index, overlay in enumerate(overlays[:2])
    ]
    shortened = SourceText('base.toml', f'{head}[[links]]{tail}')
    assert read_configuration(shortened, [texts[0], *overlays[1:]]).links
    error = _read_error(shortened, [*texts, overlays[2]])
    assert error.code is ResultCode.OVERLAYS_CLASH


def test_key_pasted_for_its_digest_is_not_shown() -> None:
    """Messages end up in logs and terminals and must not reveal keys."""
    text = '[[keys]]\nlabel = "a"\naccount = "a"\ndigest = "my-secret"\n'
    for faulty in (text, text.replace('digest', '"my-secret"', 1)):
        error = _read_error(
            SourceText('b.toml', f'deployment = "x"\n{faulty}'), []
        )
        assert 'my-secret' not in str(error)


@given(st.text(max_size=80))
def test_any_text_is_read_or_refused(text: str) -> None:
    """Any other exception would end the command without a result code."""
    _read(text, text)


@given(st.data())
def test_any_mutation_is_read_or_refused(data: st.DataObject) -> None:
    """A nearly valid file runs checks that random text does not reach."""
    lines = list(_BASE_LINES)
    for _ in range(data.draw(st.integers(1, 3))):
        position = data.draw(st.integers(0, len(lines) - 1))
        key = lines[position].partition('=')[0]
        lines[position] = data.draw(
            st.sampled_from(
                [
                    '',
                    *(f'{key}= {value}' for value in _MUTATION_VALUES),
                    f'x{key}= 1',
                ]
            )
        )
    _read('\n'.join(lines), 'site = "addis"')


def _read(base: str, overlay: str) -> None:
    try:
        read_configuration(
            SourceText('b.toml', base), [SourceText('o.toml', overlay)]
        )
    except ConfigurationError as error:
        assert 1000 < error.code < 2000
