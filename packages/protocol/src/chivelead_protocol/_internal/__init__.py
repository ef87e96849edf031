"""Implementation of chivelead-protocol; import from ``chivelead_protocol``."""
