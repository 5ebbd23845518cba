"""Reading of the base file and its overlays into a configuration."""

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

_SITE_KEY: Final = 'site'
_SLOT_HOLD_BOUNDS_S: Final = (60, 2_592_000)
_DEFAULT_SLOT_HOLD_S: Final = 86_400


def read_configuration(
    base: SourceText, overlays: Sequence[SourceText]
) -> Configuration:
    """Read, merge and validate the files of a deployment.

    Raises:
        ConfigurationError: For the first fault found; the detail states file,
            table, key, the value found and what is allowed.
    """
    documents = [read_document(overlay, _SITE_KEY) for overlay in overlays]
    merged = merge_documents(read_document(base), documents)
    _check_overlay_sites(merged, documents)
    validate(merged)
    entries = {
        kind: tuple(found[identity].entry for identity in sorted(found))
        for kind, found in merged.entries.items()
    }
    return Configuration(
        merged.top.name('deployment'),
        slot_hold_s=merged.top.integer(
            'slot_hold_s', _SLOT_HOLD_BOUNDS_S, _DEFAULT_SLOT_HOLD_S
        ),
        **entries,
    )


def _check_overlay_sites(
    merged: MergedDocuments, overlays: Sequence[Document]
) -> None:
    file_by_site: dict[str, str] = {}
    for overlay in overlays:
        site = overlay.top.name(_SITE_KEY)
        first_file = file_by_site.get(site)
        if first_file is not None:
            raise configuration_error(
                ResultCode.DUPLICATE_NAME,
                overlay.top.location,
                _SITE_KEY,
                site,
                f'one overlay for each site; {first_file} is one for this site',
            )
        file_by_site[site] = overlay.top.location.file
        if (site,) not in merged.entries['regions']:
            raise configuration_error(
                ResultCode.DANGLING_REFERENCE,
                overlay.top.location,
                _SITE_KEY,
                site,
                'a region of the base file',
            )
