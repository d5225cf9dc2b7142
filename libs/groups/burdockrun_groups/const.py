"""Times and limits of group decisions."""

from typing import Final

# A node that has seen the agreed primary may act on it for this long.
PRIMARY_LEASE_MS: Final = 1_500
# Covers drift between the boot clocks of two machines over one grant.
PRIMARY_LEASE_MARGIN_MS: Final = 100
# Time that statements and answers travel; subtracted from the accepted age of data.
STALENESS_MARGIN_MS: Final = 100
MAX_SAMPLES: Final = 64
SAMPLE_SPACING_MS: Final = 50
# A replica is likely to have what the primary had so long ago; several times the usual lag.
LIKELY_APPLIED_MS: Final = 200
# Longer way to a replica that is taken to keep the primary free, below the trip between domains.
PRIMARY_SURCHARGE_MS: Final = 4.0
# Connections of a node to a member below which a few nodes hold them for the others.
LEAST_OWN_CONNECTIONS: Final = 2
# Connections to a member that a home has; fewer make requests wait for each other.
HOME_CONNECTIONS: Final = 5
# Nodes of a failure domain up to which each asks the shared store itself.
SMALL_DOMAIN: Final = 3
FOLLOWERS_OF_AN_ASKER: Final = 25
