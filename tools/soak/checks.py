"""The promises that are checked after a run, from what callers and upstreams saw."""

import collections

from callers import AT_MOST_ONCE, STREAMS, service_of
from hosts import REVOCATION_LIMIT_MS
from upstreams import expected_body, expected_stream

# These statuses promise that the request has not run and never will.
NOT_RUN_STATUSES = (408, 421, 429, 503)
FIRST_ERROR_STATUS = 300
# A host counts as disturbed for this long after a fault.
SETTLING_S = 5.0
# From the store's answer until a leaving upstream gets nothing new.
LEAVING_LIMIT_S = 4.0
REVOCATION_LIMIT_S = REVOCATION_LIMIT_MS / 1000
TERMINAL_STATES = ("completed", "rolled_back")


class Disturbances:
    """The times at which unplanned faults acted."""

    def __init__(self):
        self._spans = []

    def add(self, began_at, ended_at):
        self._spans.append((began_at, ended_at))

    def overlap(self, began_at, ended_at):
        return any(began - 0.1 <= ended_at and began_at <= end + SETTLING_S for began, end in self._spans)


def check_executions(attempts, runs):
    counts = collections.Counter(run.request_id for run in runs)
    for it in attempts:
        times = counts[it.request_id]
        if it.kind in AT_MOST_ONCE and times > 1:
            yield f"{it.request_id} ({it.kind}) ran {times} times"
        if it.kind in AT_MOST_ONCE and it.response and it.response.status in NOT_RUN_STATUSES and times > 0:
            yield f"{it.request_id} ({it.kind}) was refused with {it.response.status} and ran"
    known = {it.request_id for it in attempts}
    for run in runs:
        if run.request_id not in known:
            yield f"{run.upstream} ran {run.request_id}, which no caller sent"


def check_services(attempts, runs):
    """A request runs at upstreams of its own service."""
    kinds = {it.request_id: it.kind for it in attempts}
    for run in runs:
        kind = kinds.get(run.request_id)
        if kind is not None and run.service != service_of(kind):
            yield f"{run.request_id} ({kind}) ran at {run.upstream} of the service {run.service}"


def check_answers(attempts):
    for it in attempts:
        response = it.response
        if response is None or response.status >= FIRST_ERROR_STATUS:
            continue
        if response.field("Request-Id") != it.request_id:
            yield f"{it.request_id} got the answer of {response.field('Request-Id')}"
        if not response.field("Response-Seal"):
            yield f"{it.request_id} got a success without a seal"
        expected = expected_stream(it.request_id) if it.kind in STREAMS else expected_body(it.request_id)
        if response.complete and response.body != expected:
            yield f"{it.request_id} got {len(response.body)} of {len(expected)} bytes as a whole answer"
        if not expected.startswith(response.body):
            yield f"{it.request_id} got other bytes than its upstream's"


def check_patience(attempts, disturbances):
    """A host answers each request in time, or closes its connection."""
    for it in attempts:
        if it.timed_out and not disturbances.overlap(it.sent_at, it.ended_at):
            yield f"{it.request_id} got no answer within its time limit"


def check_planned_stops(attempts, runs, stops, disturbances):
    """A planned stop cuts no request that an upstream has begun."""
    began = {run.request_id for run in runs}
    for it in attempts:
        for host, stopped_at, ended_at in stops:
            is_in_stop = it.host == host and it.sent_at <= ended_at and it.ended_at >= stopped_at
            if (is_in_stop and it.request_id in began and not it.is_answered and not it.has_left and
                    not disturbances.overlap(it.sent_at, it.ended_at)):
                yield f"{it.request_id} was cut by the planned stop of {host}"


def check_leaving_upstreams(attempts, runs, leavings, disturbances):
    """An upstream that leaves gets no requests that are sent later than the
    limit after the store has accepted its entry."""
    sent_at = {it.request_id: it.sent_at for it in attempts}
    for run in runs:
        left_at = leavings.get(run.upstream)
        is_late = left_at is not None and sent_at.get(run.request_id, 0) > left_at + LEAVING_LIMIT_S
        if is_late and not disturbances.overlap(left_at, run.began_at):
            yield f"{run.request_id} reached {run.upstream} {run.began_at - left_at:.1f} s after it began to leave"


def check_revocations(attempts, runs, revocations, workspace):
    """No request runs with a key that was taken away, whatever fails."""
    began_at = {}
    for run in runs:
        began_at.setdefault(run.request_id, run.began_at)
    for it in attempts:
        for taken_at, given_at in revocations:
            # One that is sent before the key is given back may arrive after it.
            ran_without_key = began_at.get(it.request_id, given_at) < given_at
            is_after = taken_at + REVOCATION_LIMIT_S < it.sent_at
            if it.workspace == workspace and is_after and ran_without_key:
                yield f"{it.request_id} ran {it.sent_at - taken_at:.1f} s after its key was taken away"


def check_processes(hosts):
    for it in hosts:
        for status in it.own_ends:
            yield f"{it.name} ended by itself with status {status}"


def check_rollouts(statuses):
    """An order has one outcome, which is never replaced."""
    outcomes = {}
    for kind, name, status in statuses:
        if kind != "rollouts" or not status:
            continue
        key = (name, status.get("target"))
        state = status.get("state")
        if outcomes.get(key) in TERMINAL_STATES and state != outcomes[key]:
            yield f"the roll-out of {key} was {outcomes[key]} and became {state}"
        outcomes[key] = state
