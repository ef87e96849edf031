"""Node process for a platform that does not provide a list of its VMs.

Nodes discover each other through the platform's store and read the operators'
configuration edits from it.
"""
