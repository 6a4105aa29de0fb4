"""Membership of the fleet: probing, suspicion, dissemination and quorum.

Pure: messages, times and a seeded random source come in, effects go out; there is no socket, clock or global random
source. `net.peer_transport` drives it. The design is SWIM with parts of Lifeguard.

- `member` builds the parts of one member and dispatches packets and timers to them. `timers` holds what is due.
- `probe_rounds` decides what an answer or its absence means; `probing` keeps the probes in flight and their timeouts.
- `update_merger` decides whether an update is believed, and declares members failed; `suspicion` holds the accusers
  and deadlines until then; `view` stores the result.
- `self_state` refutes what others wrongly believe of this member.
- `dissemination` chooses the updates that ride on a packet, `outbox` builds the packet, `gossip` pushes new updates.
- `peer_search` contacts seeds and failed members; `view_exchange` requests complete views.
- `quorum` counts the voters believed present, and rejects voter sets that can't follow the present one.
- `reachability` reports broken links and views that differ; `maintenance` forgets absent members.
- `settings` holds the settings and the bounds, `messages` the wire types and the effects.

Promises (see `settings.MembershipSettings` for their formulas and docs/membership.md for the table):

- A stopped member is known as failed to all that still reach one another within `detect_ms`.
- A member that is silent for at most `pause_ms` is never declared failed by a healthy member, where nothing is lost.
- What is known of a member only advances (a later incarnation, a higher refutation, a more severe state), so updates
  about an old incarnation never replace those about a new one.
- A quorum status is right `standing_ms` after the last change of the links.

Agreement is not promised. Two sides of a partition each keep their own view; without a majority nothing is decided.
"""
