"""Implementation of chivelead-protocol; import the public face instead."""
