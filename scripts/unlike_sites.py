"""Makes site files unlike the users' two from one of theirs, to be played with `hunt`.

Usage: python3 unlike_sites.py SITE.toml FOLDER
       writes FOLDER/NAME.toml for each variant; nothing of the given file is kept in this repository.

The given files are edited as text, so that whatever else they hold stays as it is.
"""

import re
import sys
from pathlib import Path


def one_vm_a_zone(text: str) -> str:
    """One entry VM in each zone, and no spare."""
    machines = re.compile(r"(class = \"front\".*?), count = \d+, spare = \d+")
    return machines.sub(r"\1, count = 1, spare = 0", text)


def no_spare(text: str) -> str:
    """No VM can be added."""
    return re.sub(r"spare = \d+", "spare = 0", text)


def home_without_upstreams(text: str) -> str:
    """The home regions of bound requests have one upstream of each service less."""
    first = re.compile(r"(servers = \[\{ zone = \"[^\"]+\", count = )(\d+)")
    return first.sub(lambda found: found[1] + str(max(1, int(found[2]) - 3)), text)


VARIANTS = [one_vm_a_zone, no_spare, home_without_upstreams]


def main() -> None:
    site, folder = Path(sys.argv[1]), Path(sys.argv[2])
    text = site.read_text()
    folder.mkdir(parents=True, exist_ok=True)
    for variant in VARIANTS:
        name = f"{site.stem}-{variant.__name__.replace('_', '-')}"
        changed = variant(text).replace(f'name = "{site.stem}"', f'name = "{name}"')
        (folder / f"{name}.toml").write_text(changed)
    # The files name their wire beside them.
    (folder / "wire.json").write_text((site.parent / "wire.json").read_text())


if __name__ == "__main__":
    main()
