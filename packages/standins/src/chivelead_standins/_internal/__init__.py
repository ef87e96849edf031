"""Implementation of chivelead-standins; import the public face instead."""
