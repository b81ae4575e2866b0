"""Run balancers in the simulator: read batches of events, dispatch them to instances, write the replies."""

from __future__ import annotations

import sys
import traceback
from collections.abc import Iterator
from typing import TextIO

from loadbalancer import wire
from loadbalancer.interface import Endpoint, Event
from loadbalancer.policy import Balancer


class SimulatorHost:
    """The instances of one process, and the endpoint lists that are sent once for all of them."""

    def __init__(self, errors: TextIO) -> None:
        """Create a host that writes error messages and notes to `errors`."""
        self._errors = errors
        self._written_notes: set[str] = set()
        self._balancers: dict[str, Balancer | None] = {}  # None for one that has failed
        self._ledgers: dict[int, tuple[Endpoint, ...]] = {}
        self._now_ms = 0.0
        self._batch = "?"
        self._line = ""

    def run(self, source: TextIO, target: TextIO) -> int:
        """Answer batches until the input ends; return the exit status."""
        try:
            lines = (line.rstrip("\r\n") for line in source)
            for self._line in lines:
                if self._line:
                    target.write("\n".join(self._answer_batch(lines)) + "\n")
                    target.flush()
        except (wire.WireError, UnicodeDecodeError) as error:
            self._report_error(str(error))
            return 1
        except BrokenPipeError:
            return 1
        return 0

    def _report_error(self, reason: str) -> None:
        print(f"loadbalancer: batch {self._batch}, line {self._line[:200]!r}: {reason}", file=self._errors)

    def _note(self, text: str) -> None:
        """Write a note, unless it has been written before."""
        if text not in self._written_notes:
            self._written_notes.add(text)
            print(f"loadbalancer: {text}", file=self._errors)

    def _next_line(self, lines: Iterator[str]) -> list[str]:
        for self._line in lines:
            return self._line.split(" ")
        raise wire.WireError("the input ended inside a batch")

    def _answer_batch(self, lines: Iterator[str]) -> list[str]:
        kind, *parts = self._line.split(" ")
        if kind != "sync":
            raise wire.WireError("a batch must begin with 'sync'")
        fields = wire.read_fields(parts)
        self._batch = wire.read_text(fields, "batch")
        self._now_ms = wire.read_number(fields, "time")
        reply: list[str] = []
        while True:
            kind, *parts = self._next_line(lines)
            if kind == "eob":
                reply.append(f"yield batch={self._batch}")
                return reply
            fields = wire.read_fields(parts)
            if kind == "ledger":
                self._read_ledger(fields, lines)
            else:
                self._handle_line(kind, fields, reply)

    def _read_ledger(self, fields: wire.Fields, lines: Iterator[str]) -> None:
        endpoints = []
        for _ in range(wire.read_integer(fields, "membersList")):
            kind, *parts = self._next_line(lines)
            if kind != "m":
                raise wire.WireError("a ledger has fewer entries than 'membersList' says")
            endpoints.append(wire.read_endpoint(wire.read_fields(parts)))
        self._ledgers[wire.read_integer(fields, "list")] = tuple(endpoints)

    def _handle_line(self, kind: str, fields: wire.Fields, reply: list[str]) -> None:
        try:
            event = wire.read_event(kind, fields, self._note)
        except wire.WireError:
            raise
        except ValueError as error:  # settings out of range
            raise wire.WireError(str(error)) from error
        if event is None:
            return
        instance = wire.read_text(fields, "who")
        if isinstance(event, wire.InstanceStarted):
            self._balancers[instance] = Balancer(event.settings, event.seed)
            return
        if instance not in self._balancers:
            raise wire.WireError(f"instance {instance!r} is unknown")
        if isinstance(event, wire.InstanceKilled):
            del self._balancers[instance]
            return
        if isinstance(event, wire.EndpointListNotice):
            event = wire.resolve_endpoint_list(event, self._endpoints_of(event))
        self._handle_event(instance, event, reply)

    def _endpoints_of(self, notice: wire.EndpointListNotice) -> tuple[Endpoint, ...]:
        if notice.ledger_id is None:
            return ()
        if notice.ledger_id not in self._ledgers:
            raise wire.WireError(f"ledger {notice.ledger_id} was never sent")
        return self._ledgers[notice.ledger_id]

    def _handle_event(self, instance: str, event: Event, reply: list[str]) -> None:
        balancer = self._balancers[instance]
        if balancer is None:
            return
        try:
            actions = balancer.handle(event, self._now_ms)
            reply.extend([wire.write_action(instance, action) for action in actions])
        except Exception as error:  # reported on the wire, so that the failure is seen where it happened
            traceback.print_exc(file=self._errors)
            self._balancers[instance] = None
            reply.append(wire.write_failure(instance, error))


def main() -> int:
    """Serve standard input and output; return the exit status."""
    sys.stdin.reconfigure(encoding="utf-8")  # type: ignore[union-attr]
    sys.stdout.reconfigure(encoding="utf-8")  # type: ignore[union-attr]
    return SimulatorHost(sys.stderr).run(sys.stdin, sys.stdout)


if __name__ == "__main__":
    sys.exit(main())
