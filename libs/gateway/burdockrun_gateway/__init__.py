"""Gateway: client sessions on shared connections to the members of database groups."""

from burdockrun_gateway.const import RETRY_AFTER_MS
from burdockrun_gateway.gateway import Gateway, SessionFault
from burdockrun_gateway.ports import (
    ConnectFault,
    Connection,
    Documents,
    Hints,
    Item,
    Listing,
    MemberConnector,
    Opened,
    PromotionDuty,
    SharedStore,
    StoreFault,
    Write,
)
from burdockrun_gateway.relay import Relay

__all__ = [
    "RETRY_AFTER_MS",
    "ConnectFault",
    "Connection",
    "Documents",
    "Gateway",
    "Hints",
    "Item",
    "Listing",
    "MemberConnector",
    "Opened",
    "PromotionDuty",
    "Relay",
    "SessionFault",
    "SharedStore",
    "StoreFault",
    "Write",
]
