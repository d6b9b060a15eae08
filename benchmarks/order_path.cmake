wb_program(order_path_bench SRCS order_path_bench.cc DEPS wb_deployment)
add_dependencies(order_path_bench wagtaild wagtail-fake-target)
