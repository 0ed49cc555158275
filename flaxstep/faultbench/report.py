"""The report of a play: one HTML file with its plots in it, which needs nothing else to be read."""

from __future__ import annotations

import html
import io
from collections.abc import Callable
from pathlib import Path
from typing import Any

import matplotlib
import numpy as np
from matplotlib.axes import Axes
from matplotlib.figure import Figure

from flaxstep.faultbench.result import Result, TableRow
from flaxstep.faultbench.rule_checks import Breach

WIDTH, BAND_HEIGHT, BELOW, ABOVE = 10.0, 0.24, 0.42, 0.24  # inches
LEFT, RIGHT = 0.065, 0.94  # parts of the width
COLOURS = ("#2a6f97", "#c8553d", "#588157", "#8d6a9f", "#b08900", "#457b9d")
BAND, EARNED, ASKED, UNKNOWN = "#8a8f98", "#2a6f97", "#c9d3dc", "#d9d9d9"
ACTS = ("cordon", "quiesce", "upgrade", "restart")
STYLE = """
body { font: 15px/1.5 system-ui, sans-serif; color: #1d2329; max-width: 1000px; margin: 2em auto }
h1 { font-size: 1.5em; margin-bottom: 0 } h2 { font-size: 1.1em; margin: 1.8em 0 .3em }
p.sum { color: #4a525a; margin-top: .2em } p.note { color: #4a525a; margin: .1em 0 .4em }
table { border-collapse: collapse; margin: .5em 0 } th, td { padding: .2em .8em; text-align: right }
th { border-bottom: 1px solid #9aa3ab; font-weight: 600 } td:first-child, th:first-child { text-align: left }
tr.gap td { border-top: 1px solid #d7dce0 } .bad { color: #a4262c; font-weight: 600 } .good { color: #33691e }
svg { width: 100%; height: auto; display: block }
"""


def report(result: Result) -> str:
    """The whole page."""
    verdict = result.verdict
    kept = (
        f'<span class="bad">rules broken {result.broken} times</span>'
        if result.broken
        else '<span class="good">all rules kept</span>'
    )
    summary = (
        f"seed {result.seed}, {result.seconds} s, {result.first_tries} requests in {result.tries} tries; "
        f"of the worth asked for {verdict.served:.1%} was served, {verdict.worst_window:.1%} in the "
        f"worst ten seconds (from {verdict.worst_from} s); {kept}"
    )
    if result.distorted:
        summary += f'. <span class="bad">{result.distorted}; conclude nothing from it</span>'
    parts = [
        f"<h1>{html.escape(result.scenario)}</h1><p class=sum>{summary}</p>",
        section("What happened", "Troubles and faults in grey, what staff did in blue.", happenings(result)),
        section(
            "Worth over time",
            "Asked for by first tries, and served, by the second of the first try.",
            worth(result),
        ),
        section("Refusals by class", "Tries answered 429 or 503, a second.", by_class(result, "refused")),
        section(
            "Failures by class", "Tries answered otherwise, or cut off, a second.", by_class(result, "failed")
        ),
        section(
            "What each server holds",
            "In work and waiting, mean of each second. Grey: it said nothing, stopped or gone.",
            held(result),
        ),
        "<h2>By class, zone and ten seconds</h2>" + table(result),
        "<h2>Broken rules</h2>" + breaches(result) if result.broken else "",
    ]
    title = html.escape(f"{result.scenario}, seed {result.seed}")
    head = f"<!doctype html><html lang=en><meta charset=utf-8><title>{title}</title><style>{STYLE}</style>"
    return head + "\n".join(parts) + "</html>\n"


def write_report(result: Result, folder: Path) -> Path:
    path = folder / "report.html"
    path.write_text(report(result))
    return path


def section(title: str, note: str, plot: str) -> str:
    return f"<h2>{html.escape(title)}</h2><p class=note>{html.escape(note)}</p>{plot}"


def drawn(name: str, height: float, draw: Callable[[Axes], None], seconds: int) -> str:
    """A plot over the play's seconds, as an SVG element. Its ids are its own, and the same each time."""
    settings: Any = {"svg.hashsalt": name, "svg.fonttype": "none", "font.size": 9}
    with matplotlib.rc_context(settings):
        figure = Figure(figsize=(WIDTH, height))
        # The same margins everywhere, so that one moment stands at one place down the page.
        low, high = BELOW / height, 1 - ABOVE / height
        axes = figure.add_axes((LEFT, low, RIGHT - LEFT, high - low))
        axes.spines[["top", "right"]].set_visible(False)
        axes.set_xlim(0, seconds)
        axes.set_xlabel("s")
        draw(axes)
        out = io.StringIO()
        figure.savefig(out, format="svg", metadata={"Date": None})
    text = out.getvalue()
    return text[text.index("<svg") :]


def legend(axes: Axes) -> None:
    """Above the plot, where it hides nothing."""
    axes.legend(loc="lower right", bbox_to_anchor=(1, 0.97), frameon=False, ncols=4)


def shade(axes: Axes, result: Result) -> None:
    """What went on, faint behind a plot."""
    for _, start, end in result.bands:
        axes.axvspan(start, end, color=BAND, alpha=0.12, linewidth=0)


def happenings(result: Result) -> str:
    def draw(axes: Axes) -> None:
        for row, (name, start, end) in enumerate(sorted(result.bands, key=lambda band: band[1])):
            colour = EARNED if name.split(" ")[0] in ACTS else BAND
            axes.barh(row, end - start, left=start, color=colour, height=0.7)
            near_end = end > 0.8 * result.seconds
            place, align = (start - 0.3, "right") if near_end else (end + 0.3, "left")
            axes.text(place, row, f"{name}, {start:g} to {end:g} s", va="center", ha=align)
        axes.set_yticks([])
        axes.spines["left"].set_visible(False)
        axes.set_ylim(len(result.bands) - 0.5, -0.5)

    if not result.bands:
        return "<p>Nothing was planned: a calm play.</p>"
    return drawn("happenings", 0.7 + BAND_HEIGHT * len(result.bands), draw, result.seconds)


def worth(result: Result) -> str:
    def draw(axes: Axes) -> None:
        seconds = np.arange(result.seconds)
        shade(axes, result)
        axes.fill_between(
            seconds, [s.asked for s in result.by_second], step="post", color=ASKED, label="asked for"
        )
        axes.fill_between(
            seconds, [s.earned for s in result.by_second], step="post", color=EARNED, label="served"
        )
        axes.set_ylim(bottom=0)
        axes.set_ylabel("worth a second")
        legend(axes)

    return drawn("worth", 2.6, draw, result.seconds)


def by_class(result: Result, what: str) -> str:
    def draw(axes: Axes) -> None:
        shade(axes, result)
        for i, line in enumerate(result.classes):
            counts = [getattr(second, what)[i] for second in result.by_second]
            axes.step(
                np.arange(result.seconds),
                counts,
                where="post",
                color=COLOURS[i % len(COLOURS)],
                label=line.name,
            )
        axes.set_ylim(bottom=0)
        axes.set_ylabel("tries a second")
        legend(axes)

    return drawn(what, 1.9, draw, result.seconds)


def held(result: Result) -> str:
    def draw(axes: Axes) -> None:
        rows = np.ma.masked_less(np.array([second.held for second in result.by_second]).T, 0.0)
        top = max(1.0, float(np.percentile(rows.compressed(), 99)) if rows.count() else 1.0)
        extent = (0, result.seconds, len(rows) - 0.5, -0.5)
        image = axes.imshow(
            rows,
            aspect="auto",
            cmap=matplotlib.colormaps["YlOrRd"].with_extremes(bad=UNKNOWN),
            vmin=0,
            vmax=top,
            extent=extent,
            interpolation="nearest",
        )
        axes.set_ylabel("server")
        axes.set_yticks(range(0, len(rows), max(1, len(rows) // 12)))
        assert axes.figure is not None
        place = axes.get_position()
        axes.figure.colorbar(image, cax=axes.figure.add_axes((RIGHT + 0.01, place.y0, 0.015, place.height)))

    servers = len(result.by_second[0].held) if result.by_second else 0
    return drawn("held", min(8.0, 1.0 + 0.2 * servers), draw, result.seconds)


def table(result: Result) -> str:
    head = "<tr><th><th>served<th>in time<th>late<th>refused<th>failed<th>unserved<th>p50 ms<th>p99 ms</tr>"
    groups = (result.classes, result.zones, result.tens)
    rows = [row(line, result, gap=not i) for group in groups for i, line in enumerate(group)]
    return f"<table>{head}{''.join(rows)}</table>"


def row(line: TableRow, result: Result, gap: bool) -> str:
    part = f"{line.earned / line.asked:.1%}" if line.asked else "-"
    took = result.latency_ms.get(line.name, {})
    times = [f"{took[name]:.0f}" if name in took else "" for name in ("p50", "p99")]
    cells = [line.name, part, line.in_time, line.late, line.refused, line.failed, line.unserved, *times]
    return (
        f"<tr{' class=gap' if gap else ''}>" + "".join(f"<td>{html.escape(str(c))}" for c in cells) + "</tr>"
    )


def breaches(result: Result) -> str:
    def cells(breach: Breach) -> str:
        values = (
            breach.rule,
            f"{breach.at / 1000:.3f}",
            breach.node,
            breach.request,
            breach.server,
            breach.what,
        )
        return "<tr>" + "".join(f"<td>{html.escape(str(value))}" for value in values) + "</tr>"

    head = "<tr><th>rule<th>s<th>node<th>request<th>server<th>what</tr>"
    return f"<table>{head}{''.join(cells(breach) for breach in result.breaches)}</table>"
