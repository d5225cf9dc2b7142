"""Stand-ins of the platform, of database members and of clients, for the cases of the review."""
