"""Implementation of chivelead-coordination; import the public face instead."""
