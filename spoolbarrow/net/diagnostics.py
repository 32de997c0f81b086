"""Diagnostic events of the log: the meaning and level of each, and a remedy for operators.

`log` writes the lines, and its callers supply the fields. Lines about a request's attempts omit the remedy,
since there are many of them with the same remedy (`docs/operators/errors.md` lists it).
"""

from __future__ import annotations

from typing import ClassVar

from spoolbarrow.errors import InternalError, Problem


class Diagnostic(Problem):
    """A log event that reports a problem."""

    event: ClassVar[str] = ""
    level: ClassVar[str] = "warning"
    logs_remedy: ClassVar[bool] = True  # its lines include the remedy


class BadConfig(Diagnostic):
    """The program does not start with this configuration; `error` names the key."""

    status, event, level = 2, "bad_config", "error"
    where = "the faulty key"
    remedy = "Correct the key that `error` names and restart; `spoolbarrow check` reports every fault."


class ReloadFailed(Diagnostic):
    """SIGHUP or `agree apply` changed nothing; `error` names the key."""

    event, level = "reload_failed", "error"
    where = "the faulty key"
    remedy = (
        "Correct the key that `error` names and send SIGHUP again; the old files stay in force till then."
    )


class ReloadIgnored(Diagnostic):
    """SIGHUP arrived while the router drains."""

    event, level = "reload_ignored", "info"
    remedy = "Nothing: the process is ending, and its successor reads the current files."


class Unexpected(Diagnostic):
    """An internal error of this program; the request concerned was answered."""

    event, level = "unexpected", "error"
    where = "`where`: the part in which it occurred"
    remedy = InternalError.remedy


class Overdue(Diagnostic):
    """The router's decisions left a request open past its deadline; the host answered it."""

    event, level = "overdue", "error"
    where = "`request`"
    remedy = "Report it with the log lines of this request: it is a fault of this program."


class SendForUnknown(Diagnostic):
    """The router's decisions sent a request that is no longer open; nothing was sent."""

    event, level = "send_for_unknown", "info"
    where = "`request`"
    remedy = "Report it with the log lines of this request: it is a fault of this program."


class BadEntry(Diagnostic):
    """An entry of discovery's list is invalid; the engine gets no requests."""

    event = "bad_entry"
    where = "`name`: the engine"
    remedy = "Correct the entry in discovery: HOST:PORT; in_service, terminating or terminated."


class DrainHeld(Diagnostic):
    """The number of `connections` still open 3.9 s after an operator's drain, the first of them in `held`."""

    event, level = "drain_held", "info"
    where = "`held`: each connection, its state, its request and the age of the state in ms"
    remedy = "Report it, except for connections `answering` an old request, whose responses may continue."


class WatchBroken(Diagnostic):
    """The watch on discovery ended or became unresponsive; it is restarted, and the list stays as it was."""

    event = "watch_broken"
    where = "`why`"
    remedy = "If it recurs, check that this discovery runs and answers within `call_timeout_ms`."


class BadList(Diagnostic):
    """Discovery's answer is not a valid list: `why` names the fault; the list stays as it was."""

    event, level = "bad_list", "error"
    where = "`why`; `index`: the version known here"
    remedy = (
        "Correct the answers of discovery or of a proxy before it; if its versions restarted, "
        "restart the routers."
    )


class ListUnconfirmed(Diagnostic):
    """Discovery was unresponsive for 6 s: it may have published updates that are not known here."""

    event = "list_unconfirmed"
    where = "`silent_ms`"
    remedy = "Check that discovery runs and is reachable; `list_confirmed` follows once it responds."


class NotSent(Diagnostic):
    """An attempt never reached its engine; the request is tried elsewhere."""

    event, logs_remedy = "not_sent", False
    where = "`endpoint`"
    remedy = "If there are many for one engine, check that it listens, and suspend it until it does."


class Reset(Diagnostic):
    """An engine's connection broke during an attempt, which may have run."""

    event, logs_remedy = "reset", False
    where = "`endpoint`"
    remedy = "If there are many for one engine, check its log for restarts, and suspend it till it is stable."


class EndpointError(Diagnostic):
    """An engine answered an attempt with an error."""

    event, logs_remedy = "endpoint_error", False
    where = "`endpoint`"
    remedy = "If there are many for one engine, check its log for the status reported, and suspend it."


class Unreadable(Diagnostic):
    """An engine's answer is malformed; the attempt may have run."""

    event, logs_remedy = "unreadable", False
    where = "`endpoint`"
    remedy = "Check what is between router and engine, and the engine's version; suspend it meanwhile."


class ProbeFailed(Diagnostic):
    """A probe's answer was cut off or malformed; a missing answer alone is not logged."""

    event, level, logs_remedy = "probe_failed", "info", False
    where = "`endpoint`"
    remedy = "If there are many for one engine, check that it offers its load report where the settings say."


class BadRequest(Diagnostic):
    """A client's request is not valid for this router; the client got an error response."""

    event, level, logs_remedy = "bad_request", "info", False
    where = "`why`"
    remedy = "Have the client's owner correct it by README.md's table of answers."


class NoRoomForRequest(Diagnostic):
    """A request was refused because memory for requests or open requests are at their limit."""

    event = "no_room"
    where = "`held` bytes of bodies, `charged` bytes of memory, `open` requests"
    remedy = "Raise `limits.memory_mb`, or add another router."


class MemoryNearLimit(Diagnostic):
    """The resident memory came near the limit, so that no more is held for clients than at that time."""

    event = "memory_near_limit"
    where = "`resident` bytes; `charged` bytes for clients"
    remedy = "Raise `limits.memory_mb`, lower `limits.sockets`, or add another router."


class EndpointReplaced(Diagnostic):
    """Another engine is listed at an engine's address, so that nothing more is sent to the older one."""

    event = "endpoint_replaced"
    where = "`name`, `address`"
    remedy = "If both run, give them addresses of their own; otherwise withdraw the older one from the list."


class AcceptPaused(Diagnostic):
    """No client could be accepted for a short time."""

    event = "accept_paused"
    where = "`why`"
    remedy = "Raise the process's limit of descriptors to `limits.sockets` (`ulimit -n`), or lower that."


class NoRoomForClients(Diagnostic):
    """Client connections were answered 503 because others with open requests took up all room."""

    event = "no_room_for_clients"
    where = "`refused`: how many since the last such line"
    remedy = "Raise `limits.sockets`, or add another router."


class NoRoomForAttempts(Diagnostic):
    """Attempts and probes were not sent because this router could open no more connections to engines.

    This does not count against the engines; a request is tried elsewhere or refused.
    """

    event = "no_room_for_attempts"
    where = "`unsent`: how many since the last such line; `why`"
    remedy = (
        "Raise `limits.sockets`, the process's limit of descriptors (`ulimit -n`) to at least the same, and "
        "the machine's limit if needed, or add another router."
    )


class FlowAcceptPaused(Diagnostic):
    """No exporter's connection could be accepted for a short time."""

    event = "flow_accept_paused"
    where = "`why`"
    remedy = "Raise the process's limit of descriptors (`ulimit -n`)."


class StoreAcceptPaused(Diagnostic):
    """No connection of another store member could be accepted for a short time."""

    event = "store_accept_paused"
    where = "`member`, `why`"
    remedy = "Raise the process's limit of descriptors (`ulimit -n`)."


class ControlPaused(Diagnostic):
    """No operator's call could be accepted for a short time."""

    event = "control_paused"
    where = "`why`"
    remedy = "Raise the process's limit of descriptors to `limits.sockets` (`ulimit -n`), or lower that."


class ClientStalled(Diagnostic):
    """A client that read nothing of its answer for `stall_ms` was disconnected."""

    event = "client_stalled"
    remedy = "If there are many, check the network between clients and router, or raise `options.stall_ms`."


class Unasked(Diagnostic):
    """An engine sent data on an idle connection; its connections are reused only after a longer pause."""

    event = "unasked"
    where = "`endpoint`"
    remedy = "Have the engine's owner find out why it writes after the end of an answer."


class LogDropped(Diagnostic):
    """Log lines are missing at this place because the log's reader was blocked."""

    event = "log_dropped"
    where = "`lines`: how many"
    remedy = "Find out why the reader of standard error stopped, or redirect it to a file."


class HandoverFailed(Diagnostic):
    """A handover between two processes of a router failed in part; serving continues."""

    event = "handover_failed"
    where = "`what`: folder, words, state, streams or stream"
    remedy = "Check that `$TMPDIR` is writable and that both processes have the same name and version."


class WordLost(Diagnostic):
    """A suspension that another process was given could not be stored here."""

    event = "word_lost"
    where = "`engine`"
    remedy = "Resume suspended engines that were removed, and suspend this one again."


class FailoverDropped(Diagnostic):
    """More outcomes came in one period than failover evaluates; the rest is ignored."""

    event, level = "failover_dropped", "info"
    where = "`outcomes`"
    remedy = "Shorten `failover.period_ms`."


class CollectorLost(Diagnostic):
    """A flow collector can't be reached or written; records are queued up to the limit."""

    event, level = "collector_lost", "info"
    where = "`collector`"
    remedy = "Check that the collector runs at this address, or that its directory is writable and has space."


class ExporterLost(Diagnostic):
    """The collector lost an exporter's connection."""

    event, level = "exporter_lost", "info"
    where = "`exporter`"
    remedy = "See `collector_lost` in that exporter's log."


class FlowMessageRefused(Diagnostic):
    """An exporter's message violates its format; the line names the rule and the octet."""

    event, level = "flow_message_refused", "info"
    where = "`exporter`, `octet`"
    remedy = "Check that the exporter sends IPFIX or NetFlow v9, and give it the same enterprise number."


class FlowMessageCut(Diagnostic):
    """An exporter closed its connection in the middle of a message."""

    event, level = "flow_message_cut", "info"
    where = "`exporter`"
    remedy = "Check the exporter's log for the reason; its records of that message are lost."


class ShadowSpool(Diagnostic):
    """Pairs of shadow traffic can't be written; they are dropped and counted."""

    event, level = "shadow_spool", "info"
    where = "`directory`"
    remedy = "Free space in `shadow.directory`, and make it writable for this user."


class StoreDisk(Diagnostic):
    """A store member's disk failed: the member stopped taking part."""

    event, level = "store_disk", "info"
    where = "`member`"
    remedy = "Free space or replace the disk, then start the member again: the others continue meanwhile."


class StoreMemberBehind(Diagnostic):
    """A store member started with an older file than before: it counts for no majority until caught up."""

    event, level = "store_member_behind", "info"
    where = "`member`, `told_by`"
    remedy = "Leave it running: it catches up, but counts for no majority until a majority besides it runs."


class StoreFrame(Diagnostic):
    """Data from another store member can't be decoded; its connection was closed."""

    event, level = "store_frame", "info"
    where = "`member`"
    remedy = "Let only members of the same version reach `--listen`, on a network of their own."


def _below(kind: type[Diagnostic]) -> dict[str, type[Diagnostic]]:
    return {one.event: one for one in kind.__subclasses__()}


DIAGNOSTICS = _below(Diagnostic)
