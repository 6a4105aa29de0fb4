"""Membership of the fleet: probing, suspicion, dissemination and quorum.

Pure: messages, times and a seeded random source come in, effects go out; there is no socket, clock or global random
source. The design is SWIM with parts of Lifeguard.

Promises (see `settings.MembershipSettings` for their formulas and docs/membership.md for the table): a stopped member
is known as failed to all that still reach one another within `detect_ms`; one that answers within `pause_ms` is never
failed; what is known of a member only grows (a later incarnation, a higher refutation, a graver state), so updates
about an old incarnation never replace those about a new one; a quorum status is right `standing_ms` after the last
change of the links.

Agreement is not promised. Two sides of a partition each keep their own view; without a majority nothing is decided.
"""
