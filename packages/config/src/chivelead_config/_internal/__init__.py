"""Implementation of chivelead-config; import the public face instead."""
