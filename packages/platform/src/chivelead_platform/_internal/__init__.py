"""Implementation of the adapter."""
