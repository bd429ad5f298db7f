# gnuplot overload.gp: whole requests on time over time, from bench-overload --output
set terminal svg size 900,620 font "sans,11"
set output "overload.svg"
set multiplot layout 2,2
set xlabel "seconds after the end of the trigger (begins at -8)"
set ylabel "whole requests/s"
set key top left
set yrange [0:190]
set arrow from -8, graph 0 to -8, graph 1 nohead dt 2
set arrow from 0, graph 0 to 0, graph 1 nohead dt 2
set title "Fjordkulde, no control"
plot "fjordkulde-no-control-0.dat" u 1:($4+$5) w lines lw 2 t "orders, confirmations", "" u 1:3 w lines t "slot checks"
set title "Fjordkulde, limpetdrum"
plot "fjordkulde-all-on-0.dat" u 1:($4+$5) w lines lw 2 t "orders, confirmations", "" u 1:3 w lines t "slot checks"
set yrange [0:260]
set title "Alliance, no control"
plot "alliance-no-control-0.dat" u 1:($2+$4) w lines lw 2 t "reservations, invoices", "" u 1:3 w lines t "lookups"
set title "Alliance, limpetdrum"
plot "alliance-all-on-0.dat" u 1:($2+$4) w lines lw 2 t "reservations, invoices", "" u 1:3 w lines t "lookups"
