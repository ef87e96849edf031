"""The chivelead node daemon; the public interface is ``chivelead-node``."""
