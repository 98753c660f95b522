# Two requests for the last two warm upper caches at the same moment at two gateways; a box crashes during another one's work.
plot seed 305 gateways 3 boxes 4 for 14s
at 1.5s ask p0 g0
at 1.5s ask p1 g2
at 2.5s ask b0-0 g1
at 3.2s crash b0-1
at 3.4s ask b0-2 g1
at 7s revive b0-1
at 9s heal
