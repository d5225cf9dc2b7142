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
    """Deletes one key; `expected_revision` None means any revision."""

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
    """Creates the lease named `lease`, or renews it if it is still held."""

    lease: str
    ttl_ms: int


@dataclass(frozen=True, kw_only=True, slots=True)
class RevokeLease:
    """Ends a lease and deletes its keys."""

    lease: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ListVms:
    """Reads the platform's list of VMs, which may be out of date."""


@dataclass(frozen=True, kw_only=True, slots=True)
class KeyEntry:
    """Key with its value and revision; revision 0 means that the key does not exist."""

    key: str
    value: str
    revision: int


@dataclass(frozen=True, kw_only=True, slots=True)
class PutReply:
    """Result of a write; `entry` is the current entry if the revision did not match."""

    accepted: bool
    entry: KeyEntry


@dataclass(frozen=True, kw_only=True, slots=True)
class KeysReply:
    """Entries found and the revision of the store; a watch that saw no change has no entries."""

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
    """No usable answer; the operation may still have taken effect."""

    reason: str


PlatformOperation = (
    GetKey | PutKey | DeleteKey | ListKeys | WatchKeys | GrantLease | RevokeLease | ListVms
)
PlatformReply = KeyEntry | PutReply | KeysReply | LeaseReply | VmsReply | PlatformFailure
