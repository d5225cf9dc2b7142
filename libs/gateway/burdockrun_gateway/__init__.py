"""Gateway: client sessions on shared connections to the members of database groups."""

from burdockrun_gateway.client_session import Relay
from burdockrun_gateway.const import RETRY_AFTER_MS
from burdockrun_gateway.gateway import Gateway, SessionFault, SharingFault
from burdockrun_gateway.ports import (
    ConnectFault,
    Connection,
    Copies,
    Documents,
    Hints,
    Item,
    Listing,
    MemberConnector,
    Opened,
    PromotionDuty,
    SharedStore,
    StoreFault,
    Urgency,
    Write,
)
from burdockrun_gateway.records import dump_listing, load_listing
from burdockrun_gateway.sharing import SharedConnection

__all__ = [
    "RETRY_AFTER_MS",
    "ConnectFault",
    "Connection",
    "Copies",
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
    "SharedConnection",
    "SharedStore",
    "SharingFault",
    "StoreFault",
    "Urgency",
    "Write",
    "dump_listing",
    "load_listing",
]
