"""Private implementation of chivelead-cli."""
