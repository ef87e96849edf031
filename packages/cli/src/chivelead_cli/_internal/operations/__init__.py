"""Plain functions behind the commands."""
