# A cut into two and three, then one way only: the smaller side grants and finishes nothing; what was granted before is never both
# worked on and sent to.
plot seed 301 gateways 5 boxes 6 for 14s
at 1.2s ask b0-0 g0
at 1.4s ask b1-0 g4
at 2s cut g0>g2 g0>g3 g0>g4 g1>g2 g1>g3 g1>g4 g2>g0 g3>g0 g4>g0 g2>g1 g3>g1 g4>g1
at 2.2s ask b0-1 g1
at 2.4s ask b1-1 g3
at 5s heal
at 5.1s cut g0>g2 g0>g3 g0>g4 g1>g2 g1>g3 g1>g4
at 5.3s ask p0 g0
at 8s heal
at 8.1s cut g2>g0 g3>g0 g4>g0
at 10s heal
