"""A token bucket that limits a rate."""

from __future__ import annotations


class TokenBucket:
    """Refills at a constant rate and holds at most two seconds' worth of tokens."""

    def __init__(self, tokens_per_s: float, now: float) -> None:
        self.tokens_per_ms = tokens_per_s / 1000.0
        self.max_tokens = 2 * tokens_per_s
        self.tokens = self.max_tokens
        self.refilled_at = now

    def take(self, now: float) -> bool:
        """Take one token; false if there is none."""
        self.tokens = min(self.max_tokens, self.tokens + (now - self.refilled_at) * self.tokens_per_ms)
        self.refilled_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
