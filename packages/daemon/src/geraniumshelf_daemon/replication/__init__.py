"""The configuration in force and its way between daemons."""
