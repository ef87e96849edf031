"""Implementation of chivelead-node; import the public face instead."""
