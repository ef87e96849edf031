"""Commands of ``chivelead``, one a module."""
