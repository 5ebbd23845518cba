"""Copies of an example deployment on other loopback addresses."""

from pathlib import Path

from attrs import frozen

from geraniumshelf_core.configuration.documents import SourceText
from geraniumshelf_core.configuration.model import Configuration
from geraniumshelf_core.configuration.reader import read_configuration


@frozen
class Deployment:
    """Configuration files of a deployment on one loopback network.

    Attributes:
        base: Path of the base file.
        overlays: Paths of the overlay files.
        configuration: Configuration that the files declare.
        network: Second byte N of the loopback addresses ``127.N.x.y``.
    """

    base: Path
    overlays: tuple[Path, ...]
    configuration: Configuration
    network: int


def copy_deployment(
    example: Path, example_network: int, folder: Path, network: int
) -> Deployment:
    """Copy the files of an example with the addresses of another network.

    Args:
        example: Folder with ``base.toml`` and ``overlays/``.
        example_network: Second byte of the addresses in the example.
        folder: Folder for the copy, created if missing.
        network: Second byte of the addresses in the copy.
    """
    folder.mkdir(parents=True, exist_ok=True)
    sources = [
        example / 'base.toml',
        *sorted((example / 'overlays').glob('*.toml')),
    ]
    copies = []
    for source in sources:
        text = source.read_text(encoding='utf-8')
        copy = folder / source.name
        copy.write_text(
            text.replace(f'"127.{example_network}.', f'"127.{network}.'),
            encoding='utf-8',
        )
        copies.append(copy)
    base, *overlays = copies
    return Deployment(base, tuple(overlays), _read(base, overlays), network)


def _read(base: Path, overlays: list[Path]) -> Configuration:
    texts = [
        SourceText(path.name, path.read_text(encoding='utf-8'))
        for path in (base, *overlays)
    ]
    return read_configuration(texts[0], texts[1:])
