#!/usr/bin/env python3
"""Plays the same days with the same seeds on several checkouts, and tells whether they differ.

    scripts/pair_versions.py --bench BENCH --site SITE.toml --days trouble-1,scale-1 \
        --seeds 1,2,3,4,5 --why "round 3: ..." BEFORE AFTER [MORE ...]

Each of BEFORE, AFTER, ... is a checkout of this repository. A day may be a file of its own. Without
`--seeds`, each day is played once with its own seed. The bench leaves a journal entry of each run in the
checkout that it played.

Of each checkout the mean worth is printed by day, and its difference from the first one, paired by day
and seed, with the standard error of that difference. A difference counts as beyond noise when it is
larger than both twice its standard error and LEAST_DIFFERENCE.
"""

import argparse
import json
import math
import statistics
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

# Processor time is not charged in these runs, so that the rest repeats; smaller differences are not
# worth a mechanism of their own.
LEAST_DIFFERENCE = 0.005


@dataclass(frozen=True)
class Play:
    """One day with one seed, on one checkout."""

    checkout: str
    day: str
    seed: str | None


@dataclass(frozen=True)
class Outcome:
    """What a play came to."""

    worth: float
    served: float
    broken_rules: list[str]


def main() -> int:
    options = read_options()
    for checkout in options.checkouts:
        build(options.bench, checkout)
    seeds = options.seeds.split(",") if options.seeds else [None]
    plays = [
        Play(checkout, day, seed)
        for day in options.days.split(",")
        for seed in seeds
        for checkout in options.checkouts
    ]
    with ThreadPoolExecutor(options.jobs) as pool:
        outcomes = dict(zip(plays, pool.map(lambda play: run(options, play), plays)))
    report(options, outcomes)
    return 0


def read_options() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--bench", required=True, help="the users' bench")
    parser.add_argument("--site", required=True, help="the site file")
    parser.add_argument("--days", required=True, help="names or files of days, joined by commas")
    parser.add_argument("--seeds", help="seeds, joined by commas")
    parser.add_argument("--why", required=True, help="the hypothesis, for the journal")
    parser.add_argument("--jobs", type=int, default=6, help="plays at a time")
    parser.add_argument("checkouts", nargs="+")
    return parser.parse_args()


def build(bench: str, checkout: str) -> None:
    subprocess.run([bench, "build"], cwd=checkout, check=True, stdout=subprocess.DEVNULL)


def run(options: argparse.Namespace, play: Play) -> Outcome | None:
    """Plays one day; None, with a line on standard error, when the bench gave no report."""
    with tempfile.TemporaryDirectory() as folder:
        report_file = Path(folder) / "report.json"
        command = [options.bench, "run", options.site, play.day, "--no-cpu", "--jobs", "1"]
        command += ["--report", str(report_file), "--why", options.why]
        if play.seed is not None:
            command += ["--seed", play.seed]
        ended = subprocess.run(command, cwd=play.checkout, capture_output=True, text=True)
        if not report_file.exists():
            print(f"no report of {play}: {ended.stdout[-300:]}{ended.stderr[-300:]}", file=sys.stderr)
            return None
        told = json.loads(report_file.read_text())
    return Outcome(told["G"], told["served"], sorted(told["breaks"]) + faults(told))


def faults(told: dict) -> list[str]:
    return [f"fault: {told['fault']}"] if told["fault"] else []


def report(options: argparse.Namespace, outcomes: dict[Play, Outcome | None]) -> None:
    first = options.checkouts[0]
    for checkout in options.checkouts:
        pairs = [
            (play, outcomes[Play(first, play.day, play.seed)], outcome)
            for play, outcome in outcomes.items()
            if play.checkout == checkout
        ]
        pairs = [pair for pair in pairs if pair[1] is not None and pair[2] is not None]
        print(describe(checkout, pairs))
        for play, _, outcome in pairs:
            if outcome.broken_rules:
                print(f"  BROKEN {play.day} seed {play.seed}: {', '.join(outcome.broken_rules)}")


def describe(checkout: str, pairs: list[tuple[Play, Outcome, Outcome]]) -> str:
    """One line on a checkout: its means, and its difference from the first."""
    worths = [outcome.worth for _, _, outcome in pairs]
    served = [outcome.served for _, _, outcome in pairs]
    by_day: dict[str, list[float]] = {}
    for play, _, outcome in pairs:
        by_day.setdefault(Path(play.day).stem, []).append(outcome.worth)
    days = ", ".join(f"{day} {statistics.mean(values):.3f}" for day, values in by_day.items())
    differences = [after.worth - before.worth for _, before, after in pairs]
    mean = statistics.mean(differences)
    error = standard_error(differences)
    is_beyond = abs(mean) > max(2 * error, LEAST_DIFFERENCE)
    verdict = "beyond noise" if is_beyond else "within noise"
    return (
        f"{Path(checkout).name}: worth {statistics.mean(worths):.4f} served {statistics.mean(served):.4f} "
        f"({days}) difference {mean:+.4f} ± {error:.4f} over {len(pairs)} pairs: {verdict}"
    )


def standard_error(values: list[float]) -> float:
    if len(values) < 2:
        return 0.0
    return statistics.stdev(values) / math.sqrt(len(values))


if __name__ == "__main__":
    sys.exit(main())
