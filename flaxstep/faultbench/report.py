"""The report of a play: one HTML page that contains its plots and loads nothing else."""

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

PLOT_WIDTH_IN, BAND_HEIGHT_IN, MARGIN_BELOW_IN, MARGIN_ABOVE_IN = 10.0, 0.24, 0.42, 0.24
PLOT_LEFT, PLOT_RIGHT = 0.065, 0.94  # as fractions of the width
CLASS_COLOURS = ("#2a6f97", "#c8553d", "#588157", "#8d6a9f", "#b08900", "#457b9d")
BAND_COLOUR, EARNED_COLOUR, ASKED_COLOUR, UNKNOWN_COLOUR = "#8a8f98", "#2a6f97", "#c9d3dc", "#d9d9d9"
OPERATOR_ACTIONS = ("cordon", "quiesce", "upgrade", "restart")
STYLE = """
body { font: 15px/1.5 system-ui, sans-serif; color: #1d2329; max-width: 1000px; margin: 2em auto }
h1 { font-size: 1.5em; margin-bottom: 0 } h2 { font-size: 1.1em; margin: 1.8em 0 .3em }
p.sum { color: #4a525a; margin-top: .2em } p.note { color: #4a525a; margin: .1em 0 .4em }
table { border-collapse: collapse; margin: .5em 0 } th, td { padding: .2em .8em; text-align: right }
th { border-bottom: 1px solid #9aa3ab; font-weight: 600 } td:first-child, th:first-child { text-align: left }
tr.gap td { border-top: 1px solid #d7dce0 } .bad { color: #a4262c; font-weight: 600 } .good { color: #33691e }
svg { width: 100%; height: auto; display: block }
"""


def render_report(result: Result) -> str:
    """The HTML of the page."""
    verdict = result.verdict
    rules_html = (
        f'<span class="bad">rules broken {result.broken} times</span>'
        if result.broken
        else '<span class="good">all rules kept</span>'
    )
    summary = (
        f"seed {result.seed}, {result.seconds} s, {result.first_tries} requests in {result.tries} tries; "
        f"of the worth asked for {verdict.served:.1%} was served, {verdict.worst_window:.1%} in the "
        f"worst ten seconds (from {verdict.worst_from} s); {rules_html}"
    )
    if result.distorted:
        summary += f'. <span class="bad">{result.distorted}; conclude nothing from it</span>'
    sections = [
        f"<h1>{html.escape(result.scenario)}</h1><p class=sum>{summary}</p>",
        render_section(
            "What happened", "Troubles and faults in grey, what staff did in blue.", plot_bands(result)
        ),
        render_section(
            "Worth over time",
            "Asked for by first tries, and served, by the second of the first try.",
            plot_worth(result),
        ),
        render_section(
            "Refusals by class", "Tries answered 429 or 503, a second.", plot_by_class(result, "refused")
        ),
        render_section(
            "Failures by class",
            "Tries answered otherwise, or cut off, a second.",
            plot_by_class(result, "failed"),
        ),
        render_section(
            "What each server holds",
            "In work and waiting, mean of each second. Grey: it said nothing, stopped or gone.",
            plot_server_load(result),
        ),
        "<h2>By class, zone and ten seconds</h2>" + render_table(result),
        "<h2>Broken rules</h2>" + render_breaches(result) if result.broken else "",
    ]
    title = html.escape(f"{result.scenario}, seed {result.seed}")
    head = f"<!doctype html><html lang=en><meta charset=utf-8><title>{title}</title><style>{STYLE}</style>"
    return head + "\n".join(sections) + "</html>\n"


def write_report(result: Result, folder: Path) -> Path:
    """Write `report.html`."""
    path = folder / "report.html"
    path.write_text(render_report(result))
    return path


def render_section(title: str, note: str, plot: str) -> str:
    """A heading, a note on how to read the plot, and the plot."""
    return f"<h2>{html.escape(title)}</h2><p class=note>{html.escape(note)}</p>{plot}"


def render_plot(name: str, height: float, draw: Callable[[Axes], None], seconds: int) -> str:
    """A plot over the seconds of the play, as an SVG element.

    Its ids differ from those of other plots in the page, and are the same each time.
    """
    settings: Any = {"svg.hashsalt": name, "svg.fonttype": "none", "font.size": 9}
    with matplotlib.rc_context(settings):
        figure = Figure(figsize=(PLOT_WIDTH_IN, height))
        # All plots have the same margins, so that the time axes line up down the page.
        bottom, top = MARGIN_BELOW_IN / height, 1 - MARGIN_ABOVE_IN / height
        axes = figure.add_axes((PLOT_LEFT, bottom, PLOT_RIGHT - PLOT_LEFT, top - bottom))
        axes.spines[["top", "right"]].set_visible(False)
        axes.set_xlim(0, seconds)
        axes.set_xlabel("s")
        draw(axes)
        buffer = io.StringIO()
        figure.savefig(buffer, format="svg", metadata={"Date": None})
    text = buffer.getvalue()
    return text[text.index("<svg") :]


def add_legend(axes: Axes) -> None:
    """Add a legend above the plot, where it covers nothing."""
    axes.legend(loc="lower right", bbox_to_anchor=(1, 0.97), frameon=False, ncols=4)


def shade_bands(axes: Axes, result: Result) -> None:
    """Shade the times of faults, troubles and actions behind a plot."""
    for _, start, end in result.bands:
        axes.axvspan(start, end, color=BAND_COLOUR, alpha=0.12, linewidth=0)


def plot_bands(result: Result) -> str:
    """A bar for each fault, trouble and operator action."""

    def draw(axes: Axes) -> None:
        for row, (name, start, end) in enumerate(sorted(result.bands, key=lambda band: band[1])):
            colour = EARNED_COLOUR if name.split(" ")[0] in OPERATOR_ACTIONS else BAND_COLOUR
            axes.barh(row, end - start, left=start, color=colour, height=0.7)
            near_end = end > 0.8 * result.seconds
            text_x, alignment = (start - 0.3, "right") if near_end else (end + 0.3, "left")
            axes.text(text_x, row, f"{name}, {start:g} to {end:g} s", va="center", ha=alignment)
        axes.set_yticks([])
        axes.spines["left"].set_visible(False)
        axes.set_ylim(len(result.bands) - 0.5, -0.5)

    if not result.bands:
        return "<p>Nothing was planned: a calm play.</p>"
    return render_plot("happenings", 0.7 + BAND_HEIGHT_IN * len(result.bands), draw, result.seconds)


def plot_worth(result: Result) -> str:
    """The worth asked for and served in each second."""

    def draw(axes: Axes) -> None:
        seconds = np.arange(result.seconds)
        shade_bands(axes, result)
        axes.fill_between(
            seconds, [s.asked for s in result.by_second], step="post", color=ASKED_COLOUR, label="asked for"
        )
        axes.fill_between(
            seconds, [s.earned for s in result.by_second], step="post", color=EARNED_COLOUR, label="served"
        )
        axes.set_ylim(bottom=0)
        axes.set_ylabel("worth a second")
        add_legend(axes)

    return render_plot("worth", 2.6, draw, result.seconds)


def plot_by_class(result: Result, outcome: str) -> str:
    """The tries of each class with an outcome, which is the name of a field of Second."""

    def draw(axes: Axes) -> None:
        shade_bands(axes, result)
        for i, row in enumerate(result.classes):
            counts = [getattr(second, outcome)[i] for second in result.by_second]
            axes.step(
                np.arange(result.seconds),
                counts,
                where="post",
                color=CLASS_COLOURS[i % len(CLASS_COLOURS)],
                label=row.name,
            )
        axes.set_ylim(bottom=0)
        axes.set_ylabel("tries a second")
        add_legend(axes)

    return render_plot(outcome, 1.9, draw, result.seconds)


def plot_server_load(result: Result) -> str:
    """A heat map of the requests at each server; its scale ends at the 99th percentile."""

    def draw(axes: Axes) -> None:
        rows = np.ma.masked_less(np.array([second.held for second in result.by_second]).T, 0.0)
        top = max(1.0, float(np.percentile(rows.compressed(), 99)) if rows.count() else 1.0)
        extent = (0, result.seconds, len(rows) - 0.5, -0.5)
        image = axes.imshow(
            rows,
            aspect="auto",
            cmap=matplotlib.colormaps["YlOrRd"].with_extremes(bad=UNKNOWN_COLOUR),
            vmin=0,
            vmax=top,
            extent=extent,
            interpolation="nearest",
        )
        axes.set_ylabel("server")
        axes.set_yticks(range(0, len(rows), max(1, len(rows) // 12)))
        assert axes.figure is not None
        position = axes.get_position()
        axes.figure.colorbar(
            image, cax=axes.figure.add_axes((PLOT_RIGHT + 0.01, position.y0, 0.015, position.height))
        )

    servers = len(result.by_second[0].held) if result.by_second else 0
    return render_plot("held", min(8.0, 1.0 + 0.2 * servers), draw, result.seconds)


def render_table(result: Result) -> str:
    """The table of outcomes by class, zone and ten seconds."""
    head = "<tr><th><th>served<th>in time<th>late<th>refused<th>failed<th>unserved<th>p50 ms<th>p99 ms</tr>"
    groups = (result.classes, result.zones, result.tens)
    rows = [render_row(row, result, gap=not i) for group in groups for i, row in enumerate(group)]
    return f"<table>{head}{''.join(rows)}</table>"


def render_row(row: TableRow, result: Result, gap: bool) -> str:
    """One row of the table; `gap` separates it from the group above."""
    served_share = f"{row.earned / row.asked:.1%}" if row.asked else "-"
    latencies = result.latency_ms.get(row.name, {})
    latency_cells = [f"{latencies[name]:.0f}" if name in latencies else "" for name in ("p50", "p99")]
    cells = [
        row.name,
        served_share,
        row.in_time,
        row.late,
        row.refused,
        row.failed,
        row.unserved,
        *latency_cells,
    ]
    return (
        f"<tr{' class=gap' if gap else ''}>" + "".join(f"<td>{html.escape(str(c))}" for c in cells) + "</tr>"
    )


def render_breaches(result: Result) -> str:
    """The table of the listed breaches."""

    def render_breach(breach: Breach) -> str:
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
    return f"<table>{head}{''.join(render_breach(breach) for breach in result.breaches)}</table>"
