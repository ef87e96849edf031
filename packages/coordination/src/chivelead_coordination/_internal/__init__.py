"""Private modules; import ``chivelead_coordination`` instead."""
