"""Gateway: client sessions on shared connections to the members of database groups."""

from burdockrun_gateway.client_session import ClientSession
from burdockrun_gateway.const import (
    DEFAULT_GRACE_MS,
    RETRY_AFTER_MS,
    STOPPING_RETRY_MS,
)
from burdockrun_gateway.decoding import (
    MAX_COUNT,
    MAX_NAME_CHARS,
    MAX_PORT,
    Amount,
    Count,
    Name,
    decode_json,
    is_host_address,
    is_name,
)
from burdockrun_gateway.drain import STOPPING
from burdockrun_gateway.gateway import Gateway, SessionFault, SharingFault
from burdockrun_gateway.listening import (
    ListeningPort,
    PortFault,
    async_open_optional_port,
    async_open_port,
)
from burdockrun_gateway.ports import (
    ChangeNotifier,
    ConnectFault,
    Connection,
    DocumentReader,
    HomeLoad,
    Item,
    Listing,
    MemberConnector,
    OpenedConnection,
    PeerCopyReader,
    PromotionClient,
    RequestPriority,
    SharedStore,
    StoreFault,
    Write,
    Written,
)
from burdockrun_gateway.records import dump_listing, load_listing
from burdockrun_gateway.route_explanation import RouteExplainer, RouteQuestion
from burdockrun_gateway.sharing import SharedConnection
from burdockrun_gateway.tasks import handle_loop_failures

__all__ = [
    "DEFAULT_GRACE_MS",
    "MAX_COUNT",
    "MAX_NAME_CHARS",
    "MAX_PORT",
    "RETRY_AFTER_MS",
    "STOPPING",
    "STOPPING_RETRY_MS",
    "Amount",
    "ChangeNotifier",
    "ClientSession",
    "ConnectFault",
    "Connection",
    "Count",
    "DocumentReader",
    "Gateway",
    "HomeLoad",
    "Item",
    "ListeningPort",
    "Listing",
    "MemberConnector",
    "Name",
    "OpenedConnection",
    "PeerCopyReader",
    "PortFault",
    "PromotionClient",
    "RequestPriority",
    "RouteExplainer",
    "RouteQuestion",
    "SessionFault",
    "SharedConnection",
    "SharedStore",
    "SharingFault",
    "StoreFault",
    "Write",
    "Written",
    "async_open_optional_port",
    "async_open_port",
    "decode_json",
    "dump_listing",
    "handle_loop_failures",
    "is_host_address",
    "is_name",
    "load_listing",
]
