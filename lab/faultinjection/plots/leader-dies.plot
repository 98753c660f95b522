# The voter that takes the order forward dies right after it was asked: between deciding and telling, and between telling the first
# and the second. It comes back, and believes that it still leads.
plot seed 303 gateways 4 boxes 6 for 16s
at 1.5s ask b0-0 g0
at 1.56s kill g0 keep
at 3s start g0
at 5s ask b0-1 g3
at 5.25s kill g0 keep
at 6.5s start g0
at 8.5s ask b1-0 g2
at 8.75s stop g0
at 11s cont g0
at 11.1s ask b1-1 g0
at 12s heal
