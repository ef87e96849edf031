"""Implementation of chivelead-policy; import the public package instead."""
