"""The platform's list of VMs, which lags behind the actual state."""

from collections.abc import Sequence

from burdockrun_messages import NodeInfo, VmEntry

from burdockrun_fleet.const import ENTRY_VM_KIND, VM_GONE_AFTER_MS


class VmList:
    """Newest VM list, and the time since which each VM has been missing from it.

    A VM that has been missing for `VM_GONE_AFTER_MS` is gone and no longer runs a process. A list
    that lacks this node is not evidence that any VM is gone. The list may not show a new VM yet, so
    the time of a VM that was never listed counts from the first call of `is_gone`, and that of any
    VM starts again when its process has been heard of. Only lists that were received count.
    """

    def __init__(self, node: NodeInfo) -> None:
        self._node = node
        self.version = 0
        self._vms: dict[str, VmEntry] = {}
        self._nodes: list[NodeInfo] = []
        self._leaving: tuple[str, ...] = ()
        self._updated_ms = 0
        self._missing_since_ms: dict[str, int] = {}

    def update(self, vms: Sequence[VmEntry], now_ms: int) -> None:
        """Replace the list by a newer one."""
        self._updated_ms = now_ms
        previous = self._vms
        self._vms = {vm.name: vm for vm in vms}
        if self._vms == previous:
            return
        self.version += 1
        leaving = (vm.name for vm in vms if vm.leaving and vm.kind != ENTRY_VM_KIND)
        self._leaving = tuple(sorted(leaving))
        self._nodes = [
            NodeInfo(node=vm.name, domain=vm.domain, host=vm.host, port=vm.port)
            for vm in vms
            if vm.kind == ENTRY_VM_KIND and not vm.leaving
        ]
        for name in previous.keys() - self._vms.keys():
            self._missing_since_ms[name] = now_ms
        for name in self._vms.keys() & self._missing_since_ms.keys():
            del self._missing_since_ms[name]

    def __len__(self) -> int:
        return len(self._vms)

    def is_gone(self, name: str, now_ms: int) -> bool:
        """Return whether a VM has been missing for `VM_GONE_AFTER_MS`."""
        if name in self._vms or self._node.node not in self._vms:
            return False
        since_ms = self._missing_since_ms.setdefault(name, now_ms)
        return self._updated_ms - since_ms >= VM_GONE_AFTER_MS

    def note_alive(self, name: str) -> None:
        """Note that the process on a VM runs, whether or not the list shows the VM."""
        self._missing_since_ms.pop(name, None)

    def is_leaving(self, name: str) -> bool:
        """Return whether the platform is about to remove a VM."""
        vm = self._vms.get(name)
        return vm is not None and vm.leaving

    def list_leaving(self) -> tuple[str, ...]:
        """Return the sorted names of the leaving endpoint VMs of all domains."""
        return self._leaving

    def list_nodes(self) -> Sequence[NodeInfo]:
        """Return the proxy nodes in the list that are not leaving."""
        return self._nodes
