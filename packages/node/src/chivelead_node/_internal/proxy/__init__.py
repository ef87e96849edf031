"""Node process for a platform without a list of VMs.

Nodes discover each other through the platform's store, and the operators'
configuration edits are read from it.
"""
