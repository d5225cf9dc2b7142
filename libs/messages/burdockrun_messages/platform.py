"""Operations of the platform's key-value service and their replies."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class GetKey:
    """Reads one key."""

    key: str


@dataclass(frozen=True, kw_only=True, slots=True)
class PutKey:
    """Writes one key; `expected_revision` 0 means that it must not exist, None means any."""

    key: str
    value: str
    expected_revision: int | None = None
    lease: str | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class DeleteKey:
    """Deletes one key if its revision is as expected, or in any case for None."""

    key: str
    expected_revision: int | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class ListKeys:
    """Reads the entries whose keys start with `prefix`, in key order, after `start_after`."""

    prefix: str
    start_after: str = ""
    limit: int = 100


@dataclass(frozen=True, kw_only=True, slots=True)
class WatchKeys:
    """Waits until a key under `prefix` changes after store revision `after_revision`."""

    prefix: str
    after_revision: int
    wait_ms: int


@dataclass(frozen=True, kw_only=True, slots=True)
class GrantLease:
    """Creates a lease, or renews it when it is still held under this name."""

    lease: str
    ttl_ms: int


@dataclass(frozen=True, kw_only=True, slots=True)
class RevokeLease:
    """Ends a lease and deletes its keys."""

    lease: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ListVms:
    """Reads the platform's lagging list of VMs."""


@dataclass(frozen=True, kw_only=True, slots=True)
class KeyEntry:
    """Key with its value and revision; revision 0 means that the key does not exist."""

    key: str
    value: str
    revision: int


@dataclass(frozen=True, kw_only=True, slots=True)
class PutReply:
    """Result of a write; `entry` is the present entry when the revision did not match."""

    accepted: bool
    entry: KeyEntry


@dataclass(frozen=True, kw_only=True, slots=True)
class KeysReply:
    """Entries found, with the revision of the store; empty after a watch that saw no change."""

    entries: tuple[KeyEntry, ...]
    store_revision: int


@dataclass(frozen=True, kw_only=True, slots=True)
class LeaseReply:
    """Whether the lease was created or renewed."""

    held: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class VmEntry:
    """Live or leaving VM in the platform's list; `kind` is `entry` or `endpoint`."""

    name: str
    domain: str
    host: str
    port: int
    kind: str
    leaving: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class VmsReply:
    """The platform's list of VMs."""

    vms: tuple[VmEntry, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class PlatformFailure:
    """No usable answer; the operation may have taken effect all the same."""

    reason: str


PlatformOperation = (
    GetKey | PutKey | DeleteKey | ListKeys | WatchKeys | GrantLease | RevokeLease | ListVms
)
PlatformReply = KeyEntry | PutReply | KeysReply | LeaseReply | VmsReply | PlatformFailure
