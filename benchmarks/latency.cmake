wb_program(latency_bench SRCS latency_bench.cc DEPS wb_deployment)
add_dependencies(latency_bench wagtaild wagtail-fake-target)
