wb_test(control_test SRCS control_test.cc DEPS wb_deployment wb_config)
add_dependencies(control_test wagtaild wagtail-fake-target wagtail-fake-platform)
target_compile_definitions(control_test PRIVATE
  WB_BIN_DIR="${CMAKE_BINARY_DIR}/bin")
set_tests_properties(control_test PROPERTIES RUN_SERIAL TRUE)
