"""The kinds of trouble that the log tells of: what each event means, its level, and what an operator can do.

Owns what a line's event stands for; the line itself is `log`'s, and what happened there is for whoever writes
it. Lines of a request's attempts do not carry their remedy: there are many of them, and it is the same in
each (`docs/operators/errors.md` has it).
"""

from __future__ import annotations

from typing import ClassVar

from spoolbarrow.errors import InternalError, Problem


class Diagnostic(Problem):
    """An event of the log that tells of something wrong."""

    event: ClassVar[str] = ""
    level: ClassVar[str] = "warning"
    logs_remedy: ClassVar[bool] = True  # its lines carry the remedy


class BadConfig(Diagnostic):
    """The program does not start with this configuration; `error` names the key."""

    status, event, level = 2, "bad_config", "error"
    where = "the faulty key"
    remedy = "Put right the key that `error` names and start it again; `spoolbarrow check` tells every fault."


class ReloadFailed(Diagnostic):
    """SIGHUP or `agree apply` changed nothing; `error` names the key."""

    event, level = "reload_failed", "error"
    where = "the faulty key"
    remedy = "Put right the key that `error` names and send SIGHUP again; what was acted on stays till then."


class ReloadIgnored(Diagnostic):
    """SIGHUP came while the router drains."""

    event, level = "reload_ignored", "info"
    remedy = "Nothing: the process is ending; its successor reads the files as they are."


class Unexpected(Diagnostic):
    """A fault of this program; what was under way has had its answer."""

    event, level = "unexpected", "error"
    where = "`where`: the part that ran into it"
    remedy = InternalError.remedy


class Overdue(Diagnostic):
    """The decisions left a request open past its deadline; the host answered it."""

    event, level = "overdue", "error"
    where = "`request`"
    remedy = "Report it with the lines of this request: it is a fault of this program."


class SendForUnknown(Diagnostic):
    """The decisions sent a request that is no longer open; nothing went out."""

    event, level = "send_for_unknown", "info"
    where = "`request`"
    remedy = "Report it with the lines of this request: it is a fault of this program."


class BadEntry(Diagnostic):
    """A line of discovery's list can't be used; the engine gets nothing."""

    event = "bad_entry"
    where = "`name`: the engine"
    remedy = "Put the entry right in discovery: HOST:PORT; in_service, terminating or terminated."


class DrainHeld(Diagnostic):
    """What is still open 3.9 s after a drain by hand: so many `connections`, the first of them in `held`."""

    event, level = "drain_held", "info"
    where = "`held`: each connection, its state, its request and the ms since"
    remedy = "Report it, but for connections that are `answering` an old request: such answers run on."


class WatchBroken(Diagnostic):
    """The watch on discovery ended or fell silent; it is asked for again, and the list stays as it was."""

    event = "watch_broken"
    where = "`why`"
    remedy = "If it repeats, see whether the named discovery runs and answers within `call_timeout_ms`."


class BadList(Diagnostic):
    """Discovery's answer is no list that can be taken: `why` names the fault; the list stays as it was."""

    event, level = "bad_list", "error"
    where = "`why`; `index`: the version that is known"
    remedy = (
        "Put right what discovery or something before it answers; where its versions began anew, "
        "restart the routers."
    )


class ListUnconfirmed(Diagnostic):
    """Discovery has said nothing for 6 s: what it had to tell counts as told and is not known here."""

    event = "list_unconfirmed"
    where = "`silent_ms`"
    remedy = "See whether discovery runs and is reached from here; `list_confirmed` follows once it speaks."


class NotSent(Diagnostic):
    """An attempt never reached its engine; it is tried elsewhere."""

    event, logs_remedy = "not_sent", False
    where = "`endpoint`"
    remedy = "Many at one engine: see whether it listens, and suspend it till it does."


class Reset(Diagnostic):
    """An engine's connection broke under an attempt, which may have run."""

    event, logs_remedy = "reset", False
    where = "`endpoint`"
    remedy = "Many at one engine: look in its own log for restarts, and suspend it till it holds."


class EndpointError(Diagnostic):
    """An engine answered an attempt with an error."""

    event, logs_remedy = "endpoint_error", False
    where = "`endpoint`"
    remedy = "Many at one engine: look in its own log for the status that is told, and suspend it."


class Unreadable(Diagnostic):
    """An engine's answer is spoilt; the attempt may have run."""

    event, logs_remedy = "unreadable", False
    where = "`endpoint`"
    remedy = "Look at what is between router and engine, and at the engine's version; suspend it meanwhile."


class ProbeFailed(Diagnostic):
    """A probe was cut off or malformed; silence alone is not told."""

    event, level, logs_remedy = "probe_failed", "info", False
    where = "`endpoint`"
    remedy = "Many at one engine: see whether it offers its load report where the settings say."


class BadRequest(Diagnostic):
    """A client's message is not HTTP as it is taken here; it was told so."""

    event, level, logs_remedy = "bad_request", "info", False
    where = "`why`"
    remedy = "Have the client's owner put it right by README.md's table of answers."


class NoRoomForRequest(Diagnostic):
    """A request was refused since bodies or open requests are at their limit."""

    event = "no_room"
    where = "`held` bytes, `open` requests"
    remedy = "Give the router more of `limits.memory_mb`, or put another router beside it."


class AcceptPaused(Diagnostic):
    """No client could be accepted for a moment."""

    event = "accept_paused"
    where = "`why`"
    remedy = "Raise the process's limit of descriptors to `limits.sockets` (`ulimit -n`), or lower that."


class NoRoomForClients(Diagnostic):
    """Clients' connections were answered 503: others with requests under way had all the places."""

    event = "no_room_for_clients"
    where = "`refused`: how many since the last such line"
    remedy = "Give the router more of `limits.sockets`, or put another one beside it."


class NoRoomForAttempts(Diagnostic):
    """Attempts and probes were not sent: this router could open no more connections to engines.

    Nothing is held against the engines; a request is tried elsewhere or refused.
    """

    event = "no_room_for_attempts"
    where = "`unsent`: how many since the last such line; `why`"
    remedy = (
        "Give the router more of `limits.sockets`, with as high a limit of descriptors (`ulimit -n`) for "
        "the process and enough of them on its machine, or put another router beside it."
    )


class FlowAcceptPaused(Diagnostic):
    """No exporter's connection could be accepted for a moment."""

    event = "flow_accept_paused"
    where = "`why`"
    remedy = "Raise the process's limit of descriptors (`ulimit -n`)."


class StoreAcceptPaused(Diagnostic):
    """No other member's connection could be accepted for a moment."""

    event = "store_accept_paused"
    where = "`member`, `why`"
    remedy = "Raise the process's limit of descriptors (`ulimit -n`)."


class ControlPaused(Diagnostic):
    """No operator's call could be accepted for a moment."""

    event = "control_paused"
    where = "`why`"
    remedy = "Raise the process's limit of descriptors to `limits.sockets` (`ulimit -n`), or lower that."


class ClientStalled(Diagnostic):
    """A client that took nothing of its answer for `stall_ms` was cut off."""

    event = "client_stalled"
    remedy = "Many: look at the network between clients and router, or raise `options.stall_ms`."


class Unasked(Diagnostic):
    """An engine said something on an idle connection; its connections rest longer."""

    event = "unasked"
    where = "`endpoint`"
    remedy = "Have the engine's owner see why it writes after the end of an answer."


class LogDropped(Diagnostic):
    """So many lines are missing here, since the log's reader took none."""

    event = "log_dropped"
    where = "`lines`"
    remedy = "See why what reads standard error stopped, or have it read into a file."


class HandoverFailed(Diagnostic):
    """Something did not pass between two processes of a router; serving goes on."""

    event = "handover_failed"
    where = "`what`: folder, words, state, streams or stream"
    remedy = "See that `$TMPDIR` can be written and that both processes have one name and version."


class WordLost(Diagnostic):
    """A suspension that another process was told could not be kept here."""

    event = "word_lost"
    where = "`engine`"
    remedy = "Resume suspended engines that are gone, and suspend this one again."


class FailoverDropped(Diagnostic):
    """More outcomes came in one period than failover weighs; the rest says nothing."""

    event, level = "failover_dropped", "info"
    where = "`outcomes`"
    remedy = "Shorten `failover.period_ms`."


class CollectorLost(Diagnostic):
    """A flow collector can't be reached or written; records wait, up to the queue's bound."""

    event, level = "collector_lost", "info"
    where = "`collector`"
    remedy = "See that the collector runs at this address, or that its directory can be written and has room."


class ExporterLost(Diagnostic):
    """The collector lost an exporter's connection."""

    event, level = "exporter_lost", "info"
    where = "`exporter`"
    remedy = "See `collector_lost` in that exporter's log."


class FlowMessageRefused(Diagnostic):
    """An exporter's message breaks a rule of its format, which is named with the octet."""

    event, level = "flow_message_refused", "info"
    where = "`exporter`, `octet`"
    remedy = "See that the exporter speaks IPFIX or NetFlow v9, and give it the same enterprise number."


class FlowMessageCut(Diagnostic):
    """An exporter ended its connection inside a message."""

    event, level = "flow_message_cut", "info"
    where = "`exporter`"
    remedy = "Look in the exporter's log for why it ended so; its records of that message are lost."


class ShadowSpool(Diagnostic):
    """Pairs of shadow traffic can't be written; they are dropped and counted."""

    event, level = "shadow_spool", "info"
    where = "`directory`"
    remedy = "Make room in `shadow.directory`, and let this user write there."


class StoreDisk(Diagnostic):
    """A store member's disk failed: it takes no more part."""

    event, level = "store_disk", "info"
    where = "`member`"
    remedy = "Make room or change the disk, then start the member again: the others carry on meanwhile."


class StoreMemberBehind(Diagnostic):
    """A store member began with an older file than it had: it counts for nothing until it has caught up."""

    event, level = "store_member_behind", "info"
    where = "`member`, `told_by`"
    remedy = "Leave it running: it catches up, and counts for nothing until a majority besides it runs."


class StoreFrame(Diagnostic):
    """What came from another store member can't be read; its connection was closed."""

    event, level = "store_frame", "info"
    where = "`member`"
    remedy = "Let only members of one version reach `--listen`, on a network of their own."


def _below(kind: type[Diagnostic]) -> dict[str, type[Diagnostic]]:
    return {one.event: one for one in kind.__subclasses__()}


DIAGNOSTICS = _below(Diagnostic)
