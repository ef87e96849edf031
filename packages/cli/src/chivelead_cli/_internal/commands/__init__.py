"""Commands of ``chivelead``, in modules by topic."""
