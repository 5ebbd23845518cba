"""The configuration in force and its replication between daemons."""
