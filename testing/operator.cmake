wb_test(operator_test SRCS operator_test.cc
        DEPS wb_deployment wb_ctl wb_client)
add_dependencies(operator_test wagtaild wagtail-fake-target)
set_tests_properties(operator_test PROPERTIES RUN_SERIAL TRUE)
