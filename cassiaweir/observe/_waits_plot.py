"""Draws the report of waiting tasks as an SVG file."""

from __future__ import annotations

from collections import Counter
from xml.etree import ElementTree as ET

from cassiaweir.observe._waits import WaitReport, WaitSecond

WIDTH, HEIGHT = 1_000, 400
LEFT, RIGHT, TOP, BOTTOM = 60, 150, 20, 40
COLORS = (
    "#4477aa", "#ee6677", "#228833", "#ccbb44", "#66ccee", "#aa3377", "#bbbbbb",
    "#000000", "#ee8866",
)  # fmt: skip
"""A palette that people with color vision deficiencies can tell apart."""


def draw_waits(report: WaitReport) -> bytes:
    """Return an SVG file with the waiting tasks by cause, as stacked bars by second."""
    svg = ET.Element(
        "svg",
        xmlns="http://www.w3.org/2000/svg",
        viewBox=f"0 0 {WIDTH} {HEIGHT}",
        attrib={"font-family": "sans-serif", "font-size": "12"},
    )
    ET.SubElement(svg, "rect", width="100%", height="100%", fill="white")
    by_cause = [_by_cause(each) for each in report.seconds]
    causes = sorted(set().union(*by_cause))
    most = max((counts.total() for counts in by_cause), default=0) or 1
    _draw_axes(svg, report, most)
    for second, counts in zip(report.seconds, by_cause, strict=True):
        x, width = _position(second, report)
        y = float(HEIGHT - BOTTOM)
        for number, cause in enumerate(causes):
            height = counts[cause] / most * (HEIGHT - TOP - BOTTOM)
            y -= height
            if height:
                _draw_bar(svg, (x, y), (width, height), number)
    for number, cause in enumerate(causes):
        y = TOP + 18.0 * number
        _draw_bar(svg, (WIDTH - RIGHT + 20.0, y), (12.0, 12.0), number)
        _draw_text(svg, WIDTH - RIGHT + 38.0, y + 11, cause)
    return ET.tostring(svg, encoding="utf-8", xml_declaration=True)


def _by_cause(second: WaitSecond) -> Counter[str]:
    found: Counter[str] = Counter()
    for counts in second.queues.values():
        found.update(counts)
    return found


def _position(second: WaitSecond, report: WaitReport) -> tuple[float, float]:
    """Return the left edge and the width of the bar of a second."""
    first, last = report.seconds[0].at, report.seconds[-1].at
    shown = (last - first).total_seconds() + 1
    width = (WIDTH - LEFT - RIGHT) / shown
    return LEFT + (second.at - first).total_seconds() * width, width


def _draw_axes(svg: ET.Element, report: WaitReport, most: int) -> None:
    bottom = HEIGHT - BOTTOM
    path = f"M{LEFT} {TOP}V{bottom}H{WIDTH - RIGHT}"
    ET.SubElement(svg, "path", d=path, fill="none", stroke="black")
    _draw_text(svg, 5, TOP + 4, f"{most} tasks")
    _draw_text(svg, 5, bottom, "0")
    if report.seconds:
        first, last = report.seconds[0].at, report.seconds[-1].at
        _draw_text(svg, LEFT, bottom + 20, f"{first:%Y-%m-%d %H:%M:%S} UTC")
        _draw_text(svg, WIDTH - RIGHT - 60, bottom + 20, f"{last:%H:%M:%S}")


def _draw_bar(
    svg: ET.Element, corner: tuple[float, float], size: tuple[float, float], color: int
) -> None:
    ET.SubElement(
        svg,
        "rect",
        x=f"{corner[0]:.2f}",
        y=f"{corner[1]:.2f}",
        width=f"{size[0]:.2f}",
        height=f"{size[1]:.2f}",
        fill=COLORS[color % len(COLORS)],
    )


def _draw_text(svg: ET.Element, x: float, y: float, text: str) -> None:
    ET.SubElement(svg, "text", x=f"{x:.0f}", y=f"{y:.0f}").text = text
