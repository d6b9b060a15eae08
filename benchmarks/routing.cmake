wb_program(routing_bench SRCS routing_bench.cc DEPS wb_routing wb_membership)
# Only the virtual-time figures decide; timing figures are not run.
add_test(NAME routing_bench_check COMMAND routing_bench --check)
