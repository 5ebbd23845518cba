"""HTML report with the curves of the result of an experiment."""

from base64 import b64encode
from collections.abc import Mapping
from html import escape
from io import BytesIO
from pathlib import Path
from statistics import fmean
from typing import Any

from matplotlib.figure import Figure

from tools.emulator.comparison import format_result
from tools.emulator.outcome_statistics import OUTCOMES


def write_report(run: Mapping[str, Any], path: Path) -> None:
    """Write the HTML report of a run.

    Args:
        run: Result of a run with all its seeds.
        path: File to write.
    """
    results = list(run['seeds'].values())
    name = escape(run['experiment'])
    parts = [
        '<!doctype html><meta charset="utf-8">',
        f'<title>{name}</title><h1>{name}</h1>',
        f'<p>{escape(format_result(run))}</p>',
        f'<p>Policies changed: {escape(str(run["policies"]) or "none")}</p>',
        _render_image(_plot_outcomes(results)),
        _render_image(_plot_runs(results)),
        _render_table('kind', results),
        _render_table('zone', results),
    ]
    path.write_text('\n'.join(parts), encoding='utf-8')


def _plot_outcomes(results: list[dict[str, Any]]) -> Figure:
    figure = Figure(figsize=(8, 3.5))
    axes = figure.add_subplot()
    windows = _window_starts(results[0]['tables']['window'])
    for outcome in OUTCOMES:
        axes.plot(
            windows,
            [_mean_fraction(results, start, outcome) for start in windows],
            label=outcome.replace('_', ' '),
        )
    axes.set_xlabel('start of the window, s')
    axes.set_ylabel('share of the requests')
    axes.set_ylim(0, 1)
    axes.legend(fontsize='small')
    return figure


def _plot_runs(results: list[dict[str, Any]]) -> Figure:
    figure = Figure(figsize=(8, 3))
    axes = figure.add_subplot()
    windows = _window_starts(results[0]['runs'])
    for kind in ('warm', 'cold', 'for_nothing'):
        counts = [
            fmean(
                result['runs'].get(str(start), {}).get(kind, 0)
                for result in results
            )
            for start in windows
        ]
        axes.plot(windows, counts, label=kind.replace('_', ' '))
    axes.set_xlabel('start of the window, s')
    axes.set_ylabel('runs')
    axes.legend(fontsize='small')
    return figure


def _mean_fraction(
    results: list[dict[str, Any]], window: int, outcome: str
) -> float:
    return fmean(
        result['tables']['window'].get(str(window), {}).get(outcome, 0)
        for result in results
    )


def _window_starts(table: Mapping[str, Any]) -> list[int]:
    return sorted(map(int, table))


def _render_image(figure: Figure) -> str:
    content = BytesIO()
    figure.savefig(content, format='png', dpi=110, bbox_inches='tight')
    encoded = b64encode(content.getvalue()).decode()
    return f'<img alt="curves" src="data:image/png;base64,{encoded}">'


def _render_table(grouping: str, results: list[dict[str, Any]]) -> str:
    head = ''.join(f'<th>{name}</th>' for name in (grouping, *OUTCOMES))
    rows = []
    for group in sorted(results[0]['tables'][grouping]):
        cells = [
            fmean(
                result['tables'][grouping].get(group, {}).get(outcome, 0)
                for result in results
            )
            for outcome in OUTCOMES
        ]
        row_cells = ''.join(f'<td>{cell:.3f}</td>' for cell in cells)
        rows.append(f'<tr><td>{escape(group)}</td>{row_cells}</tr>')
    return f'<table><tr>{head}</tr>{"".join(rows)}</table>'
