"""Write the golden files by a version of the programs that is installed elsewhere.

    python -m tests.golden.record PYTHON PACKAGE CHECKOUT

PYTHON is that version's interpreter, PACKAGE its package, CHECKOUT the folder to start it in. The files
change only where a change of the stored or sent form is meant; README.md says which version wrote them.
"""

from __future__ import annotations

import json
import sqlite3
import subprocess
import sys
import tempfile
from contextlib import closing
from pathlib import Path

from tests.golden import replay

FOLDER = Path(__file__).parent
DRILL = """\
title = "a short drill for a golden file"

[load]
rate = 100
requests = 40

[bounds]
served = 0.9
"""
SCALE_OPTIONS = (
    *(
        "--balancers",
        "12",
        "--real",
        "2",
        "--hosts",
        "1",
        "--quiet-s",
        "1",
        "--away-s",
        "1",
        "--changes",
        "4",
    ),
    *("--settle-s", "1", "--steps", "start,quiet"),
)


def record(program: replay.Program, folder: Path) -> None:
    """Play every session and write its files."""
    with tempfile.TemporaryDirectory() as name:
        _record_balancer(program, Path(name), folder)
    with tempfile.TemporaryDirectory() as name:
        gossip = replay.play_gossip(program, Path(name))
        for kind, data in gossip.datagrams.items():
            (folder / f"gossip-{kind}.msgpack").write_bytes(data)
        replay.write_answers(folder / "console-membership.jsonl", gossip.console)
    with tempfile.TemporaryDirectory() as name:
        registry = replay.play_registry(program, Path(name))
        replay.write_answers(folder / "registry.jsonl", registry.answers)
        (folder / "registry-export.jsonl").write_text(registry.export, encoding="utf-8")
        with closing(sqlite3.connect(registry.database)) as database:
            database.execute("pragma journal_mode = delete")
        (folder / "registry.sqlite").write_bytes(registry.database.read_bytes())
    with tempfile.TemporaryDirectory() as name:
        exchange = replay.play_exchange(program, Path(name))
        (folder / "registry-exchange.json").write_text(exchange.question + "\n", encoding="utf-8")
        replay.write_answers(folder / "registry-instances.jsonl", exchange.answers)
    with tempfile.TemporaryDirectory() as name:
        _record_drill(program, Path(name), folder / "drill")
    with tempfile.TemporaryDirectory() as name:
        _record_scale(program, Path(name), folder)


def _record_balancer(program: replay.Program, work: Path, folder: Path) -> None:
    session = replay.play_balancer(program, work)
    replay.write_answers(folder / "console.jsonl", session.console)
    (folder / "cordons.json").write_bytes(session.cordons)
    (folder / "front-1.snapshot").write_bytes(session.snapshot)
    (folder / "hot-restart-state.json").write_bytes(session.state)
    (folder / "hot-restart-counts.json").write_bytes(session.counts)
    (folder / "hot-restart-ready.txt").write_bytes(session.ready)


def _record_drill(program: replay.Program, work: Path, folder: Path) -> None:
    path = work / "golden.toml"
    path.write_text(DRILL)
    command = ("drill", "run", str(path), "--out", str(work / "out"))
    subprocess.run(program.command_line(*command), cwd=program.cwd, check=True, stdout=subprocess.DEVNULL)
    folder.mkdir(exist_ok=True)
    for written in sorted((work / "out" / "golden").iterdir()):
        if written.suffix == ".jsonl" or written.name in ("verdict.json", "drill.toml"):
            (folder / written.name).write_bytes(written.read_bytes())


def _record_scale(program: replay.Program, work: Path, folder: Path) -> None:
    command = ("scale", "run", *SCALE_OPTIONS, "--out", str(work / "out"))
    subprocess.run(program.command_line(*command), cwd=program.cwd, check=True, stdout=subprocess.DEVNULL)
    figures = json.loads((work / "out" / "figures.json").read_text(encoding="utf-8"))
    (folder / "scale-figures.json").write_text(json.dumps(figures) + "\n", encoding="utf-8")


if __name__ == "__main__":
    record(replay.Program(sys.argv[1], sys.argv[2], Path(sys.argv[3])), FOLDER)
