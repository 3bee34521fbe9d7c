#!/usr/bin/env python3
"""Draws deployments unlike the given one, to see whether decisions are fitted to it.

    scripts/draw_deployments.py --site SITE.toml --count 6 --seed 1 --into FOLDER

Copies the folder of the site file once for each draw, and changes in the copy: how fast engines read and
write (a fifth to five times), how far regions lie apart (5 to 150 ms), how long a pause between events may be
(100 to 1,000 ms), and how often plain services fail (0 to 0.3). Traffic is scaled with the speed of the
engines, so that the load stays as it was. Prints the path of each copy with what was drawn.
"""

import argparse
import random
import re
import shutil
import sys
from dataclasses import dataclass
from pathlib import Path


@dataclass(frozen=True)
class Draw:
    """What is changed in one copy."""

    speed: float
    region_ms: float
    pause_ms: int
    failing: float


def main() -> int:
    options = read_options()
    source = Path(options.site)
    generator = random.Random(options.seed)
    for number in range(options.count):
        draw = draw_one(generator)
        folder = Path(options.into) / f"drawn-{options.seed}-{number}"
        shutil.copytree(source.parent, folder, dirs_exist_ok=True)
        target = folder / source.name
        target.chmod(0o644)
        target.write_text(changed(source.read_text(), draw))
        print(f"{target} {draw}")
    return 0


def read_options() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--site", required=True, help="the site file to start from")
    parser.add_argument("--count", type=int, default=6)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--into", required=True, help="a folder for the copies")
    return parser.parse_args()


def draw_one(generator: random.Random) -> Draw:
    return Draw(
        speed=5.0 ** generator.uniform(-1.0, 1.0),
        region_ms=round(generator.uniform(5.0, 150.0), 1),
        pause_ms=round(generator.uniform(100.0, 1_000.0)),
        failing=round(generator.uniform(0.0, 0.3), 3),
    )


def changed(text: str, draw: Draw) -> str:
    text = scaled(text, "prefill_tokens_per_ms", draw.speed)
    text = scaled(text, "step_ms", 1.0 / draw.speed)
    text = scaled(text, "step_ms_per_slot", 1.0 / draw.speed)
    # Plain services keep their speed, so traffic grows by no more than they bear.
    text = scaled(text, "per_s", min(draw.speed, 1.5), before=", clients")
    text = re.sub(r"\bcross_region_ms = [\d.]+", f"cross_region_ms = {draw.region_ms}", text)
    text = re.sub(r"\bgap_aim_ms = \d+", f"gap_aim_ms = {draw.pause_ms}", text)
    return re.sub(r"\berror_share = 0\.1\d*", f"error_share = {draw.failing}", text)


def scaled(text: str, field: str, factor: float, before: str = "") -> str:
    """The text with each value of a field multiplied, where some text follows it."""

    def replace(match: re.Match[str]) -> str:
        return f"{field} = {float(match.group(1)) * factor:.5g}"

    return re.sub(rf"\b{field} = ([\d.]+)(?={re.escape(before)})", replace, text)


if __name__ == "__main__":
    sys.exit(main())
