"""Commands of ``chivelead-standins``, one per module."""
