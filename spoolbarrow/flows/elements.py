"""Information elements and templates: the name, number and data type of each field of a flow record.

Elements without an enterprise number are IANA's (RFC 7012 and its registry); reverse elements have the number
of RFC 5103; the program's own elements use the enterprise number that the operator configures.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

REVERSE = 29_305  # RFC 5103, section 6.1: the enterprise number of reverse elements
OWN_ENTERPRISE = 0xFFFFFFFF  # placeholder for the configured enterprise number
VARIABLE = 0xFFFF  # length of a variable-length field in a template (RFC 7011, section 3.2)


class Kind(IntEnum):
    """Abstract data types, by their numbers in RFC 5610, section 3.1."""

    UNSIGNED8 = 1
    UNSIGNED16 = 2
    UNSIGNED32 = 3
    UNSIGNED64 = 4
    FLOAT64 = 10
    STRING = 13
    DATE_MS = 15
    IPV4 = 18


class Semantics(IntEnum):
    """How values of an element combine (RFC 5610, section 3.2)."""

    DEFAULT = 0
    QUANTITY = 1
    TOTAL = 2
    DELTA = 3
    IDENTIFIER = 4


class Units(IntEnum):
    """The units of values (RFC 5610, section 3.3)."""

    NONE = 0
    OCTETS = 2
    PACKETS = 3
    MILLISECONDS = 8
    MICROSECONDS = 9


SIZES = {
    Kind.UNSIGNED8: 1,
    Kind.UNSIGNED16: 2,
    Kind.UNSIGNED32: 4,
    Kind.UNSIGNED64: 8,
    Kind.FLOAT64: 8,
    Kind.STRING: VARIABLE,
    Kind.DATE_MS: 8,
    Kind.IPV4: 4,
}


class Element(NamedTuple):
    """One information element."""

    name: str
    number: int
    kind: Kind
    enterprise: int = 0
    semantics: Semantics = Semantics.DEFAULT
    units: Units = Units.NONE

    @property
    def size(self) -> int:
        """Octets of a value; VARIABLE if its length is encoded with it."""
        return SIZES[self.kind]

    def reverse(self) -> Element:
        """The element for the other direction (RFC 5103)."""
        name = f"reverse{self.name[0].upper()}{self.name[1:]}"
        return self._replace(name=name, enterprise=REVERSE)


class Template(NamedTuple):
    """A record format; the first `scope` fields are the scope of an options record (0: a data record)."""

    number: int
    name: str
    fields: tuple[Element, ...]
    scope: int = 0


U8, U16, U32, U64 = Kind.UNSIGNED8, Kind.UNSIGNED16, Kind.UNSIGNED32, Kind.UNSIGNED64
_DELTA, _TOTAL, _ID, _QUANTITY = Semantics.DELTA, Semantics.TOTAL, Semantics.IDENTIFIER, Semantics.QUANTITY

OCTETS = Element("octetDeltaCount", 1, U64, 0, _DELTA, Units.OCTETS)
PACKETS = Element("packetDeltaCount", 2, U64, 0, _DELTA, Units.PACKETS)
PROTOCOL = Element("protocolIdentifier", 4, U8, 0, _ID)
SOURCE_PORT = Element("sourceTransportPort", 7, U16, 0, _ID)
SOURCE = Element("sourceIPv4Address", 8, Kind.IPV4)
TARGET_PORT = Element("destinationTransportPort", 11, U16, 0, _ID)
TARGET = Element("destinationIPv4Address", 12, Kind.IPV4)
LAST_SWITCHED = Element("flowEndSysUpTime", 21, U32, 0, Semantics.DEFAULT, Units.MILLISECONDS)
FIRST_SWITCHED = Element("flowStartSysUpTime", 22, U32, 0, Semantics.DEFAULT, Units.MILLISECONDS)
OUT_OCTETS = Element("postOctetDeltaCount", 23, U64, 0, _DELTA, Units.OCTETS)  # NetFlow v9: OUT_BYTES
OUT_PACKETS = Element("postPacketDeltaCount", 24, U64, 0, _DELTA, Units.PACKETS)  # NetFlow v9: OUT_PKTS
EXPORTED_OCTETS = Element("exportedOctetTotalCount", 40, U64, 0, _TOTAL, Units.OCTETS)
EXPORTED_MESSAGES = Element("exportedMessageTotalCount", 41, U64, 0, _TOTAL)
EXPORTED_RECORDS = Element("exportedFlowRecordTotalCount", 42, U64, 0, _TOTAL)
END_REASON = Element("flowEndReason", 136, U8, 0, _ID)
PROCESS = Element("exportingProcessId", 144, U32, 0, _ID)
FLOW = Element("flowId", 148, U64, 0, _ID)
DOMAIN = Element("observationDomainId", 149, U32, 0, _ID)
START = Element("flowStartMilliseconds", 152, Kind.DATE_MS, 0, Semantics.DEFAULT, Units.MILLISECONDS)
END = Element("flowEndMilliseconds", 153, Kind.DATE_MS, 0, Semantics.DEFAULT, Units.MILLISECONDS)
NOT_SENT_RECORDS = Element("notSentFlowTotalCount", 167, U64, 0, _TOTAL)
NOT_SENT_PACKETS = Element("notSentPacketTotalCount", 168, U64, 0, _TOTAL, Units.PACKETS)
NOT_SENT_OCTETS = Element("notSentOctetTotalCount", 169, U64, 0, _TOTAL, Units.OCTETS)
BIFLOW_DIRECTION = Element("biflowDirection", 239, U8, 0, _ID)
IE_ID = Element("informationElementId", 303, U16, 0, _ID)
SELECTOR_ALGORITHM = Element("selectorAlgorithm", 304, U16, 0, _ID)
SAMPLING_PROBABILITY = Element("samplingProbability", 311, Kind.FLOAT64, 0, _QUANTITY)
IE_KIND = Element("informationElementDataType", 339, U8)
IE_NAME = Element("informationElementName", 341, Kind.STRING)
IE_SEMANTICS = Element("informationElementSemantics", 344, U8)
IE_UNITS = Element("informationElementUnits", 345, U16)
ENTERPRISE = Element("privateEnterpriseNumber", 346, U32, 0, _ID)
PAYLOAD = Element("transportOctetDeltaCount", 401, U64, 0, _DELTA, Units.OCTETS)
PAYLOAD_PACKETS = Element("transportPacketDeltaCount", 402, U64, 0, _DELTA, Units.PACKETS)

# The program's own, in the order of their numbers; RFC 5610 records describe them to collectors.
SIDE = Element("routerConnectionSide", 1, U8, OWN_ENTERPRISE, _ID)  # opened by 0: a client, 1: the router
ENGINE = Element("routerEngineIndex", 2, U32, OWN_ENTERPRISE, _ID)  # options data has its name; 0: none
RESENT = Element(
    "routerResentPacketDeltaCount", 3, U64, OWN_ENTERPRISE, _DELTA, Units.PACKETS
)  # resent by the router
ROUND_TRIP = Element("routerRoundTripMicroseconds", 4, U32, OWN_ENTERPRISE, _QUANTITY, Units.MICROSECONDS)
REQUEST = Element("routerRequestNumber", 5, U64, OWN_ENTERPRISE, _ID)
CLASS = Element("routerClassIndex", 6, U16, OWN_ENTERPRISE, _ID)
TENANT = Element("routerTenantIndex", 7, U16, OWN_ENTERPRISE, _ID)
ENGINE_FLOW = Element("routerEngineFlowId", 8, U64, OWN_ENTERPRISE, _ID)  # the engine connection; 0: none
ATTEMPTS = Element("routerAttemptCount", 9, U8, OWN_ENTERPRISE, _QUANTITY)
OUTCOME = Element("routerOutcome", 10, U8, OWN_ENTERPRISE, _ID)  # OUTCOMES
FIRST_EVENT = Element("routerFirstEventMilliseconds", 11, U32, OWN_ENTERPRISE, _QUANTITY, Units.MILLISECONDS)
WHOLE = Element("routerWholeMilliseconds", 12, U32, OWN_ENTERPRISE, _QUANTITY, Units.MILLISECONDS)
ANSWER_OCTETS = Element("routerAnswerOctetCount", 13, U64, OWN_ENTERPRISE, _QUANTITY, Units.OCTETS)
NAMED_KIND = Element("routerNamedKind", 14, U8, OWN_ENTERPRISE, _ID)  # NAMED_KINDS
NAMED_INDEX = Element("routerNamedIndex", 15, U32, OWN_ENTERPRISE, _ID)
NAME = Element("routerName", 16, Kind.STRING, OWN_ENTERPRISE)
OWN_ELEMENTS = (
    SIDE,
    ENGINE,
    RESENT,
    ROUND_TRIP,
    REQUEST,
    CLASS,
    TENANT,
    ENGINE_FLOW,
    ATTEMPTS,
    OUTCOME,
    FIRST_EVENT,
    WHOLE,
    ANSWER_OCTETS,
    NAMED_KIND,
    NAMED_INDEX,
    NAME,
)
NO_EVENT_MS = 0xFFFFFFFF  # of FIRST_EVENT: no event came
OUTCOMES = ("", "served", "fail_fast", "failed", "rejected", "broken", "moved", "left")
NAMED_KINDS = ("class", "tenant", "engine")
END_REASONS = {1: "idle", 2: "active", 3: "ended", 4: "forced", 5: "resources"}  # flowEndReason (RFC 5102)

_TWO_WAY = (OCTETS, PACKETS, PAYLOAD, PAYLOAD_PACKETS)
CONNECTION_TEMPLATE = Template(
    256,
    "connection",
    (
        START,
        END,
        FLOW,
        SOURCE,
        TARGET,
        SOURCE_PORT,
        TARGET_PORT,
        PROTOCOL,
        *_TWO_WAY,
        *(element.reverse() for element in _TWO_WAY),
        BIFLOW_DIRECTION,
        END_REASON,
        SIDE,
        ENGINE,
        RESENT,
        ROUND_TRIP,
    ),
)
REQUEST_TEMPLATE = Template(
    257,
    "request",
    (
        START,
        END,
        FLOW,
        REQUEST,
        CLASS,
        TENANT,
        ENGINE,
        ENGINE_FLOW,
        ATTEMPTS,
        OUTCOME,
        FIRST_EVENT,
        WHOLE,
        ANSWER_OCTETS,
    ),
)
NAME_TEMPLATE = Template(258, "name", (NAMED_KIND, NAMED_INDEX, NAME), 2)
STATISTICS_TEMPLATE = Template(
    259,
    "statistics",
    (  # RFC 7011, sections 4.1 and 4.3
        PROCESS,
        EXPORTED_MESSAGES,
        EXPORTED_RECORDS,
        EXPORTED_OCTETS,
        NOT_SENT_RECORDS,
        NOT_SENT_PACKETS,
        NOT_SENT_OCTETS,
    ),
    1,
)
TYPE_TEMPLATE = Template(
    260,
    "type",
    (  # RFC 5610, section 3.9
        ENTERPRISE,
        IE_ID,
        IE_KIND,
        IE_SEMANTICS,
        IE_UNITS,
        IE_NAME,
    ),
    2,
)
SAMPLING_TEMPLATE = Template(261, "sampling", (DOMAIN, SELECTOR_ALGORITHM, SAMPLING_PROBABILITY), 1)
TEMPLATES = (
    CONNECTION_TEMPLATE,
    REQUEST_TEMPLATE,
    NAME_TEMPLATE,
    STATISTICS_TEMPLATE,
    TYPE_TEMPLATE,
    SAMPLING_TEMPLATE,
)
HASH_FILTERING = 6  # selectorAlgorithm: hash-based (RFC 5477, section 8.2.2)

# NetFlow v9 has no enterprise elements (RFC 3954), so it exports connections but no requests or names.
V9_CONNECTION_TEMPLATE = Template(
    256,
    "connection",
    (
        FIRST_SWITCHED,
        LAST_SWITCHED,
        FLOW,
        SOURCE,
        TARGET,
        SOURCE_PORT,
        TARGET_PORT,
        PROTOCOL,
        OCTETS,
        PACKETS,
        OUT_OCTETS,
        OUT_PACKETS,
        END_REASON,
    ),
)
V9_TEMPLATES = (V9_CONNECTION_TEMPLATE,)

_STANDARD = (*(e for e in globals().copy().values() if isinstance(e, Element) and e.enterprise == 0),)
BY_NUMBER: dict[tuple[int, int], Element] = {(0, e.number): e for e in _STANDARD}
BY_NUMBER |= {(REVERSE, e.number): e.reverse() for e in _STANDARD}
BY_NUMBER |= {(OWN_ENTERPRISE, e.number): e for e in OWN_ELEMENTS}
