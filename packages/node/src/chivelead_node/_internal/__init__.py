"""Private implementation of chivelead-node."""
