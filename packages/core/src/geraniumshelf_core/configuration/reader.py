"""Reading of the base file and its overlays."""

from collections.abc import Sequence
from typing import Final

from geraniumshelf_core.configuration.documents import (
    Document,
    SourceText,
    read_document,
)
from geraniumshelf_core.configuration.merge import (
    MergedDocuments,
    merge_documents,
)
from geraniumshelf_core.configuration.model import Configuration
from geraniumshelf_core.configuration.tables import configuration_error
from geraniumshelf_core.configuration.validation import validate
from geraniumshelf_core.errors import ResultCode

_SITE: Final = 'site'
_HOLD_BOUNDS_S: Final = (60, 2_592_000)
_HOLD_DEFAULT_S: Final = 86_400


def read_configuration(
    base: SourceText, overlays: Sequence[SourceText]
) -> Configuration:
    """Read, merge and validate the files of a deployment.

    Raises:
        ConfigurationError: With file, table, key, value found and what is
            allowed, for the first fault.
    """
    documents = [read_document(overlay, _SITE) for overlay in overlays]
    merged = merge_documents(read_document(base), documents)
    _check_overlay_sites(merged, documents)
    validate(merged)
    entries = {
        kind: tuple(known[identity].entry for identity in sorted(known))
        for kind, known in merged.entries.items()
    }
    return Configuration(
        merged.top.name('deployment'),
        slot_hold_s=merged.top.integer(
            'slot_hold_s', _HOLD_BOUNDS_S, _HOLD_DEFAULT_S
        ),
        **entries,
    )


def _check_overlay_sites(
    merged: MergedDocuments, overlays: Sequence[Document]
) -> None:
    files: dict[str, str] = {}
    for overlay in overlays:
        site = overlay.top.name(_SITE)
        known = files.get(site)
        if known is not None:
            raise configuration_error(
                ResultCode.DUPLICATE_NAME,
                overlay.top.location,
                _SITE,
                site,
                f'a site that has no overlay yet; {known} is one',
            )
        files[site] = overlay.top.location.file
        if (site,) not in merged.entries['regions']:
            raise configuration_error(
                ResultCode.DANGLING_REFERENCE,
                overlay.top.location,
                _SITE,
                site,
                'a region of the base file',
            )
