"""Cordons that operators were promised, while the folder can't be written for a while."""

from __future__ import annotations

import errno
import os
from pathlib import Path

import pytest

from loadbalancer.interface import ZoneEvacuation
from loadbalancer.net.cordon_file import CordonFile


class FailingDisk:
    """Makes writes or renames in a folder fail until it is repaired."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, operation: str, number: int) -> None:
        self.is_broken = True
        error = OSError(number, os.strerror(number))
        replace, write_text = os.replace, Path.write_text

        def replace_or_fail(source: str | Path, target: str | Path) -> None:
            if self.is_broken and operation == "rename":
                raise error
            replace(source, target)

        def write_half_or_fail(path: Path, text: str) -> int:
            if self.is_broken and operation == "write":
                write_text(path, text[: len(text) // 2])
                raise error
            return write_text(path, text)

        monkeypatch.setattr(os, "replace", replace_or_fail)
        monkeypatch.setattr(Path, "write_text", write_half_or_fail)


@pytest.mark.parametrize("number", [errno.ENOSPC, errno.EIO])
@pytest.mark.parametrize("operation", ["write", "rename"])
def test_a_cordon_is_saved_once_the_folder_can_be_written_again(
    operation: str, number: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a cordon that was answered with yes and ends with the process."""
    disk = FailingDisk(monkeypatch, operation, number)
    file = CordonFile(tmp_path)
    assert "could not be saved" in file.set_cordon("s0", is_cordoned=True)
    assert not file.save_pending()
    assert file.cordons.servers == {"s0"}
    disk.is_broken = False
    assert file.save_pending()
    later = CordonFile(tmp_path)
    assert later.refresh()
    assert later.cordons.servers == {"s0"}
    assert not file.save_pending()


def test_an_unsaved_cordon_survives_a_change_by_the_other_process(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a cordon in memory that the file of the other process overwrites."""
    disk = FailingDisk(monkeypatch, "write", errno.ENOSPC)
    file, other = CordonFile(tmp_path), CordonFile(tmp_path)
    file.set_cordon("s0", is_cordoned=True)
    disk.is_broken = False
    assert other.set_cordon("s1", is_cordoned=True) == ""
    assert file.refresh()
    assert file.cordons.servers == {"s0", "s1"}
    assert file.save_pending()
    assert other.refresh()
    assert other.cordons.servers == {"s0", "s1"}


@pytest.mark.parametrize("order", ["cordon", "uncordon"])
def test_the_next_process_saves_what_its_predecessor_could_not(
    order: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a cordon, or its end, that is lost when the process that took over is killed."""
    is_cordoned = order == "cordon"
    disk = FailingDisk(monkeypatch, "write", errno.ENOSPC)
    disk.is_broken = False
    file = CordonFile(tmp_path)
    file.set_cordon("s0", is_cordoned=not is_cordoned)
    file.set_cordon("s1", is_cordoned=True)
    disk.is_broken = True
    file.set_cordon("s0", is_cordoned=is_cordoned)
    file.set_evacuation(
        ZoneEvacuation("z1", is_evacuating=True, started_at_ms=1_000.0, duration_ms=0.0, initial_fraction=1.0)
    )
    successor = CordonFile(tmp_path)
    successor.refresh()
    successor.adopt(file.encode())
    assert not successor.save_pending()
    disk.is_broken = False
    assert successor.save_pending()
    later = CordonFile(tmp_path)
    assert later.refresh()
    assert later.cordons == file.cordons == successor.cordons


def test_a_file_that_can_not_be_read_for_a_moment_is_read_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against cordons that are overlooked for good after one failed read."""
    file, other = CordonFile(tmp_path), CordonFile(tmp_path)
    other.set_cordon("s0", is_cordoned=True)
    read_bytes = Path.read_bytes

    def fail(path: Path) -> bytes:
        raise OSError(errno.EIO, os.strerror(errno.EIO), str(path))

    monkeypatch.setattr(Path, "read_bytes", fail)
    assert not file.refresh()
    monkeypatch.setattr(Path, "read_bytes", read_bytes)
    assert file.refresh()
    assert file.cordons.servers == {"s0"}
