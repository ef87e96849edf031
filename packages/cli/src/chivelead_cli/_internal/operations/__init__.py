"""Operations that the commands share, without console output."""
