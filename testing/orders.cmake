wb_test(orders_fault_test SRCS orders_fault_test.cc DEPS wb_deployment)
add_dependencies(orders_fault_test
                 wagtaild wagtail-fake-target wagtail-fake-platform)
set_tests_properties(orders_fault_test PROPERTIES RUN_SERIAL TRUE)
