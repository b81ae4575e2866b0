"""Lays our variants of a site over its given file, each in a folder of its own that the bench can play.

    python deploy/sites/lay_out.py PATH/TO/GIVEN-SITE.toml

Each `*.toml` beside this script holds what is other in a variant. The copies go to `laid-out/`, which git
ignores; `real.json`, `wire.json` and `unlock.txt` come from beside the given file.
"""

from __future__ import annotations

import shutil
import sys
import tomllib
from pathlib import Path
from typing import Any

import tomli_w

HERE = Path(__file__).parent
BESIDE = ("real.json", "wire.json", "unlock.txt")


def laid_over(given: Any, own: Any) -> Any:
    """The given value with ours over it: tables by their keys, lists of tables by their places, else ours.

    A list of tables gets as many as ours has; one of ours past the given ones is laid over the last of them.
    """
    if isinstance(given, dict) and isinstance(own, dict):
        return given | {key: laid_over(given.get(key), value) for key, value in own.items()}
    if _are_tables(given) and _are_tables(own):
        return [laid_over(given[min(i, len(given) - 1)], item) for i, item in enumerate(own)]
    return own


def _are_tables(value: Any) -> bool:
    return isinstance(value, list) and bool(value) and all(isinstance(item, dict) for item in value)


def lay_out(site: Path, into: Path) -> list[Path]:
    """Write all variants of a site below a folder; the site files written."""
    given, written = tomllib.loads(site.read_text(encoding="utf-8")), []
    for variant in sorted(HERE.glob("*.toml")):
        folder = into / variant.stem
        folder.mkdir(parents=True, exist_ok=True)
        for name in BESIDE:
            shutil.copyfile(site.parent / name, folder / name)
        text = tomli_w.dumps(laid_over(given, tomllib.loads(variant.read_text(encoding="utf-8"))))
        written.append(folder / variant.name)
        written[-1].write_text(text, encoding="utf-8")
    return written


def main(arguments: list[str]) -> int:
    """Lay all variants out; the result is the exit status."""
    if len(arguments) != 1:
        print("usage: lay_out.py GIVEN-SITE.toml", file=sys.stderr)
        return 2
    try:
        written = lay_out(Path(arguments[0]), HERE / "laid-out")
    except (OSError, ValueError) as error:
        print(f"lay_out.py: {' '.join(str(error).split())}", file=sys.stderr)
        return 2
    for path in written:
        print(path)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
