"""A node on a platform that lists no VMs and keeps the edits itself."""
