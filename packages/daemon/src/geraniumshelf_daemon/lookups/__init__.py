"""Look-ups: which entry instances callers should use."""
