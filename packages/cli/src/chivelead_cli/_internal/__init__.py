"""Implementation of chivelead-cli; import the public face instead."""
