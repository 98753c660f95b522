# Purges and a drain that one gateway hears of at once, and the others' journals three seconds later: what they know in common says it
# sooner.
plot seed 308 gateways 5 boxes 5 for 12s
at 0s share
at 2s purge 1 g0 3s
at 2.5s drain b0-1 g1 3s
at 3.5s purge 4 g3 3s
at 5s purge 1 g2 3s
at 6s drain b1-0 g4 3s
at 8s purge 2 g4 3s
at 8.1s heal
