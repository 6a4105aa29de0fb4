"""Membership of the fleet: probing, suspicion, dissemination and quorum.

The code does no I/O and reads no clock: its driver, `net.peer_transport`, passes in messages, times and a seeded random
source, and carries out the effects that are returned. The design is SWIM with parts of Lifeguard.

- `member` builds the parts of one member and dispatches packets and timers to them. `timers` holds the pending timers.
- `probe_rounds` decides what an answer or its absence means; `probing` keeps the probes in flight and their timeouts.
- `update_merger` decides whether an update is believed, and declares members failed; `suspicion` holds the accusers
  and deadlines until then; `view` stores the result.
- `self_state` refutes wrong updates about this member.
- `dissemination` chooses the updates that a packet carries, `outbox` builds the packet, `gossip` pushes new updates.
- `peer_search` contacts seeds and failed members; `view_exchange` requests complete views.
- `quorum` counts the voters believed present, and rejects voter sets that can't replace the present one.
- `reachability` reports broken links and views that differ; `maintenance` forgets absent members.
- `settings` holds the settings and the bounds, `messages` the wire types and the effects.

Guarantees (see `settings.MembershipSettings` for their formulas and docs/membership.md for the table):

- A stopped member is believed failed within `detect_ms` by all members that still reach one another.
- A member that is silent for at most `pause_ms` is never declared failed by a healthy member, if no packet is lost.
- Knowledge about a member only advances (a later incarnation, a higher refutation, a more severe state), so updates
  about an old incarnation never replace those about a new one.
- A quorum status is correct from `standing_ms` after the last change of the links.

Agreement between members is not guaranteed: each side of a partition keeps its own view. What all members must agree
on is decided by a majority of the voters only.
"""
