"""Private implementation of chivelead-standins."""
