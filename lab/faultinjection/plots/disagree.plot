# Lists disagree all the time (each gateway hears up to 1.2 s late); boxes go by the list that nobody asked out; forged and
# malformed bytes at every link, beside loss, doubling and frames that break off.
plot seed 306 gateways 5 boxes 6 for 14s
at 1s forge g0
at 1s forge g1
at 1.5s ask b0-0 g0
at 1.6s crash b1-0
at 1.8s ask b1-1 g4
at 2s bad 0.20 0.20 30ms cut
at 2.5s forge g2
at 3s forge g3
at 4s ask p1 g2
at 5s revive b1-0
at 6s forge g0
at 7s heal
at 7.2s slow 10000
at 9s heal
