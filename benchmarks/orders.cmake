wb_program(orders_bench SRCS ${CMAKE_CURRENT_LIST_DIR}/orders_bench.cc
           DEPS wb_orders fmt::fmt)
