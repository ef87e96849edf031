"""Implementation of chivelead-config; import the public package instead."""
