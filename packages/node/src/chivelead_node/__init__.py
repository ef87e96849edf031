"""The node daemon of chivelead; its face is the command ``chivelead-node``."""
