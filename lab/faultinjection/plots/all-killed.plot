# All are killed at once, in the middle of a plan, and one has lost its folder.
plot seed 304 gateways 5 boxes 8 for 14s
at 1s ask b0-0 g0
at 1s ask b1-0 g1
at 1s ask b0-1 g2
at 1s ask p0 g3
at 1s ask p1 g4
at 3.2s kill g0 keep
at 3.2s kill g1 keep
at 3.2s kill g2 lose
at 3.2s kill g3 keep
at 3.2s kill g4 keep
at 4.2s start g2
at 4.3s start g0
at 4.4s start g4
at 4.6s start g1
at 5.5s start g3
at 6s ask b1-1 g2
at 9s heal
