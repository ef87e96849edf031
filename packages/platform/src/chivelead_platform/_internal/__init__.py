"""Implementation of chivelead-platform.

Import from ``chivelead_platform``.
"""
