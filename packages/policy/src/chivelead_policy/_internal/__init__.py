"""Implementation of chivelead-policy; import the public face instead."""
