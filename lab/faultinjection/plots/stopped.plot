# A gateway stands still for ten seconds while machines go out, and goes on with what it believed; clocks differ by three seconds,
# and one jumps back by thirty.
plot seed 302 gateways 3 boxes 6 for 17s
at 1s clock g1 3000
at 2s ask b0-0 g0
at 2.05s stop g2
at 2.3s ask b0-1 g1
at 2.6s ask b1-0 g0
at 4s clock g0 -30000
at 5s ask p1 g1
at 12.05s cont g2
at 12.5s ask b1-1 g2
at 13s heal
