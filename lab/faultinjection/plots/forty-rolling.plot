# A plan of forty machines, while all gateways are restarted in turn (SIGTERM), twice.
plot seed 307 gateways 7 boxes 20 for 75s
at 1000ms ask b0-0 g0
at 1020ms ask b0-1 g1
at 1040ms ask b0-2 g2
at 1060ms ask b0-3 g3
at 1080ms ask b0-4 g4
at 1100ms ask b0-5 g5
at 1120ms ask b0-6 g6
at 1140ms ask b0-7 g0
at 1160ms ask b0-8 g1
at 1180ms ask b0-9 g2
at 1200ms ask b0-10 g3
at 1220ms ask b0-11 g4
at 1240ms ask b0-12 g5
at 1260ms ask b0-13 g6
at 1280ms ask b0-14 g0
at 1300ms ask b0-15 g1
at 1320ms ask b0-16 g2
at 1340ms ask b0-17 g3
at 1360ms ask b0-18 g4
at 1010ms ask b1-0 g1
at 1030ms ask b1-1 g2
at 1050ms ask b1-2 g3
at 1070ms ask b1-3 g4
at 1090ms ask b1-4 g5
at 1110ms ask b1-5 g6
at 1130ms ask b1-6 g0
at 1150ms ask b1-7 g1
at 1170ms ask b1-8 g2
at 1190ms ask b1-9 g3
at 1210ms ask b1-10 g4
at 1230ms ask b1-11 g5
at 1250ms ask b1-12 g6
at 1270ms ask b1-13 g0
at 1290ms ask b1-14 g1
at 1310ms ask b1-15 g2
at 1330ms ask b1-16 g3
at 1350ms ask b1-17 g4
at 1370ms ask b1-18 g5
at 1s ask p0 g0
at 1s ask p1 g6
at 4s roll g0
at 8s roll g1
at 12s roll g2
at 16s roll g3
at 20s roll g4
at 24s roll g5
at 28s roll g6
at 32s roll g0
at 36s roll g1
at 40s roll g2
at 44s roll g3
at 48s roll g4
at 52s roll g5
at 56s roll g6
at 70s heal
