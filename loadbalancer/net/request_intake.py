"""Turns client activity into events: a request arrives, its body ends or fails, its client disconnects."""

from __future__ import annotations

from http import HTTPStatus

from loadbalancer import interface
from loadbalancer.net.downstream_request import DownstreamRequest
from loadbalancer.net.log import Log
from loadbalancer.net.request_counters import CloseReason, RequestCounters
from loadbalancer.net.request_table import RESPONSE_MARGIN_MS, RequestTable, log_repeated_id


class RequestIntake:
    """Handles the requests of the downstream listener."""

    def __init__(self, requests: RequestTable, counters: RequestCounters, log: Log) -> None:
        """Create an intake that adds to `requests`."""
        self._requests = requests
        self._counters = counters
        self._log = log
        self.is_closed = False

    def on_request_arrived(self, downstream: DownstreamRequest) -> None:
        """Handle a request that has arrived, complete or with the rest of its body to follow."""
        if self.is_closed:
            downstream.release()
            downstream.send_response(503)
            return
        if self._requests.may_be_repeat(downstream):
            log_repeated_id(self._log, downstream)
            self._requests.reject_repeat(downstream)
            return
        request = self._requests.add(downstream)
        self._requests.start_safety_timer(request)
        arrival = interface.RequestArrived(
            request.id,
            downstream.class_name,
            max(downstream.remaining_ms() - RESPONSE_MARGIN_MS, 0.0),
            downstream.tenant,
            downstream.is_retry,
            downstream.cost_hint_ms,
            downstream.body.is_complete,
        )
        self._requests.dispatch(request, arrival)

    def on_request_completed(self, downstream: DownstreamRequest) -> None:
        """Handle the end of a request's body: its deadline is known now."""
        request = self._requests.get_open(downstream.request_id)
        if request is not None:
            elapsed_ms = downstream.deadline_ms - downstream.remaining_ms()
            self._requests.dispatch(request, interface.RequestCompleted(request.id, elapsed_ms))

    def on_request_failed(self, downstream: DownstreamRequest, status: int) -> None:
        """End a request with this status, as the rest of its body will not arrive."""
        request = self._requests.get_open(downstream.request_id)
        if request is not None:
            self._requests.respond(request, status)
            self._requests.dispatch(request, interface.ClientDisconnected(request.id))

    def on_client_disconnected(self, downstream: DownstreamRequest) -> None:
        """Handle the disconnect of a request's client."""
        request = self._requests.get_open(downstream.request_id)
        if request is not None:
            self._requests.close(request, None)
            self._counters.record_close(CloseReason.CLIENT_DISCONNECTED)
            if request.streaming_attempt is not None:
                request.streaming_attempt.cancel()  # nobody is left to receive the response
            self._requests.dispatch(request, interface.ClientDisconnected(request.id))

    def on_client_unseen(self, downstream: DownstreamRequest) -> None:
        """End a request that no server has got in full, as its client may have left unseen."""
        request = self._requests.get_open(downstream.request_id)
        if request is not None and request.is_untaken():
            self._counters.record_close(CloseReason.CLIENT_UNSEEN)
            self._requests.respond_with_error(request.id)

    def on_input_rejected(self, status: int) -> None:
        """Count input that is no acceptable request, or that there is no memory for."""
        self._counters.record_rejected_input(status)
        if status == HTTPStatus.SERVICE_UNAVAILABLE:
            self._log.event("heads_shed", "too much is being received: rejecting requests with long heads")

    def on_shutdown_deadline(self) -> None:
        """Answer all requests but those whose response still arrives, and reject later ones."""
        self.is_closed = True
        self._requests.end_all()
