"""Who is there: probing, suspicion, spreading, standing. Pure: messages, times and a seeded random source come in,
effects go out; no socket, clock or global random source.

Promises (see `terms.Terms` for their formulas and docs/membership.md for the table): a member that stopped is known
as failed to all that still reach one another within `detect_ms`; one that answers within `pause_ms` is never failed;
what is known of a member only grows (a later life, a higher counter, a graver state), so an old life's rumours never
beat a new one's; a standing is right `standing_ms` after the last change of the links.

Not promised: agreement. Two sides of a cut each keep their own view; without a majority nothing here decides.
"""
