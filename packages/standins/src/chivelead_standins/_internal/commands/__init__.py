"""Commands of ``chivelead-standins``, one a module."""
